"""The engine with a balancer that the test scripts: steps, final answers, and a balancer that breaks."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from typing import Any

import pytest

from dunecove.policy.actions import (
    Action,
    BackendEjected,
    CancelAttempt,
    Fail,
    Forward,
    PollDiscovery,
    Reject,
    SendHealthCheck,
    SetTimer,
)
from dunecove.policy.events import (
    AttemptEnded,
    BackendListUpdate,
    ClientDisconnected,
    HealthCheckResult,
    ListUpdateKind,
    RequestArrived,
    TimerFired,
)
from dunecove.policy.models import AttemptResult
from dunecove.policy.settings import Settings
from dunecove.proxy import client_connection as connection_module
from dunecove.proxy import connection_slots as slots_module
from dunecove.proxy import disconnect_watcher as watcher_module
from dunecove.proxy import engine as engine_module
from dunecove.proxy import listener as listener_module
from dunecove.proxy import log_writer as log_writer_module
from dunecove.proxy import request_validator as request_validator_module
from dunecove.proxy.clock import now_ms
from dunecove.proxy.socket_probe import has_unread_input, is_closed_by_peer
from tests.loopback import Client, ConnectGate, Proxy, proxy, request, reset, run, until

Step = Callable[[list[Any]], list[Action]]


class Script:
    """Stands in for the balancer: keeps each batch and answers by `act`."""

    act: Step
    batches: list[list[Any]]
    incarnations: int

    def __init__(self, settings: Settings, seed: int) -> None:
        Script.incarnations += 1

    def step(self, now: float, events: list[Any]) -> list[Action]:
        Script.batches.append(events)
        return Script.act(events)


@pytest.fixture
def script(monkeypatch: pytest.MonkeyPatch) -> type[Script]:
    Script.act, Script.batches, Script.incarnations = staticmethod(lambda events: []), [], 0
    monkeypatch.setattr(engine_module, "Balancer", Script)
    # So many lines a second are for one program: what tests before this one wrote must not use them up.
    monkeypatch.setattr(log_writer_module.log, "line_count", 0)
    return Script


def each(kind: type[Any], act: Callable[[Any], list[Action]]) -> Step:
    return staticmethod(lambda events: [a for e in events if isinstance(e, kind) for a in act(e)])


def events(kind: type[Any]) -> list[Any]:
    return [e for batch in Script.batches for e in batch if isinstance(e, kind)]


def test_the_cached_list_comes_first(script: type[Script]) -> None:
    async def test() -> None:
        async with proxy(backends=2):
            await until(lambda: script.batches)
            (saved,) = script.batches[0]
            assert (saved.kind, [e.backend_id for e in saved.entries]) == (
                ListUpdateKind.CACHED,
                ["s0", "s1"],
            )

    run(test())


def test_what_a_client_asks_reaches_the_balancer(script: type[Script]) -> None:
    script.act = each(RequestArrived, lambda e: [Fail(e.request_id)])

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            await client.exchange(
                "/purchase/x", idempotency_key="k", x_route_hash="7f3a9c21e0b4d655", x_again="1"
            )
            (arrival,) = events(RequestArrived)
            assert (arrival.request_id, arrival.class_index, arrival.affinity_key) == (
                "c1",
                0,
                0x7F3A9C21E0B4D655,
            )
            assert arrival.is_retry

    run(test())


def test_a_client_waits_no_longer_than_its_class_allows(script: type[Script]) -> None:
    # The balancer takes the longest wait of a class for that of a first try: one client must not stretch it.
    script.act = each(RequestArrived, lambda e: [Fail(e.request_id)])

    async def test() -> None:
        async with proxy() as p:
            await (await p.client()).exchange(x_budget_ms="999999999")
            assert events(RequestArrived)[0].deadline <= now_ms() + 30000

    run(test())


def test_rejections_and_failures_go_out_at_once(script: type[Script]) -> None:
    script.act = each(
        RequestArrived,
        lambda e: (
            [Fail(e.request_id)]
            if e.request_id == "f"
            else [Reject(e.request_id, 250.0 * (e.request_id == "r"))]
        ),
    )

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            refused = await client.exchange(x_call_id="r")
            assert (refused.status, refused.headers["retry-after"]) == (503, "0.250")
            plain = await client.exchange(x_call_id="p")
            assert plain.status == 503 and "retry-after" not in plain.headers
            assert (await client.exchange(x_call_id="f")).status == 504
            assert p.backends[0].connection_count == 0 and not events(ClientDisconnected)

    run(test())


def test_a_request_that_the_balancer_forgets_is_answered_by_its_deadline(script: type[Script]) -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            assert (await client.exchange(x_budget_ms="30")).status == 504
            await until(lambda: events(ClientDisconnected))

    run(test())


def test_events_of_one_turn_go_to_one_step_and_lists_go_first(script: type[Script]) -> None:
    async def test() -> None:
        async with proxy() as p:
            await until(lambda: script.batches)
            script.batches.clear()
            p.engine.requests.client_disconnected("nobody")  # no longer held: no event
            p.engine._on_timer(7, p.engine._incarnation)
            p.engine.on_list_failure("test")
            p.engine._on_timer(8, p.engine._incarnation)
            await until(lambda: script.batches)
            assert script.batches == [
                [BackendListUpdate(ListUpdateKind.FAILED), TimerFired(7), TimerFired(8)]
            ]

    run(test())


def test_events_raised_by_actions_come_in_a_later_step(script: type[Script]) -> None:
    script.act = each(
        RequestArrived, lambda e: [Forward(e.request_id, "unknown", 1000.0), BackendEjected("s0", 3)]
    )

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            await until(lambda: events(AttemptEnded))
            assert not any(
                isinstance(e, AttemptEnded)
                for b in script.batches
                for e in b
                if RequestArrived in map(type, b)
            )
            assert events(AttemptEnded)[0][:3] == ("c1", 0, AttemptResult.CONNECT_FAILED)

    run(test())


def test_an_attempt_after_the_end_is_not_sent_and_gets_its_result(script: type[Script]) -> None:
    script.act = each(RequestArrived, lambda e: [Fail(e.request_id), Forward(e.request_id, "s0", 1000.0)])

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            assert (await client.exchange()).status == 504
            await until(lambda: events(AttemptEnded))
            assert [(e.result, e.request_finished) for e in events(AttemptEnded)] == [
                (AttemptResult.WITHDRAWN, True)
            ]
            assert p.backends[0].connection_count == 0
            await until(lambda: not p.engine.requests.open)

    run(test())


def test_a_client_that_leaves_as_its_request_is_retried_gets_nothing_sent(script: type[Script]) -> None:
    # The balancer hears of the outcome and of the client's leaving in one step, and has sent again between.
    def act(batch: list[Any]) -> list[Action]:
        actions: list[Action] = [
            Forward(e.request_id, "s0", 9000.0) for e in batch if isinstance(e, RequestArrived)
        ]
        for event in batch:
            if isinstance(event, AttemptEnded) and event.attempt_index == 0:
                actions += [Forward(event.request_id, "s0", 9000.0), CancelAttempt(event.request_id, 1)]
        return actions

    script.act = staticmethod(act)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            await p.backends[0].requests.get()
            open_request = p.engine.requests.open["c1"]
            open_request.attempts[0].end(AttemptResult.REJECTED)
            p.engine.requests.client_disconnected("c1")
            await until(lambda: len(events(AttemptEnded)) == 2)
            assert [(e.attempt_index, e.result) for e in events(AttemptEnded)] == [
                (0, AttemptResult.REJECTED),
                (1, AttemptResult.WITHDRAWN),
            ]
            assert p.backends[0].requests.empty()
            await until(lambda: not p.engine.requests.open)

    run(test())


def sent_ahead(client: Client, *ids: str) -> None:
    """And behind them so much that the proxy reads no further."""
    for name in ids:
        client.send(x_call_id=name)
    for number in range(2):
        client.send(
            x_call_id=f"{ids[-1]}-long-{number}", body=b"x" * connection_module.MAX_PIPELINED_SMALL_BYTES
        )


def test_a_client_that_leaves_is_noticed_while_its_connection_is_not_read(script: type[Script]) -> None:
    # It sent so much ahead that nothing more is read, not even the end: its first request waits here.
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            sent_ahead(client, "c1", "c2", "c3")
            await until(lambda: p.listener.disconnects.paused)
            client.close()
            await until(lambda: events(ClientDisconnected))
            assert events(ClientDisconnected) == [ClientDisconnected("c1")]
            await until(lambda: not p.listener.slots.connections)
            assert [e.request_id for e in events(RequestArrived)] == ["c1"]

    run(test())


def test_hundreds_of_connections_that_are_not_read_cost_one_system_call(
    script: type[Script], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watcher_module, "DISCONNECT_POLL_S", 1000.0)  # the test gives the word
    polls, poll = [], select.poll

    def counted() -> Any:
        polls.append(poll())
        return polls[-1]

    async def test() -> None:
        async with proxy() as p:
            clients = [await p.client() for _ in range(300)]
            for number, client in enumerate(clients):
                sent_ahead(client, f"{number}-1", f"{number}-2", f"{number}-3")
            await until(lambda: len(p.listener.disconnects.paused) == len(clients))
            for client in clients[::3]:
                client.writer.transport.abort()
            inside = list(p.listener.disconnects.paused)
            await until(lambda: sum(is_closed_by_peer(one.transport) for one in inside) == 100)
            with monkeypatch.context() as patch:
                patch.setattr(select, "poll", counted)
                p.listener.disconnects.poll()
            assert len(polls) == 1
            await until(lambda: len(p.listener.slots.connections) == 200)
            await until(lambda: not p.engine._events)  # the balancer hears of them a turn later
            assert {e.request_id for e in events(ClientDisconnected)} == {f"{n}-1" for n in range(0, 300, 3)}
            assert len(p.listener.disconnects.paused) == 200 and p.listener.disconnects.poll_timer is not None
            p.listener.disconnects.poll_timer.cancel()

    run(test())


def test_request_behind_another_is_not_accepted_once_its_client_has_left(
    script: type[Script], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        watcher_module, "DISCONNECT_POLL_S", 1000.0
    )  # this test is about the moment of taking
    script.act = each(RequestArrived, lambda e: [Forward(e.request_id, "s0", 9000.0)])

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            sent_ahead(client, "c1", "c2", "c3")
            call = await p.backends[0].requests.get()
            await until(lambda: p.listener.disconnects.paused)
            (inside,) = p.listener.slots.connections
            client.close()
            await until(lambda: is_closed_by_peer(inside.transport))
            call.respond()
            await until(lambda: not p.listener.slots.connections)
            assert [e.request_id for e in events(RequestArrived)] == ["c1"]
            assert p.backends[0].requests.empty()

    run(test())


def test_a_client_that_leaves_with_responses_unread_is_closed_at_once(script: type[Script]) -> None:
    # Its connection is not lost before what waits to be written is out, which nobody reads.
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            await until(lambda: events(RequestArrived))
            (inside,) = p.listener.slots.connections
            size = 0
            while inside.transport.get_write_buffer_size() == 0 or size < 8_000_000:
                inside.transport.write(b"x" * 1_000_000)
                size += 1_000_000
            client.writer.write_eof()
            await until(lambda: events(ClientDisconnected))
            assert p.listener.slots.connections

    run(test())


def test_a_client_that_leaves_in_the_turn_of_its_arrival_gets_nothing_sent(script: type[Script]) -> None:
    script.act = each(RequestArrived, lambda e: [Forward(e.request_id, "s0", 9000.0)])

    async def test() -> None:
        async with proxy() as p:
            host, port = p.listener.address.split(":")
            with socket.create_connection((host, int(port))) as client:
                client.sendall(request())
            # No turn of the loop has been since: it finds the connection, its request and its end at once.
            other = await p.client()
            other.send(x_call_id="other")
            call = await p.backends[0].requests.get()
            assert call.headers["x-call-id"] == "other" and p.backends[0].requests.empty()
            call.respond()
            assert (await other.read_response()).status == 200
            await until(lambda: len(p.listener.slots.connections) == 1 and not p.engine.requests.open)
            assert p.backends[0].connection_count == 1

    run(test())


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("why", ["client leaves", "time is up"])
def test_nothing_goes_out_on_a_connection_that_comes_up_when_nobody_waits(
    script: type[Script], may_cancel: bool, why: str
) -> None:
    """Whether attempts may be called off or not: one that has not gone out is none yet."""

    def act(batch: list[Any]) -> list[Action]:
        actions: list[Action] = [
            Forward(e.request_id, "s0", 9000.0) for e in batch if isinstance(e, RequestArrived)
        ]
        gone = [e for e in batch if isinstance(e, ClientDisconnected) and may_cancel]
        return actions + [CancelAttempt(e.request_id, 0) for e in gone]

    script.act = staticmethod(act)

    async def test() -> None:
        async with proxy(MayCancel=may_cancel) as p:
            gate = ConnectGate.of(p.engine.connection_pool)
            client, other = await p.client(), await p.client()
            client.send(x_budget_ms="20000" if why == "client leaves" else "50")
            comes_up = await gate.attempts.get()
            if why == "client leaves":
                client.close()
            else:
                assert (await client.read_response()).status == 504
            await until(lambda: events(AttemptEnded))
            assert events(AttemptEnded)[0].result in (AttemptResult.WITHDRAWN, AttemptResult.CANCELLED)
            comes_up.set()
            other.send(x_call_id="other")
            (await gate.attempts.get()).set()
            call = await p.backends[0].requests.get()
            assert call.headers["x-call-id"] == "other" and p.backends[0].requests.empty()
            call.respond()
            assert (await other.read_response()).status == 200

    run(test())


async def leave_unseen(p: Proxy, client: Client, how: str) -> None:
    """The client leaves, and the loop has not noticed: as if it had been too busy to come to it since."""
    (inside,) = p.listener.slots.connections
    inside.transport.pause_reading()
    if how == "half-close":
        client.writer.write_eof()
    elif how == "reset":
        reset(client.writer)
    else:
        client.writer.transport.abort()
    await until(lambda: is_closed_by_peer(inside.transport))
    assert not events(ClientDisconnected)


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
@pytest.mark.parametrize("further", [False, True])
def test_nothing_is_sent_for_a_client_that_left_while_the_loop_was_busy(
    script: type[Script], how: str, further: bool
) -> None:
    """Nor sent again: an attempt more than 0.1 s after the close is a violation, however late the loop is."""

    def act(batch: list[Any]) -> list[Action]:
        kinds = (TimerFired, RequestArrived) if further else TimerFired
        return [Forward("c1", "s0", 9000.0) for e in batch if isinstance(e, kinds)]

    script.act = staticmethod(act)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            await until(lambda: events(RequestArrived))
            if further:
                (await p.backends[0].requests.get()).respond(status=500)
                await until(lambda: events(AttemptEnded))
            await leave_unseen(p, client, how)
            p.engine._on_timer(7, p.engine._incarnation)
            await until(lambda: len(events(AttemptEnded)) == 1 + further)
            assert events(AttemptEnded)[-1][:3] == ("c1", int(further), AttemptResult.WITHDRAWN)
            await until(
                lambda: (
                    events(ClientDisconnected)
                    and not p.engine.requests.open
                    and not p.listener.slots.connections
                )
            )
            assert events(ClientDisconnected) == [ClientDisconnected("c1")] and p.backends[0].requests.empty()
            assert p.backends[0].connection_count == int(further)

    run(test())


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_a_connection_that_comes_up_for_a_client_that_left_unseen_carries_nothing(
    script: type[Script], how: str
) -> None:
    script.act = each(RequestArrived, lambda e: [Forward(e.request_id, "s0", 9000.0)])

    async def test() -> None:
        async with proxy() as p:
            gate = ConnectGate.of(p.engine.connection_pool)
            client = await p.client()
            client.send()
            comes_up = await gate.attempts.get()
            await leave_unseen(p, client, how)
            comes_up.set()
            await until(lambda: events(AttemptEnded))
            assert [e[:3] for e in events(AttemptEnded)] == [("c1", 0, AttemptResult.WITHDRAWN)]
            await until(lambda: not p.engine.requests.open and not p.engine.connection_pool.connections)
            assert events(ClientDisconnected) == [ClientDisconnected("c1")] and p.backends[0].requests.empty()

    run(test())


@pytest.mark.parametrize("pooled", [False, True])
@pytest.mark.parametrize("over", ["within", "limit", "neither"])
def test_the_time_that_a_step_took_counts_against_its_attempts(
    script: type[Script], over: str, pooled: bool
) -> None:
    """Times count from the start of the step; a long step, or many attempts in it, may outlast a window."""
    limit, within = 500_000.0 if over == "limit" else 9e6, 500_000.0 if over == "within" else 8e6

    def act(batch: list[Any]) -> list[Action]:
        arrivals = [e.request_id for e in batch if isinstance(e, RequestArrived)]
        if "late" in arrivals:  # as if this step had begun so long ago
            engines[0]._step_time = now_ms() - 1_000_000.0
            return [Forward("late", "s0", limit, within)]
        return [Forward(request, "s0", 9000.0) for request in arrivals]

    engines: list[Any] = []
    script.act = staticmethod(act)

    async def test() -> None:
        async with proxy() as p:
            engines.append(p.engine)
            client = await p.client()
            if pooled:
                client.send(x_call_id="first")
                (await p.backends[0].requests.get()).respond()
                assert (await client.read_response()).status == 200
                idle = p.engine.connection_pool.connections_by_backend["s0"].idle
                idle[0].idle_since -= 1000.0  # it may be lent again
            client.send(x_call_id="late")
            if over == "neither":
                call = await p.backends[0].requests.get()
                assert int(call.headers["x-budget-ms"]) <= 8_000_000
                call.respond()
                assert (await client.read_response()).status == 200
                return
            await until(lambda: len(events(AttemptEnded)) == 1 + pooled)
            assert events(AttemptEnded)[-1][:3] == (
                "late",
                0,
                AttemptResult.NO_LOCAL_RESOURCE,
            )  # no blame on the backend
            assert p.backends[0].requests.empty() and p.backends[0].connection_count == int(pooled)

    run(test())


def test_pipelined_requests_have_their_time_from_when_they_were_sent(
    script: type[Script], monkeypatch: pytest.MonkeyPatch
) -> None:
    """However many lie before them: one that is parsed only when another has ended waited all that time."""
    monkeypatch.setattr(connection_module, "PARSE_CHUNK_BYTES", 100)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            sent = [request(x_call_id=f"c{number}", x_budget_ms="200") for number in range(6)]
            client.writer.write(b"".join(sent))
            for _ in sent:
                assert (await client.read_response()).status == 504
            first, *others = [arrival.deadline for arrival in events(RequestArrived)]
            assert len(others) == 5 and all(abs(give_up - first) < 100.0 for give_up in others)

    run(test())


def test_a_request_behind_another_is_answered_in_its_time_too(script: type[Script]) -> None:
    """Answers on a connection come in order, so the one before it can't keep all of its own time."""
    script.act = each(RequestArrived, lambda e: [Forward(e.request_id, "s0", 20000.0)])

    async def test() -> None:
        async with proxy() as p:
            client, begun = await p.client(), now_ms()
            client.writer.write(request(x_call_id="c1") + request(x_call_id="c2", x_budget_ms="100"))
            assert [(await client.read_response()).status for _ in range(2)] == [504, 504]
            assert now_ms() - begun < 10000.0  # of the 20 s that the first one had
            call = await p.backends[0].requests.get()
            assert call.headers["x-call-id"] == "c1" and p.backends[0].requests.empty()

    run(test())


