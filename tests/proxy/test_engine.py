"""The engine with a scripted balancer: steps, final responses, and a balancer that raises."""

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
from dunecove.proxy import bounded_protocol
from dunecove.proxy import client_connection as connection_module
from dunecove.proxy import connection_slots as slots_module
from dunecove.proxy import disconnect_watcher as watcher_module
from dunecove.proxy import engine as engine_module
from dunecove.proxy import listener as listener_module
from dunecove.proxy import log_writer as log_writer_module
from dunecove.proxy import request_pipeline as pipeline_module
from dunecove.proxy import request_validator as request_validator_module
from dunecove.proxy import unread_input as unread_input_module
from dunecove.proxy.clock import now_ms
from dunecove.proxy.socket_probe import has_unread_input, is_closed_by_peer
from tests.loopback import (
    Client,
    ConnectGate,
    Proxy,
    encode_request,
    reset_connection,
    run,
    run_proxy,
    wait_until,
)

Step = Callable[[list[Any]], list[Action]]


class ScriptedBalancer:
    """A stub of the balancer that records each batch of events and returns the actions of `act`."""

    act: Step
    batches: list[list[Any]]
    incarnations: int

    def __init__(self, settings: Settings, seed: int) -> None:
        ScriptedBalancer.incarnations += 1

    def step(self, now: float, events: list[Any]) -> list[Action]:
        ScriptedBalancer.batches.append(events)
        return ScriptedBalancer.act(events)


@pytest.fixture
def balancer(monkeypatch: pytest.MonkeyPatch) -> type[ScriptedBalancer]:
    ScriptedBalancer.act, ScriptedBalancer.batches, ScriptedBalancer.incarnations = (
        staticmethod(lambda batch: []),
        [],
        0,
    )
    monkeypatch.setattr(engine_module, "Balancer", ScriptedBalancer)
    # Earlier tests in the same second must not use up the rate limit of the log.
    monkeypatch.setattr(log_writer_module.log, "line_count", 0)
    return ScriptedBalancer


def for_each(event_type: type[Any], act: Callable[[Any], list[Action]]) -> Step:
    """Return a step function that calls `act` for each event of a type."""
    return staticmethod(lambda batch: [a for e in batch if isinstance(e, event_type) for a in act(e)])


def events(event_type: type[Any]) -> list[Any]:
    """Return all events of a type that the balancer has received."""
    return [e for batch in ScriptedBalancer.batches for e in batch if isinstance(e, event_type)]


def test_cached_list_is_the_first_event(balancer: type[ScriptedBalancer]) -> None:
    async def test() -> None:
        async with run_proxy(backends=2):
            await wait_until(lambda: balancer.batches)
            (cached,) = balancer.batches[0]
            assert (cached.kind, [e.backend_id for e in cached.entries]) == (
                ListUpdateKind.CACHED,
                ["s0", "s1"],
            )

    run(test())


def test_request_headers_are_passed_to_the_balancer(balancer: type[ScriptedBalancer]) -> None:
    balancer.act = for_each(RequestArrived, lambda e: [Fail(e.request_id)])

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
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


def test_deadline_is_capped_by_the_request_class(balancer: type[ScriptedBalancer]) -> None:
    # The balancer recognises retries by the longest remaining time seen in a class. A single client must not
    # raise it.
    balancer.act = for_each(RequestArrived, lambda e: [Fail(e.request_id)])

    async def test() -> None:
        async with run_proxy() as proxy:
            await (await proxy.client()).exchange(x_budget_ms="999999999")
            assert events(RequestArrived)[0].deadline <= now_ms() + 30000

    run(test())


def test_rejections_and_failures_are_sent_without_an_attempt(balancer: type[ScriptedBalancer]) -> None:
    balancer.act = for_each(
        RequestArrived,
        lambda e: (
            [Fail(e.request_id)]
            if e.request_id == "f"
            else [Reject(e.request_id, 250.0 * (e.request_id == "r"))]
        ),
    )

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            rejected = await client.exchange(x_call_id="r")
            assert (rejected.status, rejected.headers["retry-after"]) == (503, "0.250")
            without_delay = await client.exchange(x_call_id="p")
            assert without_delay.status == 503 and "retry-after" not in without_delay.headers
            assert (await client.exchange(x_call_id="f")).status == 504
            assert proxy.backends[0].connection_count == 0 and not events(ClientDisconnected)

    run(test())


