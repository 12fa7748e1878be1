"""The discovery client and its watch, with a scripted discovery service."""

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

from dunecove.limits import BYTES_PER_MB, LIST_PROCESS_BYTES
from dunecove.policy.actions import PollDiscovery
from dunecove.policy.events import BackendListUpdate, ListUpdateKind
from dunecove.policy.models import BackendState
from dunecove.proxy import discovery_client as discovery_client_module
from dunecove.proxy.discovery_client import DiscoveryClient
from dunecove.proxy.discovery_connection import DiscoveryConnection
from dunecove.proxy.endpoint_list import EndpointListUpdate
from dunecove.wire.settings import ProxySettings
from tests.loopback import (
    ReceivedRequest,
    ScriptedServer,
    make_endpoint_list,
    make_list_entry,
    run,
    run_proxy,
    wait_until,
)
from tests.support import Driver, actions_of_type, make_backends, make_settings

ADDRESS = "127.0.0.9:80"


class ClientHarness:
    def __init__(self, address: str) -> None:
        proxy_settings = ProxySettings({}, {}, {"a": 0}, {"m": 0}, 1000.0, 1000.0)
        self.updates: asyncio.Queue[EndpointListUpdate] = asyncio.Queue()
        self.failures: asyncio.Queue[str] = asyncio.Queue()
        self.client = DiscoveryClient(
            address, proxy_settings, 41, self.updates.put_nowait, self.failures.put_nowait
        )


@asynccontextmanager
async def watching_client() -> AsyncIterator[tuple[ClientHarness, ScriptedServer]]:
    service = await ScriptedServer().open()
    harness = ClientHarness(service.address)
    harness.client.watch()
    try:
        yield harness, service
    finally:
        harness.client.close()
        service.close()


def reply(call: ReceivedRequest, data: Any) -> None:
    call.respond(json.dumps(data).encode())


def test_polls_follow_back_to_back_on_one_connection() -> None:
    async def test() -> None:
        async with watching_client() as (harness, service):
            first = await service.requests.get()
            assert first.request_line == "GET /registry/instances?since=41&timeout_ms=1 HTTP/1.1"
            reply(first, make_endpoint_list(41, is_snapshot=False))
            assert (await harness.updates.get()).endpoints == ()
            second = await service.requests.get()
            assert second.request_line == "GET /registry/instances?since=41&timeout_ms=1000 HTTP/1.1"
            harness.client.watch()  # opens no second watch
            reply(
                second, make_endpoint_list(43, make_list_entry("s", ADDRESS, "leaving", 7), is_snapshot=False)
            )
            update = await harness.updates.get()
            assert (update.revision, update.is_snapshot) == (43, False)
            (info,) = (endpoint.info for endpoint in update.endpoints)
            assert (info.backend_id, info.state, info.started_at, info.cell) == (
                "s",
                BackendState.DRAINING,
                7.0,
                1,
            )
            third = await service.requests.get()
            assert third.request_line.startswith("GET /registry/instances?since=43&")
            assert third.connection_number == 1 and harness.failures.empty()

    run(test())