def test_a_request_that_waited_for_a_slot_has_the_time_that_is_left(script: type[Script]) -> None:
    """Its bytes came while no connection was accepted."""
    script.act = each(RequestArrived, lambda e: [Forward(e.request_id, "s0", 9000.0)])

    async def test() -> None:
        async with proxy() as p:
            p.listener.slots.limit = 1
            first, second = await p.client(), await p.client()
            first.send(x_call_id="c1", connection="close")
            call = await p.backends[0].requests.get()
            second.send(x_call_id="c2", x_budget_ms="9000")
            sent = now_ms()
            await until(lambda: not p.listener.is_accepting)
            await asyncio.sleep(0.5)
            call.respond()
            assert (await first.read_response()).status == 200
            first.close()
            (await p.backends[0].requests.get()).respond()
            assert (await second.read_response()).status == 200
            assert events(RequestArrived)[1].deadline < sent + 9000.0 + 100.0

    run(test())


@pytest.mark.parametrize("arrival_is_known", [True, False])
def test_what_lay_in_the_kernel_has_its_time_from_when_reading_paused(
    script: type[Script], monkeypatch: pytest.MonkeyPatch, arrival_is_known: bool
) -> None:
    """Or from when it arrived, where the kernel reports that."""
    clock = [0.0]
    monkeypatch.setattr(
        connection_module, "last_arrival_ms", lambda _: clock[0] if arrival_is_known else None
    )
    for module in (connection_module, listener_module, request_validator_module, slots_module):
        monkeypatch.setattr(module, "now_ms", lambda: now_ms() + clock[0])
    script.act = each(
        RequestArrived, lambda e: [Forward(e.request_id, "s0", 9000.0)] * (e.request_id == "c1")
    )

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            sent_ahead(client, "c1", "c2", "c3")
            call = await p.backends[0].requests.get()
            await until(lambda: p.listener.disconnects.paused)
            (inside,) = p.listener.slots.connections
            client.send(x_call_id="late", x_budget_ms="9000")
            await until(lambda: has_unread_input(inside.transport))
            clock[0] = 5000.0
            call.respond()
            await until(lambda: len(events(RequestArrived)) == 2)
            p.engine.requests.expire_all()
            for _ in range(6):
                await client.read_response()
            assert [e.request_id for e in events(RequestArrived)] == ["c1", "c2"]
            assert inside.paused_since == 0.0 and inside.reader.arrived_at < now_ms() + 2500.0

    run(test())