def test_request_without_a_decision_fails_at_its_deadline(balancer: type[ScriptedBalancer]) -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            assert (await client.exchange(x_budget_ms="30")).status == 504
            await wait_until(lambda: events(ClientDisconnected))

    run(test())


def test_events_of_one_loop_iteration_share_a_step_with_list_updates_first(
    balancer: type[ScriptedBalancer],
) -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            await wait_until(lambda: balancer.batches)
            balancer.batches.clear()
            proxy.engine.requests.client_disconnected("nobody")  # not an open request: no event
            proxy.engine._on_timer(7, proxy.engine._incarnation)
            proxy.engine.on_list_failure("test")
            proxy.engine._on_timer(8, proxy.engine._incarnation)
            await wait_until(lambda: balancer.batches)
            assert balancer.batches == [
                [BackendListUpdate(ListUpdateKind.FAILED), TimerFired(7), TimerFired(8)]
            ]

    run(test())


def test_events_raised_by_actions_are_delivered_in_a_later_step(balancer: type[ScriptedBalancer]) -> None:
    balancer.act = for_each(
        RequestArrived, lambda e: [Forward(e.request_id, "unknown", 1000.0), BackendEjected("s0", 3)]
    )

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            await wait_until(lambda: events(AttemptEnded))
            assert not any(
                isinstance(e, AttemptEnded)
                for batch in balancer.batches
                for e in batch
                if RequestArrived in map(type, batch)
            )
            assert events(AttemptEnded)[0][:3] == ("c1", 0, AttemptResult.CONNECT_FAILED)

    run(test())


def test_attempt_of_a_finished_request_is_withdrawn_and_its_result_reported(
    balancer: type[ScriptedBalancer],
) -> None:
    balancer.act = for_each(
        RequestArrived, lambda e: [Fail(e.request_id), Forward(e.request_id, "s0", 1000.0)]
    )

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            assert (await client.exchange()).status == 504
            await wait_until(lambda: events(AttemptEnded))
            assert [(e.result, e.request_finished) for e in events(AttemptEnded)] == [
                (AttemptResult.WITHDRAWN, True)
            ]
            assert proxy.backends[0].connection_count == 0
            await wait_until(lambda: not proxy.engine.requests.open)

    run(test())


def test_retry_is_not_sent_if_the_client_disconnects_in_the_same_step(
    balancer: type[ScriptedBalancer],
) -> None:
    # The result of the attempt and the disconnect are delivered in one step, in which the request is
    # forwarded again.
    def act(batch: list[Any]) -> list[Action]:
        actions: list[Action] = [
            Forward(e.request_id, "s0", 9000.0) for e in batch if isinstance(e, RequestArrived)
        ]
        for event in batch:
            if isinstance(event, AttemptEnded) and event.attempt_index == 0:
                actions += [Forward(event.request_id, "s0", 9000.0), CancelAttempt(event.request_id, 1)]
        return actions

    balancer.act = staticmethod(act)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            await proxy.backends[0].requests.get()
            open_request = proxy.engine.requests.open["c1"]
            open_request.attempts[0].end(AttemptResult.REJECTED)
            proxy.engine.requests.client_disconnected("c1")
            await wait_until(lambda: len(events(AttemptEnded)) == 2)
            assert [(e.attempt_index, e.result) for e in events(AttemptEnded)] == [
                (0, AttemptResult.REJECTED),
                (1, AttemptResult.WITHDRAWN),
            ]
            assert proxy.backends[0].requests.empty()
            await wait_until(lambda: not proxy.engine.requests.open)

    run(test())


def send_pipelined(client: Client, *ids: str) -> None:
    """Send requests with these ids, followed by enough input that the proxy pauses reading."""
    for name in ids:
        client.send(x_call_id=name)
    for number in range(2):
        client.send(x_call_id=f"{ids[-1]}-long-{number}", body=b"x" * pipeline_module.MAX_PENDING_SMALL_BYTES)


