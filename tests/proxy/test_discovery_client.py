"""The watch on the endpoint list, with a scripted discovery service."""

from __future__ import annotations

import asyncio
import json
from collections import Counter, deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from math import inf
from random import Random
from typing import Any

import pytest

from dunecove.policy.actions import PollDiscovery
from dunecove.policy.events import BackendListUpdate, ListUpdateKind
from dunecove.policy.models import BackendState
from dunecove.proxy import discovery_client as discovery_client_module
from dunecove.proxy.discovery_client import BYTES_PER_MB, DiscoveryClient
from dunecove.proxy.discovery_connection import DiscoveryConnection
from dunecove.proxy.endpoint_list import EndpointListUpdate
from dunecove.wire.settings import ProxySettings
from tests.loopback import (
    ReceivedRequest,
    ScriptedServer,
    make_endpoint_list,
    make_list_entry,
    proxy,
    run,
    wait_until,
)
from tests.support import Driver, actions_of_type, make_backends, make_settings

ADDRESS = "127.0.0.9:80"


class RecordedClient:
    def __init__(self, address: str) -> None:
        wire = ProxySettings({}, {}, {"a": 0}, {"m": 0}, 1000.0, 1000.0)
        self.updates: asyncio.Queue[EndpointListUpdate] = asyncio.Queue()
        self.failures: asyncio.Queue[str] = asyncio.Queue()
        self.client = DiscoveryClient(address, wire, 41, self.updates.put_nowait, self.failures.put_nowait)


@asynccontextmanager
async def watching() -> AsyncIterator[tuple[RecordedClient, ScriptedServer]]:
    service = await ScriptedServer().open()
    recorded = RecordedClient(service.address)
    recorded.client.watch()
    try:
        yield recorded, service
    finally:
        recorded.client.close()
        service.close()


def reply(call: ReceivedRequest, what: Any) -> None:
    call.respond(json.dumps(what).encode())


def test_polls_follow_back_to_back_on_one_connection() -> None:
    async def test() -> None:
        async with watching() as (recorded, service):
            first = await service.requests.get()
            assert first.request_line == "GET /registry/instances?since=41&timeout_ms=1 HTTP/1.1"
            reply(first, make_endpoint_list(41, is_snapshot=False))
            assert (await recorded.updates.get()).endpoints == ()
            second = await service.requests.get()
            assert second.request_line == "GET /registry/instances?since=41&timeout_ms=1000 HTTP/1.1"
            recorded.client.watch()  # one watch is on: no second one
            reply(
                second, make_endpoint_list(43, make_list_entry("s", ADDRESS, "leaving", 7), is_snapshot=False)
            )
            update = await recorded.updates.get()
            assert (update.revision, update.is_snapshot) == (43, False)
            (info,) = (t.info for t in update.endpoints)
            assert (info.backend_id, info.state, info.started_at, info.cell) == (
                "s",
                BackendState.DRAINING,
                7.0,
                1,
            )
            third = await service.requests.get()
            assert third.request_line.startswith("GET /registry/instances?since=43&")
            assert third.connection_number == 1 and recorded.failures.empty()

    run(test())


BAD = [
    b"{",
    b"[]",
    b"{}",
    b'{"rev":42,"all":true}',
    b'{"rev":"x","all":true,"targets":[]}',
    json.dumps(make_endpoint_list(42, make_list_entry("s", "host.name:80"))).encode(),
    json.dumps(make_endpoint_list(42, make_list_entry("s", "127.0.0.1"))).encode(),
    json.dumps(make_endpoint_list(42, make_list_entry("s", "127.0.0.01:80"))).encode(),
    json.dumps(make_endpoint_list(42, make_list_entry("s", "127.0.0.1\0:80"))).encode(),
    json.dumps(make_endpoint_list(42, make_list_entry("s", ADDRESS, "odd"))).encode(),
    json.dumps(make_endpoint_list(42, {"uid": "s"})).encode(),
]


