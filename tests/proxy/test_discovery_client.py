"""The watch on the list, against a registry that the test plays."""

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
from tests.loopback import ReceivedRequest, ScriptedServer, listing, proxy, run, target
from tests.support import Driver, fleet, of, settings

ADDRESS = "127.0.0.9:80"


class Heard:
    def __init__(self, address: str) -> None:
        wire = ProxySettings({}, {}, {"a": 0}, {"m": 0}, 1000.0, 1000.0)
        self.lists: asyncio.Queue[EndpointListUpdate] = asyncio.Queue()
        self.failures: asyncio.Queue[str] = asyncio.Queue()
        self.discovery = DiscoveryClient(address, wire, 41, self.lists.put_nowait, self.failures.put_nowait)


@asynccontextmanager
async def watching() -> AsyncIterator[tuple[Heard, ScriptedServer]]:
    peer = await ScriptedServer().open()
    heard = Heard(peer.address)
    heard.discovery.watch()
    try:
        yield heard, peer
    finally:
        heard.discovery.close()
        peer.close()


def reply(call: ReceivedRequest, what: Any) -> None:
    call.reply(json.dumps(what).encode())


def test_watches_follow_back_to_back_on_one_connection() -> None:
    async def test() -> None:
        async with watching() as (heard, peer):
            first = await peer.calls.get()
            assert first.line == "GET /registry/instances?since=41&timeout_ms=1 HTTP/1.1"
            reply(first, listing(41, whole=False))
            assert (await heard.lists.get()).endpoints == ()
            second = await peer.calls.get()
            assert second.line == "GET /registry/instances?since=41&timeout_ms=1000 HTTP/1.1"
            heard.discovery.watch()  # one watch is on: no second one
            reply(second, listing(43, target("s", ADDRESS, "leaving", 7), whole=False))
            news = await heard.lists.get()
            assert (news.revision, news.is_snapshot) == (43, False)
            (info,) = (t.info for t in news.endpoints)
            assert (info.backend_id, info.state, info.started_at, info.cell) == (
                "s",
                BackendState.DRAINING,
                7.0,
                1,
            )
            third = await peer.calls.get()
            assert third.line.startswith("GET /registry/instances?since=43&")
            assert third.connection == 1 and heard.failures.empty()

    run(test())


BAD = [
    b"{",
    b"[]",
    b"{}",
    b'{"rev":42,"all":true}',
    b'{"rev":"x","all":true,"targets":[]}',
    json.dumps(listing(42, target("s", "host.name:80"))).encode(),
    json.dumps(listing(42, target("s", "127.0.0.1"))).encode(),
    json.dumps(listing(42, target("s", "127.0.0.01:80"))).encode(),
    json.dumps(listing(42, target("s", "127.0.0.1\0:80"))).encode(),
    json.dumps(listing(42, target("s", ADDRESS, "odd"))).encode(),
    json.dumps(listing(42, {"uid": "s"})).encode(),
]


@pytest.mark.parametrize("body", BAD)
def test_a_list_that_cannot_be_read_is_a_failed_call(body: bytes) -> None:
    async def test() -> None:
        async with watching() as (heard, peer):
            (await peer.calls.get()).reply(body)
            await heard.failures.get()
            assert heard.lists.empty()
            heard.discovery.watch()  # when the module says so, from the version held
            call = await peer.calls.get()
            assert call.line.startswith("GET /registry/instances?since=41&")
            reply(call, listing(44))
            assert (await heard.lists.get()).revision == 44

    run(test())