def test_disconnect_is_detected_while_reading_is_paused(balancer: type[ScriptedBalancer]) -> None:
    # The pipelined input is so long that reading is paused, so the event loop does not see the close.
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            send_pipelined(client, "c1", "c2", "c3")
            await wait_until(lambda: proxy.listener.disconnect_watcher.paused)
            client.close()
            await wait_until(lambda: events(ClientDisconnected))
            assert events(ClientDisconnected) == [ClientDisconnected("c1")]
            await wait_until(lambda: not proxy.listener.slots.connections)
            assert [e.request_id for e in events(RequestArrived)] == ["c1"]

    run(test())


def test_hundreds_of_paused_connections_are_polled_with_one_system_call(
    balancer: type[ScriptedBalancer], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watcher_module, "DISCONNECT_POLL_INTERVAL_S", 1000.0)  # the test triggers the poll
    polls, poll = [], select.poll

    def counting_poll() -> Any:
        polls.append(poll())
        return polls[-1]

    async def test() -> None:
        async with run_proxy() as proxy:
            clients = [await proxy.client() for _ in range(300)]
            for number, client in enumerate(clients):
                send_pipelined(client, f"{number}-1", f"{number}-2", f"{number}-3")
            await wait_until(lambda: len(proxy.listener.disconnect_watcher.paused) == len(clients))
            for client in clients[::3]:
                client.writer.transport.abort()
            server_connections = list(proxy.listener.disconnect_watcher.paused)
            await wait_until(
                lambda: (
                    sum(is_closed_by_peer(connection.transport) for connection in server_connections) == 100
                )
            )
            with monkeypatch.context() as patch:
                patch.setattr(select, "poll", counting_poll)
                proxy.listener.disconnect_watcher.poll()
            assert len(polls) == 1
            await wait_until(lambda: len(proxy.listener.slots.connections) == 200)
            await wait_until(lambda: not proxy.engine._events)  # delivered in the next loop iteration
            assert {e.request_id for e in events(ClientDisconnected)} == {
                f"{index}-1" for index in range(0, 300, 3)
            }
            assert (
                len(proxy.listener.disconnect_watcher.paused) == 200
                and proxy.listener.disconnect_watcher.poll_timer is not None
            )
            proxy.listener.disconnect_watcher.poll_timer.cancel()

    run(test())


def test_pipelined_request_is_not_accepted_after_its_client_disconnected(
    balancer: type[ScriptedBalancer], monkeypatch: pytest.MonkeyPatch
) -> None:
    # The close must be found when the second request is about to be accepted, not by the disconnect watcher.
    monkeypatch.setattr(watcher_module, "DISCONNECT_POLL_INTERVAL_S", 1000.0)
    balancer.act = for_each(RequestArrived, lambda e: [Forward(e.request_id, "s0", 9000.0)])

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            send_pipelined(client, "c1", "c2", "c3")
            received = await proxy.backends[0].requests.get()
            await wait_until(lambda: proxy.listener.disconnect_watcher.paused)
            (server_connection,) = proxy.listener.slots.connections
            client.close()
            await wait_until(lambda: is_closed_by_peer(server_connection.transport))
            received.respond()
            await wait_until(lambda: not proxy.listener.slots.connections)
            assert [e.request_id for e in events(RequestArrived)] == ["c1"]
            assert proxy.backends[0].requests.empty()

    run(test())


def test_disconnect_is_reported_at_once_while_responses_are_unread(balancer: type[ScriptedBalancer]) -> None:
    # connection_lost is not called before the write buffer is flushed, and the client reads nothing.
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            await wait_until(lambda: events(RequestArrived))
            (server_connection,) = proxy.listener.slots.connections
            written_bytes = 0
            while server_connection.transport.get_write_buffer_size() == 0 or written_bytes < 8_000_000:
                server_connection.transport.write(b"x" * 1_000_000)
                written_bytes += 1_000_000
            client.writer.write_eof()
            await wait_until(lambda: events(ClientDisconnected))
            assert proxy.listener.slots.connections

    run(test())