@pytest.mark.parametrize("body", BAD)
def test_malformed_list_is_a_failed_call(body: bytes) -> None:
    async def test() -> None:
        async with watching() as (recorded, service):
            (await service.requests.get()).respond(body)
            await recorded.failures.get()
            assert recorded.updates.empty()
            recorded.client.watch()  # when the balancer says so, since the revision at hand
            call = await service.requests.get()
            assert call.request_line.startswith("GET /registry/instances?since=41&")
            reply(call, make_endpoint_list(44))
            assert (await recorded.updates.get()).revision == 44

    run(test())


@pytest.mark.parametrize("how", ["503", "reset", "refused", "silent"])
def test_each_failed_call_is_reported_once(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if how == "silent":
        monkeypatch.setattr(discovery_client_module, "OPENING_TIMEOUT_MS", 50)
        monkeypatch.setattr(discovery_client_module, "MAX_OPENING_CALLS", 1)

    async def test() -> None:
        if how == "refused":
            service = await ScriptedServer().open()
            service.close()
            await service.server.wait_closed()
            recorded = RecordedClient(service.address)
            recorded.client.watch()
            await recorded.failures.get()
            return
        async with watching() as (recorded, service):
            call = await service.requests.get()
            if how == "503":
                call.respond(status=503)
            elif how == "reset":
                call.writer.close()
            await recorded.failures.get()
            await call.closed.wait()
            assert recorded.failures.empty() and recorded.updates.empty()

    run(test())


def test_exception_in_the_watch_is_a_failed_call() -> None:
    def broken(_: EndpointListUpdate) -> None:
        raise ZeroDivisionError

    async def test() -> None:
        async with watching() as (recorded, service):
            recorded.client.on_update = broken
            reply(await service.requests.get(), make_endpoint_list(42))
            assert "ZeroDivisionError" in await recorded.failures.get()
            assert recorded.client.revision == 41  # the list is asked for again

    run(test())


def test_proxy_keeps_its_list_after_a_malformed_one_and_replaces_it_by_a_snapshot() -> None:
    async def test() -> None:
        async with proxy(backends=2) as p:
            bad = await p.discovery_server.requests.get()
            bad.respond(b'{"rev":2,"all":true,"targets":[{"uid":5}]}')
            client = await p.client()
            assert (await client.exchange("/health/ready", "GET")).status == 200
            assert set(p.engine.connection_pool.endpoints) == {"s0", "s1"}
            good = await p.discovery_server.requests.get()
            reply(good, make_endpoint_list(3, make_list_entry("s1", p.backends[1].address)))
            await p.discovery_server.requests.get()  # the next poll: the update has been processed
            assert set(p.engine.connection_pool.endpoints) == {"s1"}
            for number in range(5):
                client.send(x_call_id=f"c{number}")
                (await p.backends[1].requests.get()).respond()
                assert (await client.read_response()).status == 200

    run(test())


def test_pushed_list_is_read_from_the_start_and_again_after_a_failure() -> None:
    # With "Discovery": "push" the balancer never polls: nobody read the list, and drained backends went on
    # getting requests.
    async def test() -> None:
        async with proxy(backends=2, discovery_mode="push") as p:
            first = await p.discovery_server.requests.get()
            assert "?since=1&" in first.request_line
            first.respond(status=503)
            second = await p.discovery_server.requests.get()
            assert "?since=1&" in second.request_line
            reply(
                second,
                make_endpoint_list(
                    2, make_list_entry("s0", p.backends[0].address, "leaving"), is_snapshot=False
                ),
            )
            await p.discovery_server.requests.get()
            assert p.engine.connection_pool.active_count() == 1

    run(test())


def ms_until_poll(driver: Driver) -> float:
    start = driver.now
    while not actions_of_type(PollDiscovery, driver.tick()):
        pass
    return driver.now - start


class LatestChoice(Random):
    def uniform(self, a: float, b: float) -> float:
        return b


def max_ms_until_retry(driver: Driver) -> float:
    """The longest time in ms from a failed call to the next one, at the latest random choice."""
    driver.balancer.polling.rng = LatestChoice(1)
    driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    return ms_until_poll(driver)


def client_for(pushed: bool, grace_ms: float) -> DiscoveryClient:
    wire = ProxySettings({}, {}, {}, {}, 1000.0, 1000.0, grace_ms)
    return DiscoveryClient(ADDRESS, wire, 1, lambda _: None, lambda _: None, pushed)


@pytest.mark.parametrize("max_poll_interval_ms", [5_000.0, 10_000.0, 60_000.0])
@pytest.mark.parametrize(
    ("pushed", "proxies"),
    [(True, 1), (True, 200), (False, 1), (False, 40), (False, 200), (False, 1_000), (False, 3_400)],
)
def test_unresponsive_watch_is_reopened_in_time_also_if_connecting_hangs(
    pushed: bool, proxies: int, max_poll_interval_ms: float
) -> None:
    # What it missed counts as notified 6 s after it fell silent, which may have been at the start of a call.
    config = make_settings(
        polls_discovery=not pushed, proxy_count=proxies, max_poll_interval_ms=max_poll_interval_ms
    )
    driver = Driver(config, *make_backends(2))
    if not pushed:
        assert actions_of_type(PollDiscovery, driver.run_ticks(2_525))  # a new process polls soon, too
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(make_backends(2))))
    discovery = client_for(pushed, 300.0)
    silent = discovery.long_poll_ms + discovery.response_timeout_ms
    assert (
        silent + max_ms_until_retry(driver) + discovery.opening_timeout_ms + max_ms_until_retry(driver)
        < 6_000
    )