@pytest.mark.parametrize("how", ["503", "reset", "refused", "silent"])
def test_each_failed_call_is_told_once(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if how == "silent":
        monkeypatch.setattr(discovery_client_module, "OPENING_TIMEOUT_MS", 50)
        monkeypatch.setattr(discovery_client_module, "MAX_OPENING_CALLS", 1)

    async def test() -> None:
        if how == "refused":
            peer = await ScriptedServer().open()
            peer.close()
            await peer.server.wait_closed()
            heard = Heard(peer.address)
            heard.discovery.watch()
            await heard.failures.get()
            return
        async with watching() as (heard, peer):
            call = await peer.calls.get()
            if how == "503":
                call.reply(status=503)
            elif how == "reset":
                call.writer.close()
            await heard.failures.get()
            await call.closed.wait()
            assert heard.failures.empty() and heard.lists.empty()

    run(test())


def test_a_watch_that_meets_a_bug_is_a_failed_call() -> None:
    async def test() -> None:
        async with watching() as (heard, peer):
            heard.discovery.on_update = lambda _: None if 1 / 0 else None
            reply(await peer.calls.get(), listing(42))
            assert "ZeroDivisionError" in await heard.failures.get()
            assert heard.discovery.revision == 41  # that news is asked for again

    run(test())


def test_the_proxy_keeps_its_list_through_bad_news_and_replaces_it_by_a_whole_one() -> None:
    async def test() -> None:
        async with proxy(backends=2) as p:
            bad = await p.registry.calls.get()
            bad.reply(b'{"rev":2,"all":true,"targets":[{"uid":5}]}')
            client = await p.client()
            assert (await client.ask("/health/ready", "GET")).status == 200
            assert set(p.engine.backends.endpoints) == {"s0", "s1"}
            good = await p.registry.calls.get()
            reply(good, listing(3, target("s1", p.backends[1].address)))
            await p.registry.calls.get()  # the next watch: the news is in
            assert set(p.engine.backends.endpoints) == {"s1"}
            for number in range(5):
                client.send(x_call_id=f"c{number}")
                (await p.backends[1].calls.get()).reply()
                assert (await client.reply()).status == 200

    run(test())


def test_a_pushed_list_is_read_from_the_start_and_again_after_a_failure() -> None:
    # With "Discovery": "push" the module never asks by itself; nobody read the list, and drained servers
    # went on getting requests.
    async def test() -> None:
        async with proxy(backends=2, list_mode="push") as p:
            first = await p.registry.calls.get()
            assert "?since=1&" in first.line
            first.reply(status=503)
            second = await p.registry.calls.get()
            assert "?since=1&" in second.line
            reply(second, listing(2, target("s0", p.backends[0].address, "leaving"), whole=False))
            await p.registry.calls.get()
            assert p.engine.backends.active_count() == 1

    run(test())


def until_called(driver: Driver) -> float:
    start = driver.now
    while not of(PollDiscovery, driver.beat()):
        pass
    return driver.now - start


class Latest(Random):
    def uniform(self, a: float, b: float) -> float:
        return b


def until_asked(driver: Driver) -> float:
    """ms at most from a failed call to the next one: the latest that chance may choose."""
    driver.balancer.polling.rng = Latest(1)
    driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    return until_called(driver)


def times(pushed: bool, grace_ms: float) -> DiscoveryClient:
    wire = ProxySettings({}, {}, {}, {}, 1000.0, 1000.0, grace_ms)
    return DiscoveryClient(ADDRESS, wire, 1, lambda _: None, lambda _: None, pushed)


@pytest.mark.parametrize("must_ask_ms", [5_000.0, 10_000.0, 60_000.0])
@pytest.mark.parametrize(
    ("pushed", "proxies"),
    [(True, 1), (True, 200), (False, 1), (False, 40), (False, 200), (False, 1_000), (False, 3_400)],
)
def test_a_silent_watch_is_opened_anew_in_time_also_if_connecting_hangs(
    pushed: bool, proxies: int, must_ask_ms: float
) -> None:
    # 6 s after it fell silent, at the start of a call maybe, what it missed counts as told.
    config = settings(polls_discovery=not pushed, proxy_count=proxies, max_poll_interval_ms=must_ask_ms)
    driver = Driver(config, *fleet(2))
    if not pushed:
        assert of(PollDiscovery, driver.beats(2_525))  # as is a new process that has not asked yet
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(fleet(2))))
    discovery = times(pushed, 300.0)
    silent = discovery.long_poll_ms + discovery.response_timeout_ms
    assert silent + until_asked(driver) + discovery.opening_timeout_ms + until_asked(driver) < 6_000


@pytest.mark.parametrize("failures", [1, 2, 3, 4, 8, 50])
@pytest.mark.parametrize("proxies", [1, 40, 200, 1_000, 3_400])
def test_the_list_is_read_within_6_s_of_the_services_return(proxies: int, failures: int) -> None:
    # It returns just after a call has begun that hangs, and takes as long to answer the next as a call may.
    driver = Driver(
        settings(polls_discovery=True, proxy_count=proxies, max_poll_interval_ms=10_000.0), *fleet(2)
    )
    for _ in range(failures - 1):  # refused at once
        until_called(driver)
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    until_called(driver)
    call = times(False, 300.0).opening_timeout_ms
    driver.beats(call)
    assert call + until_asked(driver) + call < 6_000


@pytest.mark.parametrize("proxies", [200, 3_400])
def test_a_new_process_whose_first_call_hangs_has_the_list_within_6_s(proxies: int) -> None:
    driver = Driver(settings(polls_discovery=True, proxy_count=proxies, proxy_index=proxies - 1), *fleet(2))
    assert until_called(driver) + times(False, 300.0).opening_timeout_ms + until_asked(driver) < 6_000