def test_no_attempt_is_sent_if_the_client_disconnects_in_the_loop_iteration_of_its_request(
    balancer: type[ScriptedBalancer],
) -> None:
    balancer.act = for_each(RequestArrived, lambda e: [Forward(e.request_id, "s0", 9000.0)])

    async def test() -> None:
        async with run_proxy() as proxy:
            host, port = proxy.listener.address.split(":")
            with socket.create_connection((host, int(port))) as client:
                client.sendall(encode_request())
            # The event loop has not run since, so it sees the connection, its request and its close at once.
            other_client = await proxy.client()
            other_client.send(x_call_id="other")
            received = await proxy.backends[0].requests.get()
            assert received.headers["x-call-id"] == "other" and proxy.backends[0].requests.empty()
            received.respond()
            assert (await other_client.read_response()).status == 200
            await wait_until(
                lambda: len(proxy.listener.slots.connections) == 1 and not proxy.engine.requests.open
            )
            assert proxy.backends[0].connection_count == 1

    run(test())


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("cause", ["disconnect", "deadline"])
def test_no_attempt_is_sent_on_a_connection_established_after_its_request_ended(
    balancer: type[ScriptedBalancer], may_cancel: bool, cause: str
) -> None:
    """An attempt that has not been written may be withdrawn even if attempts must not be cancelled."""

    def act(batch: list[Any]) -> list[Action]:
        actions: list[Action] = [
            Forward(e.request_id, "s0", 9000.0) for e in batch if isinstance(e, RequestArrived)
        ]
        disconnects = [e for e in batch if isinstance(e, ClientDisconnected) and may_cancel]
        return actions + [CancelAttempt(e.request_id, 0) for e in disconnects]

    balancer.act = staticmethod(act)

    async def test() -> None:
        async with run_proxy(MayCancel=may_cancel) as proxy:
            gate = ConnectGate.install(proxy.engine.connection_pool)
            client, other_client = await proxy.client(), await proxy.client()
            client.send(x_budget_ms="20000" if cause == "disconnect" else "50")
            may_open = await gate.pending_connects.get()
            if cause == "disconnect":
                client.close()
            else:
                assert (await client.read_response()).status == 504
            await wait_until(lambda: events(AttemptEnded))
            assert events(AttemptEnded)[0].result in (AttemptResult.WITHDRAWN, AttemptResult.CANCELLED)
            may_open.set()
            other_client.send(x_call_id="other")
            (await gate.pending_connects.get()).set()
            received = await proxy.backends[0].requests.get()
            assert received.headers["x-call-id"] == "other" and proxy.backends[0].requests.empty()
            received.respond()
            assert (await other_client.read_response()).status == 200

    run(test())


async def disconnect_unnoticed(proxy: Proxy, client: Client, close_mode: str) -> None:
    """Disconnect a client without the event loop noticing it, as if the loop had been too busy."""
    (server_connection,) = proxy.listener.slots.connections
    server_connection.transport.pause_reading()
    if close_mode == "half-close":
        client.writer.write_eof()
    elif close_mode == "reset":
        reset_connection(client.writer)
    else:
        client.writer.transport.abort()
    await wait_until(lambda: is_closed_by_peer(server_connection.transport))
    assert not events(ClientDisconnected)


@pytest.mark.parametrize("close_mode", ["close", "half-close", "reset"])
@pytest.mark.parametrize("is_retry", [False, True])
def test_no_attempt_is_sent_for_a_client_that_disconnected_while_the_loop_was_busy(
    balancer: type[ScriptedBalancer], close_mode: str, is_retry: bool
) -> None:
    """An attempt or retry over 0.1 s after the close is a violation, however late the loop is."""

    def act(batch: list[Any]) -> list[Action]:
        event_types = (TimerFired, RequestArrived) if is_retry else TimerFired
        return [Forward("c1", "s0", 9000.0) for e in batch if isinstance(e, event_types)]

    balancer.act = staticmethod(act)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            await wait_until(lambda: events(RequestArrived))
            if is_retry:
                (await proxy.backends[0].requests.get()).respond(status=500)
                await wait_until(lambda: events(AttemptEnded))
            await disconnect_unnoticed(proxy, client, close_mode)
            proxy.engine._on_timer(7, proxy.engine._incarnation)
            await wait_until(lambda: len(events(AttemptEnded)) == 1 + is_retry)
            assert events(AttemptEnded)[-1][:3] == ("c1", int(is_retry), AttemptResult.WITHDRAWN)
            await wait_until(
                lambda: (
                    events(ClientDisconnected)
                    and not proxy.engine.requests.open
                    and not proxy.listener.slots.connections
                )
            )
            assert (
                events(ClientDisconnected) == [ClientDisconnected("c1")]
                and proxy.backends[0].requests.empty()
            )
            assert proxy.backends[0].connection_count == int(is_retry)

    run(test())