@pytest.mark.parametrize("failures", [1, 2, 3, 4, 8, 50])
@pytest.mark.parametrize("proxies", [1, 40, 200, 1_000, 3_400])
def test_list_is_read_within_6_s_of_the_services_return(proxies: int, failures: int) -> None:
    # It returns just after a call that hangs has begun, and takes as long to answer the next as a call may.
    driver = Driver(
        make_settings(polls_discovery=True, proxy_count=proxies, max_poll_interval_ms=10_000.0),
        *make_backends(2),
    )
    for _ in range(failures - 1):  # refused at once
        ms_until_poll(driver)
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    ms_until_poll(driver)
    call = client_for(False, 300.0).opening_timeout_ms
    driver.run_ticks(call)
    assert call + max_ms_until_retry(driver) + call < 6_000


@pytest.mark.parametrize("proxies", [200, 3_400])
def test_new_process_whose_first_call_hangs_has_the_list_within_6_s(proxies: int) -> None:
    driver = Driver(
        make_settings(polls_discovery=True, proxy_count=proxies, proxy_index=proxies - 1), *make_backends(2)
    )
    assert (
        ms_until_poll(driver) + client_for(False, 300.0).opening_timeout_ms + max_ms_until_retry(driver)
        < 6_000
    )


def test_all_proxies_get_the_list_from_a_service_that_answers_calls_in_turn() -> None:
    """If each try began at the end of the queue, only the first few proxies would ever get it."""
    config = make_settings(polls_discovery=True, proxy_count=32)
    ms_a_call = 250.0
    timeout_ms = client_for(False, 300.0).opening_timeout_ms
    drivers = [Driver(replace(config, proxy_index=me), *make_backends(2), seed=me) for me in range(32)]
    queue: deque[tuple[int, int]] = deque()  # index of the proxy, number of its call
    calls = Counter[int]()
    deadlines: dict[int, float] = {}  # of the latest call of each
    served: set[int] = set()
    for tick in range(400):
        for me, driver in enumerate(drivers):
            if actions_of_type(PollDiscovery, driver.tick()) and me not in deadlines and me not in served:
                calls[me] += 1
                queue.append((me, calls[me]))
                deadlines[me] = driver.now + timeout_ms
            if deadlines.get(me, inf) <= driver.now:
                del deadlines[me]
                driver.step(BackendListUpdate(ListUpdateKind.FAILED))
        if queue and tick % int(ms_a_call / 25) == 0:
            me, number = queue.popleft()
            if number > calls[me] - discovery_client_module.MAX_OPENING_CALLS and me not in served:
                served.add(me)
                deadlines.pop(me, None)
                drivers[me].step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(make_backends(2))))
    assert len(served) == 32  # within 10 s, 2 s more than the service needs for all