def test_timers_watches_and_health_checks_are_executed(script: type[Script]) -> None:
    script.act = each(
        BackendListUpdate,
        lambda e: (
            [SetTimer(1.0, 42), SendHealthCheck("s0"), PollDiscovery()] * (e.kind is ListUpdateKind.CACHED)
        ),
    )

    async def test() -> None:
        async with proxy() as p:
            health_check = await p.backends[0].requests.get()
            assert (
                health_check.request_line == "GET /stats HTTP/1.1" and "x-call-id" not in health_check.headers
            )
            health_check.respond()
            watch = await p.registry.requests.get()
            assert watch.request_line.startswith("GET /registry/instances?since=1&")
            await until(lambda: events(TimerFired) and events(HealthCheckResult))
            assert events(TimerFired) == [TimerFired(42)]
            assert events(HealthCheckResult)[0][:2] == ("s0", AttemptResult.OK)

    run(test())


def test_a_failed_balancer_is_logged_and_fails_its_requests_once(
    script: type[Script], capfd: pytest.CaptureFixture[str]
) -> None:
    def act(batch: list[Any]) -> list[Action]:
        arrivals = [e.request_id for e in batch if isinstance(e, RequestArrived)]
        if "break" in arrivals:
            raise ZeroDivisionError("in the balancer")
        return [Forward(request, "s0", 9000.0) for request in arrivals]

    script.act = staticmethod(act)

    async def test() -> None:
        async with proxy() as p:
            first, second = await p.client(), await p.client()
            first.send(x_call_id="held")
            call = await p.backends[0].requests.get()
            assert (await second.exchange(x_call_id="break")).status == 500
            assert (await first.read_response()).status == 500
            await call.closed.wait()
            first.send(x_call_id="later")  # a new balancer serves on, with the list as it stands
            (await p.backends[0].requests.get()).respond()
            assert (await first.read_response()).status == 200
            assert [e.kind for e in events(BackendListUpdate)] == [
                ListUpdateKind.CACHED,
                ListUpdateKind.CACHED,
            ]
            assert script.incarnations == 2

    run(test())
    shown = capfd.readouterr().err
    assert shown.count("the balancer failed") == 1 and "in the balancer" in shown