@pytest.mark.parametrize("close_mode", ["close", "half-close", "reset"])
def test_no_attempt_is_sent_on_a_new_connection_after_an_unnoticed_disconnect(
    balancer: type[ScriptedBalancer], close_mode: str
) -> None:
    balancer.act = for_each(RequestArrived, lambda e: [Forward(e.request_id, "s0", 9000.0)])

    async def test() -> None:
        async with run_proxy() as proxy:
            gate = ConnectGate.install(proxy.engine.connection_pool)
            client = await proxy.client()
            client.send()
            may_open = await gate.pending_connects.get()
            await disconnect_unnoticed(proxy, client, close_mode)
            may_open.set()
            await wait_until(lambda: events(AttemptEnded))
            assert [e[:3] for e in events(AttemptEnded)] == [("c1", 0, AttemptResult.WITHDRAWN)]
            await wait_until(
                lambda: not proxy.engine.requests.open and not proxy.engine.connection_pool.connections
            )
            assert (
                events(ClientDisconnected) == [ClientDisconnected("c1")]
                and proxy.backends[0].requests.empty()
            )

    run(test())


@pytest.mark.parametrize("reuses_connection", [False, True])
@pytest.mark.parametrize("exceeded", ["write_timeout", "timeout", "neither"])
def test_step_duration_counts_towards_attempt_timeouts(
    balancer: type[ScriptedBalancer], exceeded: str, reuses_connection: bool
) -> None:
    """Durations count from the start of the step; a long step, or one with many attempts, may exceed them."""
    timeout, write_timeout = (
        500_000.0 if exceeded == "timeout" else 9e6,
        500_000.0 if exceeded == "write_timeout" else 8e6,
    )

    def act(batch: list[Any]) -> list[Action]:
        arrivals = [e.request_id for e in batch if isinstance(e, RequestArrived)]
        if "late" in arrivals:  # as if this step had started 1000 s ago
            engines[0]._step_time = now_ms() - 1_000_000.0
            return [Forward("late", "s0", timeout, write_timeout)]
        return [Forward(request, "s0", 9000.0) for request in arrivals]

    engines: list[Any] = []
    balancer.act = staticmethod(act)

    async def test() -> None:
        async with run_proxy() as proxy:
            engines.append(proxy.engine)
            client = await proxy.client()
            if reuses_connection:
                client.send(x_call_id="first")
                (await proxy.backends[0].requests.get()).respond()
                assert (await client.read_response()).status == 200
                idle = proxy.engine.connection_pool.connections_by_backend["s0"].idle
                idle[0].idle_since -= 1000.0  # idle long enough to be reused
            client.send(x_call_id="late")
            if exceeded == "neither":
                received = await proxy.backends[0].requests.get()
                assert int(received.headers["x-budget-ms"]) <= 8_000_000
                received.respond()
                assert (await client.read_response()).status == 200
                return
            await wait_until(lambda: len(events(AttemptEnded)) == 1 + reuses_connection)
            # Does not count as a failure of the backend.
            assert events(AttemptEnded)[-1][:3] == (
                "late",
                0,
                AttemptResult.NO_LOCAL_RESOURCE,
            )
            assert proxy.backends[0].requests.empty() and proxy.backends[0].connection_count == int(
                reuses_connection
            )

    run(test())