def test_all_get_the_list_from_a_service_that_answers_so_many_calls_in_turn() -> None:
    """Also those given up. If each asked anew at the end of the line, the first few alone would get it."""
    config, each_ms, call_ms = (
        settings(polls_discovery=True, proxy_count=32),
        250.0,
        times(False, 300.0).opening_timeout_ms,
    )
    drivers = [Driver(replace(config, proxy_index=me), *fleet(2), seed=me) for me in range(32)]
    line: deque[tuple[int, int]] = deque()  # number of the proxy, of its call
    calls, due = (
        Counter[int](),
        dict[int, float](),
    )  # calls of each, and when it gives up the last
    served: set[int] = set()
    for tick in range(400):
        for me, driver in enumerate(drivers):
            if of(PollDiscovery, driver.beat()) and me not in due and me not in served:
                calls[me] += 1
                line.append((me, calls[me]))
                due[me] = driver.now + call_ms
            if due.get(me, inf) <= driver.now:
                del due[me]
                driver.step(BackendListUpdate(ListUpdateKind.FAILED))
        if line and tick % int(each_ms / 25) == 0:
            me, number = line.popleft()
            if number > calls[me] - discovery_client_module.MAX_OPENING_CALLS and me not in served:
                served.add(me)
                due.pop(me, None)
                drivers[me].step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(fleet(2))))
    assert len(served) == 32  # within 10 s, 2 s more than the service needs for all


def test_a_call_given_up_keeps_its_place_in_the_line(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_client_module, "OPENING_TIMEOUT_MS", 50)

    async def test() -> None:
        async with watching() as (heard, peer):
            first = await peer.calls.get()
            await heard.failures.get()
            heard.discovery.watch()
            second = await peer.calls.get()
            await heard.failures.get()
            reply(first, listing(42))  # nobody waits for it just now
            assert (await heard.lists.get()).revision == 42
            await second.closed.wait()
            third = await peer.calls.get()  # the watch stands, on the connection that was answered
            assert third.connection == first.connection and "since=42&" in third.line
            assert heard.failures.empty() and heard.lists.empty()

    run(test())


def test_so_many_calls_are_out_at_once_and_a_failed_one_is_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_client_module, "OPENING_TIMEOUT_MS", 50)

    async def test() -> None:
        async with watching() as (heard, peer):
            calls = []
            for _ in range(4):
                heard.discovery.watch()
                calls.append(await peer.calls.get())
                await heard.failures.get()
            await calls[0].closed.wait()
            assert len(heard.discovery.opening_calls) == discovery_client_module.MAX_OPENING_CALLS
            calls[1].reply(status=503)
            await calls[1].closed.wait()
            assert len(heard.discovery.opening_calls) == 2 and heard.failures.empty()
            heard.discovery.opening_timeout_ms = 1e6
            heard.discovery.watch()
            latest = await peer.calls.get()
            calls[2].reply(status=503)  # while the latest is waited for
            await calls[2].closed.wait()
            while len(heard.discovery.opening_calls) > 2:
                await asyncio.sleep(0.001)
            assert heard.failures.empty()
            reply(latest, listing(42))
            assert (await heard.lists.get()).revision == 42
            await calls[3].closed.wait()

    run(test())


@pytest.mark.parametrize("grace_ms", [500.0, 2_500.0, 6_000.0])
def test_a_pushed_list_is_read_within_the_drain_grace_of_its_return(grace_ms: float) -> None:
    # What it holds then counts as told at once. An open watch may have been left silent, or a call since.
    discovery = times(True, grace_ms)
    again = until_asked(Driver(settings(), *fleet(2)))
    assert discovery.long_poll_ms + discovery.response_timeout_ms + again <= grace_ms + 50


def test_a_list_in_pieces_is_one_list() -> None:
    async def test() -> None:
        async with watching() as (heard, peer):
            call = await peer.calls.get()
            body = json.dumps(listing(42, target("s", ADDRESS)), indent=2).encode()
            whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            for place in range(0, len(whole), 40):
                call.writer.write(whole[place : place + 40])
                await call.writer.drain()
                await asyncio.sleep(0)
            assert (await heard.lists.get()).revision == 42

    run(test())