MALFORMED_LISTS = [
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


@pytest.mark.parametrize("body", MALFORMED_LISTS)
def test_malformed_list_is_a_failed_call(body: bytes) -> None:
    async def test() -> None:
        async with watching_client() as (harness, service):
            (await service.requests.get()).respond(body)
            await harness.failures.get()
            assert harness.updates.empty()
            harness.client.watch()  # as on the balancer's `PollDiscovery`; asks since the last revision
            call = await service.requests.get()
            assert call.request_line.startswith("GET /registry/instances?since=41&")
            reply(call, make_endpoint_list(44))
            assert (await harness.updates.get()).revision == 44

    run(test())


@pytest.mark.parametrize("cause", ["503", "reset", "refused", "timeout"])
def test_each_failed_call_is_reported_once(cause: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if cause == "timeout":
        monkeypatch.setattr(discovery_client_module, "OPENING_TIMEOUT_MS", 50)
        monkeypatch.setattr(discovery_client_module, "MAX_OPENING_CALLS", 1)

    async def test() -> None:
        if cause == "refused":
            service = await ScriptedServer().open()
            service.close()
            await service.server.wait_closed()
            harness = ClientHarness(service.address)
            harness.client.watch()
            await harness.failures.get()
            return
        async with watching_client() as (harness, service):
            call = await service.requests.get()
            if cause == "503":
                call.respond(status=503)
            elif cause == "reset":
                call.writer.close()
            await harness.failures.get()
            await call.closed.wait()
            assert harness.failures.empty() and harness.updates.empty()

    run(test())


def test_exception_in_the_watch_is_reported_as_a_failed_call() -> None:
    def raise_error(_: EndpointListUpdate) -> None:
        raise ZeroDivisionError

    async def test() -> None:
        async with watching_client() as (harness, service):
            harness.client.on_update = raise_error
            reply(await service.requests.get(), make_endpoint_list(42))
            assert "ZeroDivisionError" in await harness.failures.get()
            assert harness.client.revision == 41  # the list is requested again

    run(test())


def test_malformed_list_leaves_the_endpoints_unchanged_until_the_next_snapshot() -> None:
    async def test() -> None:
        async with run_proxy(backends=2) as proxy:
            malformed = await proxy.discovery_server.requests.get()
            malformed.respond(b'{"rev":2,"all":true,"targets":[{"uid":5}]}')
            client = await proxy.client()
            assert (await client.exchange("/health/ready", "GET")).status == 200
            assert set(proxy.engine.connection_pool.endpoints) == {"s0", "s1"}
            valid = await proxy.discovery_server.requests.get()
            reply(valid, make_endpoint_list(3, make_list_entry("s1", proxy.backends[1].address)))
            # The next poll follows after the update was processed.
            await proxy.discovery_server.requests.get()
            assert set(proxy.engine.connection_pool.endpoints) == {"s1"}
            for number in range(5):
                client.send(x_call_id=f"c{number}")
                (await proxy.backends[1].requests.get()).respond()
                assert (await client.read_response()).status == 200

    run(test())


def test_pushed_list_is_polled_from_startup_and_after_a_failed_call() -> None:
    # With "Discovery": "push" the balancer never polls. Unless the proxy opens the watch, nothing reads the
    # list, and drained backends go on getting requests.
    async def test() -> None:
        async with run_proxy(backends=2, discovery_mode="push") as proxy:
            first = await proxy.discovery_server.requests.get()
            assert "?since=1&" in first.request_line
            first.respond(status=503)
            second = await proxy.discovery_server.requests.get()
            assert "?since=1&" in second.request_line
            reply(
                second,
                make_endpoint_list(
                    2, make_list_entry("s0", proxy.backends[0].address, "leaving"), is_snapshot=False
                ),
            )
            await proxy.discovery_server.requests.get()
            assert proxy.engine.connection_pool.active_count() == 1

    run(test())


def ms_until_poll(driver: Driver) -> float:
    start = driver.now
    while not actions_of_type(PollDiscovery, driver.tick()):
        pass
    return driver.now - start


class MaxUniformRandom(Random):
    def uniform(self, a: float, b: float) -> float:
        return b


def max_ms_until_retry(driver: Driver) -> float:
    """Return the longest time in ms from a failed call to the next one, with the largest random delay."""
    driver.balancer.polling.rng = MaxUniformRandom(1)
    driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    return ms_until_poll(driver)


def make_client(pushed: bool, drain_grace_ms: float) -> DiscoveryClient:
    proxy_settings = ProxySettings({}, {}, {}, {}, 1000.0, 1000.0, drain_grace_ms)
    return DiscoveryClient(ADDRESS, proxy_settings, 1, lambda _: None, lambda _: None, pushed)


@pytest.mark.parametrize("max_poll_interval_ms", [5_000.0, 10_000.0, 60_000.0])
@pytest.mark.parametrize(
    ("pushed", "proxies"),
    [(True, 1), (True, 200), (False, 1), (False, 40), (False, 200), (False, 1_000), (False, 3_400)],
)
def test_unresponsive_watch_is_reopened_within_6_s_even_if_connecting_hangs(
    pushed: bool, proxies: int, max_poll_interval_ms: float
) -> None:
    # A missed update counts as notified 6 s after the watch became unresponsive, which may be at the start of
    # a long poll.
    settings = make_settings(
        polls_discovery=not pushed, proxy_count=proxies, max_poll_interval_ms=max_poll_interval_ms
    )
    driver = Driver(settings, *make_backends(2))
    if not pushed:
        assert actions_of_type(PollDiscovery, driver.run_ticks(2_525))  # the first poll of a new process
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(make_backends(2))))
    client = make_client(pushed, 300.0)
    detection_ms = client.long_poll_ms + client.response_timeout_ms
    assert (
        detection_ms + max_ms_until_retry(driver) + client.opening_timeout_ms + max_ms_until_retry(driver)
        < 6_000
    )