def test_call_that_timed_out_keeps_its_place_in_the_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_client_module, "OPENING_TIMEOUT_MS", 50)

    async def test() -> None:
        async with watching() as (recorded, service):
            first = await service.requests.get()
            await recorded.failures.get()
            recorded.client.watch()
            second = await service.requests.get()
            await recorded.failures.get()
            reply(first, make_endpoint_list(42))  # nobody waits for it just now
            assert (await recorded.updates.get()).revision == 42
            await second.closed.wait()
            third = await service.requests.get()  # the watch stands, on the connection that was answered
            assert third.connection_number == first.connection_number and "since=42&" in third.request_line
            assert recorded.failures.empty() and recorded.updates.empty()

    run(test())


def test_opening_calls_are_limited_and_a_failed_one_is_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_client_module, "OPENING_TIMEOUT_MS", 50)

    async def test() -> None:
        async with watching() as (recorded, service):
            calls = []
            for _ in range(4):
                recorded.client.watch()
                calls.append(await service.requests.get())
                await recorded.failures.get()
            await calls[0].closed.wait()
            assert len(recorded.client.opening_calls) == discovery_client_module.MAX_OPENING_CALLS
            calls[1].respond(status=503)
            await calls[1].closed.wait()
            assert len(recorded.client.opening_calls) == 2 and recorded.failures.empty()
            recorded.client.opening_timeout_ms = 1e6
            recorded.client.watch()
            latest = await service.requests.get()
            calls[2].respond(status=503)  # while the latest is waited for
            await calls[2].closed.wait()
            await wait_until(lambda: len(recorded.client.opening_calls) <= 2)
            assert recorded.failures.empty()
            reply(latest, make_endpoint_list(42))
            assert (await recorded.updates.get()).revision == 42
            await calls[3].closed.wait()

    run(test())


@pytest.mark.parametrize("grace_ms", [500.0, 2_500.0, 6_000.0])
def test_pushed_list_is_read_within_the_drain_grace_of_its_return(grace_ms: float) -> None:
    # What the service has then counts as notified at once. An open watch may have been left silent, or a
    # call since.
    discovery = client_for(True, grace_ms)
    again = max_ms_until_retry(Driver(make_settings(), *make_backends(2)))
    assert discovery.long_poll_ms + discovery.response_timeout_ms + again <= grace_ms + 50


def test_list_received_in_parts_is_one_update() -> None:
    async def test() -> None:
        async with watching() as (recorded, service):
            call = await service.requests.get()
            body = json.dumps(make_endpoint_list(42, make_list_entry("s", ADDRESS)), indent=2).encode()
            whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            for place in range(0, len(whole), 40):
                call.writer.write(whole[place : place + 40])
                await call.writer.drain()
                await asyncio.sleep(0)
            assert (await recorded.updates.get()).revision == 42

    run(test())


def test_list_of_20000_fits_192_mb_and_an_endless_one_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for limit in ("RESPONSE_TIMEOUT_MS", "OPENING_TIMEOUT_MS"):  # however slow this machine is
        monkeypatch.setattr(discovery_client_module, limit, 60_000)

    async def test() -> None:
        async with proxy(memory_mb=192) as p:
            many = [make_list_entry(f"s-{number:08x}", ADDRESS) for number in range(20_000)]
            first = await p.discovery_server.requests.get()
            first.respond(json.dumps(make_endpoint_list(2, *many)).encode())
            call = await p.discovery_server.requests.get()
            assert "?since=2&" in call.request_line and p.engine.connection_pool.active_count() == 20_000
            assert p.engine.discovery is not None
            max_list_bytes = p.engine.discovery.max_list_bytes
            # A list takes up to three times its bytes.
            assert discovery_client_module.PROCESS_MEMORY_MB + 3 * max_list_bytes / BYTES_PER_MB < 192
            call.writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            sent, piece = 0, b" " * 65_536
            while not call.closed.is_set():
                call.writer.write(b"10000\r\n%b\r\n" % piece)
                sent += len(piece)
                assert sent < max_list_bytes + 16 * BYTES_PER_MB  # with what is in flight
                with suppress(ConnectionError):
                    await call.writer.drain()
                await asyncio.sleep(0)
            assert p.engine.connection_pool.active_count() == 20_000
            assert "?since=2&" in (await p.discovery_server.requests.get()).request_line

    run(test())