def test_a_request_pipelined_before_a_failure_is_served_by_the_new_balancer(script: type[Script]) -> None:
    def act(batch: list[Any]) -> list[Action]:
        arrivals = [e.request_id for e in batch if isinstance(e, RequestArrived)]
        if "break" in arrivals:
            raise ZeroDivisionError("in the balancer")
        return [Forward(request, "s0", 9000.0) for request in arrivals]

    script.act = staticmethod(act)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="break")
            client.send(x_call_id="next")
            assert (await client.read_response()).status == 500
            (await p.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200

    run(test())


def test_a_balancer_that_fails_answers_requests_in_all_states_once(script: type[Script]) -> None:
    """In the buffer, at a server, with a connection that comes up, and with a client that left just then."""

    def act(batch: list[Any]) -> list[Action]:
        arrivals = [e.request_id for e in batch if isinstance(e, RequestArrived)]
        if "break" in arrivals:
            raise ZeroDivisionError("in the balancer")
        sends = {"out": "s0", "left": "s0", "coming": "s1", "later": "s0"}
        return [Forward(request, sends[request], 9000.0) for request in arrivals if request in sends]

    script.act = staticmethod(act)

    async def test() -> None:
        async with proxy(backends=2) as p:
            clients = {name: await p.client() for name in ("held", "out", "left", "coming", "break", "later")}
            for name in ("held", "out", "left"):
                clients[name].send(x_call_id=name)
            calls = [await p.backends[0].requests.get() for _ in range(2)]
            gate = ConnectGate.of(p.engine.connection_pool)
            clients["coming"].send(x_call_id="coming")
            comes_up = await gate.attempts.get()
            await until(lambda: "held" in p.engine.requests.open)
            # Both in the batch that breaks: its client's leaving is not heard by any balancer.
            p.engine.requests.client_disconnected("left")
            clients["break"].send(x_call_id="break")
            for name in ("held", "out", "coming", "break"):
                assert (await clients[name].read_response()).status == 500
            for call in calls:
                await call.closed.wait()
            comes_up.set()
            clients["later"].send(x_call_id="later")
            (await gate.attempts.get()).set()
            call = await p.backends[0].requests.get()
            assert call.headers["x-call-id"] == "later"
            call.respond()
            assert (await clients["later"].read_response()).status == 200
            assert p.backends[1].requests.empty() and not p.engine.requests.open.keys() - {"later"}

    run(test())


def test_a_watch_that_ended_as_the_balancer_failed_is_opened_anew(script: type[Script]) -> None:
    def act(batch: list[Any]) -> list[Action]:
        if any(isinstance(e, BackendListUpdate) and e.kind is ListUpdateKind.FAILED for e in batch):
            raise ZeroDivisionError("in the balancer")
        return []

    script.act = staticmethod(act)

    async def test() -> None:
        async with proxy(list_mode="push") as p:
            (await p.registry.requests.get()).respond(status=503)
            assert "?since=1&" in (await p.registry.requests.get()).request_line
            assert script.incarnations == 2

    run(test())


def test_one_action_that_cannot_be_carried_out_leaves_the_others(
    script: type[Script], monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    script.act = each(RequestArrived, lambda e: [SendHealthCheck("s0"), Fail(e.request_id)])

    async def test() -> None:
        async with proxy() as p:
            monkeypatch.setattr(p.engine.connection_pool, "start", lambda attempt: 1 / 0)
            assert (await (await p.client()).exchange()).status == 504

    run(test())
    assert "internal error: action SendHealthCheck" in capfd.readouterr().err


def test_a_flood_of_log_lines_is_cut_and_reported(capfd: pytest.CaptureFixture[str]) -> None:
    log = log_writer_module.LogWriter()
    for number in range(1000):
        log(f"line {number}")
    log._second -= 1  # the next second
    log("later")
    lines = capfd.readouterr().err.splitlines()
    assert len(lines) < 3 * log_writer_module.MAX_LINES_PER_S and "earlier lines dropped" in lines[-1]


@pytest.mark.parametrize(
    ("header", "work"), [("12500", 12.5), ("-1", 0.0), ("1e9", 0.0), ("", 0.0), (None, 0.0)]
)
def test_a_work_hint_reaches_the_balancer_if_it_can_be_one(
    script: type[Script], header: str | None, work: float
) -> None:
    script.act = each(RequestArrived, lambda e: [Fail(e.request_id)])

    async def test() -> None:
        async with proxy() as p:
            assert (await (await p.client()).exchange(x_call_cost=header)).status == 504
            assert events(RequestArrived)[0].work_hint_ms == work

    run(test())