@pytest.mark.parametrize("failures", [1, 2, 3, 4, 8, 50])
@pytest.mark.parametrize("proxies", [1, 40, 200, 1_000, 3_400])
def test_list_is_read_within_6_s_after_the_service_recovers(proxies: int, failures: int) -> None:
    # The service recovers just after a call that hangs has started, and takes the whole timeout to respond to
    # the next call.
    driver = Driver(
        make_settings(polls_discovery=True, proxy_count=proxies, max_poll_interval_ms=10_000.0),
        *make_backends(2),
    )
    for _ in range(failures - 1):  # refused immediately
        ms_until_poll(driver)
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    ms_until_poll(driver)
    call_ms = make_client(False, 300.0).opening_timeout_ms
    driver.run_ticks(call_ms)
    assert call_ms + max_ms_until_retry(driver) + call_ms < 6_000


@pytest.mark.parametrize("proxies", [200, 3_400])
def test_new_process_whose_first_call_hangs_gets_the_list_within_6_s(proxies: int) -> None:
    driver = Driver(
        make_settings(polls_discovery=True, proxy_count=proxies, proxy_index=proxies - 1), *make_backends(2)
    )
    assert (
        ms_until_poll(driver) + make_client(False, 300.0).opening_timeout_ms + max_ms_until_retry(driver)
        < 6_000
    )


def test_all_proxies_get_the_list_from_a_service_that_queues_calls() -> None:
    """If each try started at the end of the queue, only the first few proxies would ever get the list."""
    settings = make_settings(polls_discovery=True, proxy_count=32)
    call_duration_ms = 250.0
    timeout_ms = make_client(False, 300.0).opening_timeout_ms
    drivers = [
        Driver(replace(settings, proxy_index=index), *make_backends(2), seed=index) for index in range(32)
    ]
    queue: deque[tuple[int, int]] = deque()  # index of the proxy, number of its call
    calls = Counter[int]()
    deadlines: dict[int, float] = {}  # by proxy index: the deadline of its latest call in ms
    served: set[int] = set()
    for tick in range(400):
        for index, driver in enumerate(drivers):
            if (
                actions_of_type(PollDiscovery, driver.tick())
                and index not in deadlines
                and index not in served
            ):
                calls[index] += 1
                queue.append((index, calls[index]))
                deadlines[index] = driver.now + timeout_ms
            if deadlines.get(index, inf) <= driver.now:
                del deadlines[index]
                driver.step(BackendListUpdate(ListUpdateKind.FAILED))
        if queue and tick % int(call_duration_ms / 25) == 0:
            index, number = queue.popleft()
            if number > calls[index] - discovery_client_module.MAX_OPENING_CALLS and index not in served:
                served.add(index)
                deadlines.pop(index, None)
                drivers[index].step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(make_backends(2))))
    assert len(served) == 32  # within 10 s, 2 s more than the service needs for all proxies


def test_response_to_an_opening_call_is_used_after_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_client_module, "OPENING_TIMEOUT_MS", 50)

    async def test() -> None:
        async with watching_client() as (harness, service):
            first = await service.requests.get()
            await harness.failures.get()
            harness.client.watch()
            second = await service.requests.get()
            await harness.failures.get()
            reply(first, make_endpoint_list(42))  # no watch waits for this response
            assert (await harness.updates.get()).revision == 42
            await second.closed.wait()
            third = await service.requests.get()  # the watch uses the connection with the response
            assert third.connection_number == first.connection_number and "since=42&" in third.request_line
            assert harness.failures.empty() and harness.updates.empty()

    run(test())