@pytest.mark.parametrize("how", ["noise", "end"])
def test_connection_closed_between_two_calls_is_no_failed_call(how: str) -> None:
    async def test() -> None:
        async with watching() as (recorded, service):

            def between(update: EndpointListUpdate) -> None:
                recorded.updates.put_nowait(update)
                call = recorded.client.connection
                assert call is not None
                if how == "noise":
                    call.data_received(b"x")
                else:
                    call.connection_lost(ConnectionResetError())

            recorded.client.on_update = between
            reply(await service.requests.get(), make_endpoint_list(42))
            second = await service.requests.get()
            assert second.request_line.startswith("GET /registry/instances?since=42&")
            assert second.connection_number == 2 and recorded.failures.empty()

    run(test())


@pytest.mark.parametrize("how", ["time is up", "moved"])
def test_connection_abandoned_as_it_opens_is_not_left_open(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        service, other = await ScriptedServer().open(), await ScriptedServer().open()
        recorded = RecordedClient(service.address)
        connect = recorded.client._connect
        comes_up = asyncio.Event()

        async def late(call: DiscoveryConnection) -> None:
            if recorded.client.address == other.address:
                await connect(call)
                return
            if how == "time is up":
                await connect(call)
                raise TimeoutError
            task = asyncio.create_task(connect(call))
            comes_up.set()
            await asyncio.shield(
                task
            )  # what the service is moved away from, the kernel connects all the same

        monkeypatch.setattr(recorded.client, "_connect", late)
        recorded.client.watch()
        if how == "time is up":
            assert "TimeoutError" in await recorded.failures.get()
        else:
            await comes_up.wait()
            assert recorded.client.move_to(other.address)
            recorded.client.watch()
            reply(await other.requests.get(), make_endpoint_list(7))
            assert (await recorded.updates.get()).revision == 7
        await wait_until(lambda: service.writers)
        await wait_until(lambda: service.writers[0].is_closing())  # its reader has found the end
        assert service.requests.empty() and recorded.failures.empty()
        recorded.client.close()
        service.close()
        other.close()

    run(test())


def test_response_of_the_old_service_in_the_turn_of_the_move_is_ignored() -> None:
    async def test() -> None:
        other = await ScriptedServer().open()
        async with watching() as (recorded, service):
            await service.requests.get()
            call = recorded.client.connection
            assert call is not None
            body = json.dumps(make_endpoint_list(42, make_list_entry("old", ADDRESS))).encode()
            call.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))
            assert recorded.client.move_to(other.address)  # before the watch could look at it
            recorded.client.watch()
            first = await other.requests.get()
            assert first.request_line == "GET /registry/instances HTTP/1.1"
            reply(first, make_endpoint_list(7))
            assert (await recorded.updates.get()).revision == 7
            assert recorded.updates.empty() and recorded.failures.empty()
        other.close()

    run(test())


def test_moving_twice_and_back_asks_the_last_service_for_everything() -> None:
    async def test() -> None:
        other = await ScriptedServer().open()
        async with watching() as (recorded, service):
            (await service.requests.get()).respond(json.dumps(make_endpoint_list(42)).encode())
            await recorded.updates.get()
            old = await service.requests.get()
            assert recorded.client.move_to(other.address) and recorded.client.move_to(service.address)
            assert not recorded.client.move_to(service.address)
            recorded.client.watch()
            await old.closed.wait()
            again = await service.requests.get()
            assert again.request_line == "GET /registry/instances HTTP/1.1" and again.connection_number == 2
            assert other.connection_count == 0 and recorded.failures.empty()
        other.close()

    run(test())