def test_a_list_of_20000_is_taken_within_192_mb_and_one_without_end_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for limit in ("RESPONSE_TIMEOUT_MS", "OPENING_TIMEOUT_MS"):  # not by the time that it takes
        monkeypatch.setattr(discovery_client_module, limit, 60_000)

    async def test() -> None:
        async with proxy(memory_mb=192) as p:
            many = [target(f"s-{number:08x}", ADDRESS) for number in range(20_000)]
            first = await p.registry.calls.get()
            first.reply(json.dumps(listing(2, *many)).encode())
            call = await p.registry.calls.get()
            assert "?since=2&" in call.line and p.engine.backends.active_count() == 20_000
            assert p.engine.discovery is not None
            most = p.engine.discovery.max_list_bytes
            assert (
                discovery_client_module.PROCESS_MEMORY_MB + 3 * most / BYTES_PER_MB < 192
            )  # it takes three times its bytes
            call.writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            sent, piece = 0, b" " * 65_536
            while not call.closed.is_set():
                call.writer.write(b"10000\r\n%b\r\n" % piece)
                sent += len(piece)
                assert sent < most + 16 * BYTES_PER_MB  # what is on the way
                with suppress(ConnectionError):
                    await call.writer.drain()
                await asyncio.sleep(0)
            assert p.engine.backends.active_count() == 20_000
            assert "?since=2&" in (await p.registry.calls.get()).line

    run(test())


@pytest.mark.parametrize("how", ["noise", "end"])
def test_a_connection_that_ends_between_two_calls_is_no_failed_call(how: str) -> None:
    async def test() -> None:
        async with watching() as (heard, peer):

            def between(news: EndpointListUpdate) -> None:
                heard.lists.put_nowait(news)
                call = heard.discovery.connection
                assert call is not None
                if how == "noise":
                    call.data_received(b"x")
                else:
                    call.connection_lost(ConnectionResetError())

            heard.discovery.on_update = between
            reply(await peer.calls.get(), listing(42))
            second = await peer.calls.get()
            assert second.line.startswith("GET /registry/instances?since=42&")
            assert second.connection == 2 and heard.failures.empty()

    run(test())


@pytest.mark.parametrize("how", ["time is up", "moved"])
def test_a_connection_given_up_as_it_comes_up_is_not_left_open(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        peer, other = await ScriptedServer().open(), await ScriptedServer().open()
        heard = Heard(peer.address)
        connect = heard.discovery._connect
        comes_up = asyncio.Event()

        async def late(call: DiscoveryConnection) -> None:
            if heard.discovery.address == other.address:
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

        monkeypatch.setattr(heard.discovery, "_connect", late)
        heard.discovery.watch()
        if how == "time is up":
            assert "TimeoutError" in await heard.failures.get()
        else:
            await comes_up.wait()
            assert heard.discovery.move_to(other.address)
            heard.discovery.watch()
            reply(await other.calls.get(), listing(7))
            assert (await heard.lists.get()).revision == 7
        while not peer.writers:
            await asyncio.sleep(0.001)
        while not peer.writers[0].is_closing():  # its reader has found the end
            await asyncio.sleep(0.001)
        assert peer.calls.empty() and heard.failures.empty()
        heard.discovery.close()
        peer.close()
        other.close()

    run(test())


def test_an_answer_of_the_old_service_in_the_turn_of_the_move_is_not_heard() -> None:
    async def test() -> None:
        other = await ScriptedServer().open()
        async with watching() as (heard, peer):
            await peer.calls.get()
            call = heard.discovery.connection
            assert call is not None
            body = json.dumps(listing(42, target("old", ADDRESS))).encode()
            call.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))
            assert heard.discovery.move_to(other.address)  # before the watch could look at it
            heard.discovery.watch()
            first = await other.calls.get()
            assert first.line == "GET /registry/instances HTTP/1.1"
            reply(first, listing(7))
            assert (await heard.lists.get()).revision == 7
            assert heard.lists.empty() and heard.failures.empty()
        other.close()

    run(test())


def test_moves_twice_in_a_row_and_back_ask_the_last_service_anew() -> None:
    async def test() -> None:
        other = await ScriptedServer().open()
        async with watching() as (heard, peer):
            (await peer.calls.get()).reply(json.dumps(listing(42)).encode())
            await heard.lists.get()
            old = await peer.calls.get()
            assert heard.discovery.move_to(other.address) and heard.discovery.move_to(peer.address)
            assert not heard.discovery.move_to(peer.address)
            heard.discovery.watch()
            await old.closed.wait()
            again = await peer.calls.get()
            assert again.line == "GET /registry/instances HTTP/1.1" and again.connection == 2
            assert other.connections == 0 and heard.failures.empty()
        other.close()

    run(test())