def test_opening_calls_are_limited_and_failed_ones_are_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_client_module, "OPENING_TIMEOUT_MS", 50)

    async def test() -> None:
        async with watching_client() as (harness, service):
            calls = []
            for _ in range(4):
                harness.client.watch()
                calls.append(await service.requests.get())
                await harness.failures.get()
            await calls[0].closed.wait()
            assert len(harness.client.opening_calls) == discovery_client_module.MAX_OPENING_CALLS
            calls[1].respond(status=503)
            await calls[1].closed.wait()
            assert len(harness.client.opening_calls) == 2 and harness.failures.empty()
            harness.client.opening_timeout_ms = 1e6
            harness.client.watch()
            latest = await service.requests.get()
            calls[2].respond(status=503)  # while the watch waits for the latest call
            await calls[2].closed.wait()
            await wait_until(lambda: len(harness.client.opening_calls) <= 2)
            assert harness.failures.empty()
            reply(latest, make_endpoint_list(42))
            assert (await harness.updates.get()).revision == 42
            await calls[3].closed.wait()

    run(test())


def test_only_one_opening_call_receives_a_long_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: three calls that were answered at once took three times the memory of a list."""
    monkeypatch.setattr(discovery_client_module, "OPENING_TIMEOUT_MS", 50)

    async def test() -> None:
        async with watching_client() as (harness, service):
            first = await service.requests.get()
            await harness.failures.get()
            harness.client.opening_timeout_ms = 1e6
            harness.client.max_list_bytes = 2**23
            harness.client.watch()
            second = await service.requests.get()
            body = json.dumps(make_endpoint_list(42) | {"pad": "x" * 3 * 2**20}).encode()
            head = b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n" % len(body)
            (first_connection, _) = harness.client.opening_calls.values()
            first_connection.max_response_bytes = first_connection.max_body_bytes = 2**23
            first.writer.write(head + body[: 2**21])
            await second.closed.wait()
            assert len(harness.client.opening_calls) == 1 and harness.failures.empty()
            first.writer.write(body[2**21 :])
            assert (await harness.updates.get()).revision == 42
            assert (await service.requests.get()).connection_number == 1 and harness.failures.empty()

    run(test())


@pytest.mark.parametrize("drain_grace_ms", [500.0, 2_500.0, 6_000.0])
def test_pushed_list_is_read_within_the_drain_grace_after_its_service_recovers(drain_grace_ms: float) -> None:
    # When the service is back, its updates count as notified at once. Until then, a long poll or an opening
    # call may have hung.
    client = make_client(True, drain_grace_ms)
    retry_delay_ms = max_ms_until_retry(Driver(make_settings(), *make_backends(2)))
    assert client.long_poll_ms + client.response_timeout_ms + retry_delay_ms <= drain_grace_ms + 50


def test_list_received_in_parts_is_published_as_one_update() -> None:
    async def test() -> None:
        async with watching_client() as (harness, service):
            call = await service.requests.get()
            body = json.dumps(make_endpoint_list(42, make_list_entry("s", ADDRESS)), indent=2).encode()
            response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            for start in range(0, len(response), 40):
                call.writer.write(response[start : start + 40])
                await call.writer.drain()
                await asyncio.sleep(0)
            assert (await harness.updates.get()).revision == 42

    run(test())


def test_list_of_20000_backends_fits_192_mb_and_an_endless_list_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for timeout in ("RESPONSE_TIMEOUT_MS", "OPENING_TIMEOUT_MS"):  # no call times out on a slow machine
        monkeypatch.setattr(discovery_client_module, timeout, 60_000)

    async def test() -> None:
        async with run_proxy(memory_mb=192) as proxy:
            targets = [make_list_entry(f"s-{number:08x}", ADDRESS) for number in range(20_000)]
            first = await proxy.discovery_server.requests.get()
            first.respond(json.dumps(make_endpoint_list(2, *targets)).encode())
            call = await proxy.discovery_server.requests.get()
            assert "?since=2&" in call.request_line and proxy.engine.connection_pool.active_count() == 20_000
            assert proxy.engine.discovery is not None
            max_list_bytes = proxy.engine.discovery.max_list_bytes
            # A list takes up to three times its size in memory.
            assert LIST_PROCESS_BYTES + 3 * max_list_bytes < 192 * BYTES_PER_MB
            call.writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            sent_bytes, chunk = 0, b" " * 65_536
            while not call.closed.is_set():
                call.writer.write(b"10000\r\n%b\r\n" % chunk)
                sent_bytes += len(chunk)
                assert sent_bytes < max_list_bytes + 16 * BYTES_PER_MB  # with bytes in flight
                with suppress(ConnectionError):
                    await call.writer.drain()
                await asyncio.sleep(0)
            assert proxy.engine.connection_pool.active_count() == 20_000
            assert "?since=2&" in (await proxy.discovery_server.requests.get()).request_line

    run(test())


@pytest.mark.parametrize("cause", ["unsolicited bytes", "end"])
def test_connection_closed_between_two_calls_is_not_a_failed_call(cause: str) -> None:
    async def test() -> None:
        async with watching_client() as (harness, service):

            def close_between_calls(update: EndpointListUpdate) -> None:
                harness.updates.put_nowait(update)
                connection = harness.client.connection
                assert connection is not None
                if cause == "unsolicited bytes":
                    connection.data_received(b"x")
                else:
                    connection.connection_lost(ConnectionResetError())

            harness.client.on_update = close_between_calls
            reply(await service.requests.get(), make_endpoint_list(42))
            second = await service.requests.get()
            assert second.request_line.startswith("GET /registry/instances?since=42&")
            assert second.connection_number == 2 and harness.failures.empty()

    run(test())


@pytest.mark.parametrize("cause", ["timeout", "moved"])
def test_connection_abandoned_while_opening_is_closed(cause: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        service, other_service = await ScriptedServer().open(), await ScriptedServer().open()
        harness = ClientHarness(service.address)
        connect = harness.client._connect
        connect_started = asyncio.Event()

        async def connect_with_delay(connection: DiscoveryConnection) -> None:
            if harness.client.address == other_service.address:
                await connect(connection)
                return
            if cause == "timeout":
                await connect(connection)
                raise TimeoutError
            task = asyncio.create_task(connect(connection))
            connect_started.set()
            await asyncio.shield(task)  # the kernel completes the connection even after the move

        monkeypatch.setattr(harness.client, "_connect", connect_with_delay)
        harness.client.watch()
        if cause == "timeout":
            assert "TimeoutError" in await harness.failures.get()
        else:
            await connect_started.wait()
            assert harness.client.set_address(other_service.address)
            harness.client.watch()
            reply(await other_service.requests.get(), make_endpoint_list(7))
            assert (await harness.updates.get()).revision == 7
        await wait_until(lambda: service.writers)
        # The service's writer is closing once the service has read the end of the stream.
        await wait_until(lambda: service.writers[0].is_closing())
        assert service.requests.empty() and harness.failures.empty()
        harness.client.close()
        service.close()
        other_service.close()

    run(test())


def test_response_of_the_old_service_in_the_loop_iteration_of_the_move_is_ignored() -> None:
    async def test() -> None:
        other_service = await ScriptedServer().open()
        async with watching_client() as (harness, service):
            await service.requests.get()
            connection = harness.client.connection
            assert connection is not None
            body = json.dumps(make_endpoint_list(42, make_list_entry("old", ADDRESS))).encode()
            connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))
            # Before the watch has processed the response.
            assert harness.client.set_address(other_service.address)
            harness.client.watch()
            first = await other_service.requests.get()
            assert first.request_line == "GET /registry/instances HTTP/1.1"
            reply(first, make_endpoint_list(7))
            assert (await harness.updates.get()).revision == 7
            assert harness.updates.empty() and harness.failures.empty()
        other_service.close()

    run(test())


def test_moving_away_and_back_requests_the_whole_list() -> None:
    async def test() -> None:
        other_service = await ScriptedServer().open()
        async with watching_client() as (harness, service):
            (await service.requests.get()).respond(json.dumps(make_endpoint_list(42)).encode())
            await harness.updates.get()
            old = await service.requests.get()
            assert harness.client.set_address(other_service.address) and harness.client.set_address(
                service.address
            )
            assert not harness.client.set_address(service.address)
            harness.client.watch()
            await old.closed.wait()
            new = await service.requests.get()
            assert new.request_line == "GET /registry/instances HTTP/1.1" and new.connection_number == 2
            assert other_service.connection_count == 0 and harness.failures.empty()
        other_service.close()

    run(test())