def test_budget_of_pipelined_requests_starts_when_they_arrive(
    balancer: type[ScriptedBalancer], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that is parsed only after earlier ones have ended has waited since it arrived."""
    monkeypatch.setattr(connection_module, "PARSE_CHUNK_BYTES", 100)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            requests = [encode_request(x_call_id=f"c{number}", x_budget_ms="200") for number in range(6)]
            client.writer.write(b"".join(requests))
            for _ in requests:
                assert (await client.read_response()).status == 504
            first_deadline, *later_deadlines = [arrival.deadline for arrival in events(RequestArrived)]
            assert len(later_deadlines) == 5 and all(
                abs(deadline - first_deadline) < 100.0 for deadline in later_deadlines
            )

    run(test())


@pytest.mark.parametrize(("read_bytes", "body_bytes"), [(bounded_protocol.READ_BYTES, 20_000), (8192, 5000)])
def test_budget_of_pipelined_requests_that_take_several_reads_starts_when_they_arrive(
    balancer: type[ScriptedBalancer], monkeypatch: pytest.MonkeyPatch, read_bytes: int, body_bytes: int
) -> None:
    """Failure: what was left in the kernel by a full read counted as having arrived with a later read."""
    monkeypatch.setattr(bounded_protocol, "READ_BYTES", read_bytes)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            requests = [
                encode_request(x_call_id=f"c{number}", x_budget_ms="300", body=b"x" * body_bytes)
                for number in range(10)
            ]
            client.writer.write(b"".join(requests))
            for _ in requests:
                assert (await client.read_response()).status == 504
            deadlines = [arrival.deadline for arrival in events(RequestArrived)]
            assert len(deadlines) == 10 and max(deadlines) - min(deadlines) < 100.0

    run(test())


def test_pipelined_request_shortens_the_deadline_of_the_request_before_it(
    balancer: type[ScriptedBalancer],
) -> None:
    """Responses on a connection are sent in order, so the request before it can't use its own full budget."""
    balancer.act = for_each(RequestArrived, lambda e: [Forward(e.request_id, "s0", 20000.0)])

    async def test() -> None:
        async with run_proxy() as proxy:
            client, started_at = await proxy.client(), now_ms()
            client.writer.write(
                encode_request(x_call_id="c1") + encode_request(x_call_id="c2", x_budget_ms="100")
            )
            assert [(await client.read_response()).status for _ in range(2)] == [504, 504]
            assert now_ms() - started_at < 10000.0  # the budget of the first request is 20 s
            received = await proxy.backends[0].requests.get()
            assert received.headers["x-call-id"] == "c1" and proxy.backends[0].requests.empty()

    run(test())


def test_time_waiting_for_a_slot_counts_towards_the_budget(balancer: type[ScriptedBalancer]) -> None:
    """The request arrives while the proxy accepts no connections."""
    balancer.act = for_each(RequestArrived, lambda e: [Forward(e.request_id, "s0", 9000.0)])

    async def test() -> None:
        async with run_proxy() as proxy:
            proxy.listener.slots.limit = 1
            first, second = await proxy.client(), await proxy.client()
            first.send(x_call_id="c1", connection="close")
            received = await proxy.backends[0].requests.get()
            second.send(x_call_id="c2", x_budget_ms="9000")
            sent_at = now_ms()
            await wait_until(lambda: not proxy.listener.is_accepting)
            await asyncio.sleep(0.5)
            received.respond()
            assert (await first.read_response()).status == 200
            first.close()
            (await proxy.backends[0].requests.get()).respond()
            assert (await second.read_response()).status == 200
            assert events(RequestArrived)[1].deadline < sent_at + 9000.0 + 100.0

    run(test())


@pytest.mark.parametrize("is_arrival_time_known", [True, False])
def test_budget_of_unread_input_starts_when_it_arrived_or_reading_paused(
    balancer: type[ScriptedBalancer], monkeypatch: pytest.MonkeyPatch, is_arrival_time_known: bool
) -> None:
    """The arrival time is used if the kernel reports it, otherwise the time at which reading was paused."""
    clock_offset_ms = [0.0]
    monkeypatch.setattr(
        unread_input_module,
        "last_data_age_ms",
        lambda _: clock_offset_ms[0] if is_arrival_time_known else None,
    )
    for module in (
        connection_module,
        unread_input_module,
        listener_module,
        request_validator_module,
        slots_module,
    ):
        monkeypatch.setattr(module, "now_ms", lambda: now_ms() + clock_offset_ms[0])
    balancer.act = for_each(
        RequestArrived, lambda e: [Forward(e.request_id, "s0", 9000.0)] * (e.request_id == "c1")
    )

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            send_pipelined(client, "c1", "c2", "c3")
            received = await proxy.backends[0].requests.get()
            await wait_until(lambda: proxy.listener.disconnect_watcher.paused)
            (server_connection,) = proxy.listener.slots.connections
            client.send(x_call_id="late", x_budget_ms="9000")
            await wait_until(lambda: has_unread_input(server_connection.transport))
            clock_offset_ms[0] = 5000.0
            received.respond()
            await wait_until(lambda: len(events(RequestArrived)) == 2)
            proxy.engine.requests.expire_all()
            for _ in range(6):
                await client.read_response()
            assert [e.request_id for e in events(RequestArrived)] == ["c1", "c2"]
            assert (
                server_connection.unread_input.pending_since == 0.0
                and server_connection.reader.arrived_at < now_ms() + 2500.0
            )

    run(test())


def test_timer_poll_and_health_check_actions_are_executed(balancer: type[ScriptedBalancer]) -> None:
    balancer.act = for_each(
        BackendListUpdate,
        lambda e: (
            [SetTimer(1.0, 42), SendHealthCheck("s0"), PollDiscovery()] * (e.kind is ListUpdateKind.CACHED)
        ),
    )

    async def test() -> None:
        async with run_proxy() as proxy:
            health_check = await proxy.backends[0].requests.get()
            assert (
                health_check.request_line == "GET /stats HTTP/1.1" and "x-call-id" not in health_check.headers
            )
            health_check.respond()
            watch = await proxy.discovery_server.requests.get()
            assert watch.request_line.startswith("GET /registry/instances?since=1&")
            await wait_until(lambda: events(TimerFired) and events(HealthCheckResult))
            assert events(TimerFired) == [TimerFired(42)]
            assert events(HealthCheckResult)[0][:2] == ("s0", AttemptResult.OK)

    run(test())


def test_balancer_failure_is_logged_and_fails_open_requests_once(
    balancer: type[ScriptedBalancer], capfd: pytest.CaptureFixture[str]
) -> None:
    def act(batch: list[Any]) -> list[Action]:
        arrivals = [e.request_id for e in batch if isinstance(e, RequestArrived)]
        if "break" in arrivals:
            raise ZeroDivisionError("in the balancer")
        return [Forward(request, "s0", 9000.0) for request in arrivals]

    balancer.act = staticmethod(act)

    async def test() -> None:
        async with run_proxy() as proxy:
            first, second = await proxy.client(), await proxy.client()
            first.send(x_call_id="held")
            received = await proxy.backends[0].requests.get()
            assert (await second.exchange(x_call_id="break")).status == 500
            assert (await first.read_response()).status == 500
            await received.closed.wait()
            first.send(x_call_id="later")  # served by the new balancer, which has received the current list
            (await proxy.backends[0].requests.get()).respond()
            assert (await first.read_response()).status == 200
            assert [e.kind for e in events(BackendListUpdate)] == [
                ListUpdateKind.CACHED,
                ListUpdateKind.CACHED,
            ]
            assert balancer.incarnations == 2

    run(test())
    stderr = capfd.readouterr().err
    assert stderr.count("the balancer failed") == 1 and "in the balancer" in stderr


def test_request_pipelined_before_a_balancer_failure_is_served_by_the_new_balancer(
    balancer: type[ScriptedBalancer],
) -> None:
    def act(batch: list[Any]) -> list[Action]:
        arrivals = [e.request_id for e in batch if isinstance(e, RequestArrived)]
        if "break" in arrivals:
            raise ZeroDivisionError("in the balancer")
        return [Forward(request, "s0", 9000.0) for request in arrivals]

    balancer.act = staticmethod(act)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send(x_call_id="break")
            client.send(x_call_id="next")
            assert (await client.read_response()).status == 500
            (await proxy.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200

    run(test())


def test_balancer_failure_answers_requests_in_all_states_once(balancer: type[ScriptedBalancer]) -> None:
    """The states: queued, in flight, connecting, and with a client that has just disconnected."""

    def act(batch: list[Any]) -> list[Action]:
        arrivals = [e.request_id for e in batch if isinstance(e, RequestArrived)]
        if "break" in arrivals:
            raise ZeroDivisionError("in the balancer")
        backends_by_request = {"in_flight": "s0", "disconnected": "s0", "connecting": "s1", "next": "s0"}
        return [
            Forward(request, backends_by_request[request], 9000.0)
            for request in arrivals
            if request in backends_by_request
        ]

    balancer.act = staticmethod(act)

    async def test() -> None:
        async with run_proxy(backends=2) as proxy:
            clients = {
                name: await proxy.client()
                for name in ("queued", "in_flight", "disconnected", "connecting", "break", "next")
            }
            for name in ("queued", "in_flight", "disconnected"):
                clients[name].send(x_call_id=name)
            received_requests = [await proxy.backends[0].requests.get() for _ in range(2)]
            gate = ConnectGate.install(proxy.engine.connection_pool)
            clients["connecting"].send(x_call_id="connecting")
            may_open = await gate.pending_connects.get()
            await wait_until(lambda: "queued" in proxy.engine.requests.open)
            # The disconnect and the arrival of `break` are in the batch of the failing step, so no balancer
            # processes the disconnect.
            proxy.engine.requests.client_disconnected("disconnected")
            clients["break"].send(x_call_id="break")
            for name in ("queued", "in_flight", "connecting", "break"):
                assert (await clients[name].read_response()).status == 500
            for received in received_requests:
                await received.closed.wait()
            may_open.set()
            clients["next"].send(x_call_id="next")
            (await gate.pending_connects.get()).set()
            received = await proxy.backends[0].requests.get()
            assert received.headers["x-call-id"] == "next"
            received.respond()
            assert (await clients["next"].read_response()).status == 200
            assert proxy.backends[1].requests.empty() and not proxy.engine.requests.open.keys() - {"next"}

    run(test())


def test_watch_that_ended_as_the_balancer_failed_is_reopened(balancer: type[ScriptedBalancer]) -> None:
    def act(batch: list[Any]) -> list[Action]:
        if any(isinstance(e, BackendListUpdate) and e.kind is ListUpdateKind.FAILED for e in batch):
            raise ZeroDivisionError("in the balancer")
        return []

    balancer.act = staticmethod(act)

    async def test() -> None:
        async with run_proxy(discovery_mode="push") as proxy:
            (await proxy.discovery_server.requests.get()).respond(status=503)
            assert "?since=1&" in (await proxy.discovery_server.requests.get()).request_line
            assert balancer.incarnations == 2

    run(test())


def test_failed_action_does_not_prevent_the_other_actions_of_its_step(
    balancer: type[ScriptedBalancer], monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    balancer.act = for_each(RequestArrived, lambda e: [SendHealthCheck("s0"), Fail(e.request_id)])

    async def test() -> None:
        async with run_proxy() as proxy:
            monkeypatch.setattr(proxy.engine.connection_pool, "start", lambda attempt: 1 / 0)
            assert (await (await proxy.client()).exchange()).status == 504

    run(test())
    assert "internal error: action SendHealthCheck" in capfd.readouterr().err


def test_excess_log_lines_are_dropped_and_counted(capfd: pytest.CaptureFixture[str]) -> None:
    log = log_writer_module.LogWriter()
    for number in range(1000):
        log(f"line {number}")
    log._second -= 1  # the next second
    log("later")
    lines = capfd.readouterr().err.splitlines()
    assert len(lines) < 3 * log_writer_module.MAX_LINES_PER_S and "earlier lines dropped" in lines[-1]


@pytest.mark.parametrize(
    ("header", "work_hint_ms"), [("12500", 12.5), ("-1", 0.0), ("1e9", 0.0), ("", 0.0), (None, 0.0)]
)
def test_work_hint_is_passed_to_the_balancer_and_zero_if_invalid(
    balancer: type[ScriptedBalancer], header: str | None, work_hint_ms: float
) -> None:
    balancer.act = for_each(RequestArrived, lambda e: [Fail(e.request_id)])

    async def test() -> None:
        async with run_proxy() as proxy:
            assert (await (await proxy.client()).exchange(x_call_cost=header)).status == 504
            assert events(RequestArrived)[0].work_hint_ms == work_hint_ms

    run(test())
