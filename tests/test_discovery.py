"""The watch on the list, against a registry that the test plays."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from flintlatch.api import ListKind, ServerList, ServerState, Watch
from flintlatch.net import discovery as discovery_module
from flintlatch.net.discovery import Discovery, Listing
from flintlatch.settings import Wire
from tests.loopback import Call, Peer, listing, proxy, run, target
from tests.support import Driver, fleet, of, settings

ADDRESS = "127.0.0.9:80"


class Heard:
    def __init__(self, address: str) -> None:
        wire = Wire({}, {}, {"a": 0}, {"m": 0}, 1000.0, 1000.0)
        self.lists: asyncio.Queue[Listing] = asyncio.Queue()
        self.failures: asyncio.Queue[str] = asyncio.Queue()
        self.discovery = Discovery(address, wire, 41, self.lists.put_nowait, self.failures.put_nowait)


@asynccontextmanager
async def watching() -> AsyncIterator[tuple[Heard, Peer]]:
    peer = await Peer().open()
    heard = Heard(peer.address)
    heard.discovery.watch()
    try:
        yield heard, peer
    finally:
        heard.discovery.close()
        peer.close()


def reply(call: Call, what: Any) -> None:
    call.reply(json.dumps(what).encode())


def test_watches_follow_back_to_back_on_one_connection() -> None:
    async def test() -> None:
        async with watching() as (heard, peer):
            first = await peer.calls.get()
            assert first.line == "GET /registry/instances?since=41&timeout_ms=1 HTTP/1.1"
            reply(first, listing(41, whole=False))
            assert (await heard.lists.get()).targets == ()
            second = await peer.calls.get()
            assert second.line == "GET /registry/instances?since=41&timeout_ms=1000 HTTP/1.1"
            heard.discovery.watch()  # one watch is on: no second one
            reply(second, listing(43, target("s", ADDRESS, "leaving", 7), whole=False))
            news = await heard.lists.get()
            assert (news.rev, news.whole) == (43, False)
            (info,) = (t.info for t in news.targets)
            assert (info.server, info.state, info.started, info.cell) == ("s", ServerState.DRAINING, 7.0, 1)
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
            assert (await heard.lists.get()).rev == 44

    run(test())


@pytest.mark.parametrize("how", ["503", "reset", "refused", "silent"])
def test_each_failed_call_is_told_once(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if how == "silent":
        monkeypatch.setattr(discovery_module, "SILENT_MS", 50)

    async def test() -> None:
        if how == "refused":
            peer = await Peer().open()
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
            heard.discovery.on_list = lambda _: None if 1 / 0 else None
            reply(await peer.calls.get(), listing(42))
            assert "ZeroDivisionError" in await heard.failures.get()
            assert heard.discovery.rev == 41  # that news is asked for again

    run(test())


def test_the_proxy_keeps_its_list_through_bad_news_and_replaces_it_by_a_whole_one() -> None:
    async def test() -> None:
        async with proxy(backends=2) as p:
            bad = await p.registry.calls.get()
            bad.reply(b'{"rev":2,"all":true,"targets":[{"uid":5}]}')
            client = await p.client()
            assert (await client.ask("/health/ready", "GET")).status == 200
            assert set(p.engine.backends.targets) == {"s0", "s1"}
            good = await p.registry.calls.get()
            reply(good, listing(3, target("s1", p.backends[1].address)))
            await p.registry.calls.get()  # the next watch: the news is in
            assert set(p.engine.backends.targets) == {"s1"}
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
            assert p.engine.backends.active() == 1

    run(test())


def until_asked(driver: Driver) -> float:
    """ms from a failed call to the next one."""
    driver.step(ServerList(ListKind.FAILED))
    start = driver.now
    while not of(Watch, driver.beat()):
        pass
    return driver.now - start


def times(pushed: bool, grace_ms: float) -> Discovery:
    wire = Wire({}, {}, {}, {}, 1000.0, 1000.0, grace_ms)
    return Discovery(ADDRESS, wire, 1, lambda _: None, lambda _: None, pushed)


@pytest.mark.parametrize("must_ask_ms", [5_000.0, 10_000.0, 60_000.0])
@pytest.mark.parametrize(("pushed", "proxies"), [(True, 1), (True, 200), (False, 1), (False, 40)])
def test_a_silent_watch_is_opened_anew_in_time_also_if_connecting_hangs(
    pushed: bool, proxies: int, must_ask_ms: float
) -> None:
    # 6 s after it fell silent, at the start of a call maybe, what it missed counts as told.
    config = settings(ask_for_list=not pushed, proxies=proxies, must_ask_ms=must_ask_ms)
    driver = Driver(config, *fleet(2))
    if not pushed:
        assert of(Watch, driver.beats(4_025))  # as is a new process that has not asked yet
    driver.step(ServerList(ListKind.FULL, tuple(fleet(2))))
    discovery = times(pushed, 300.0)
    silent = discovery.wait_ms + discovery.silent_ms
    hangs = discovery_module.FIRST_WAIT_MS + discovery.silent_ms
    assert silent + until_asked(driver) + hangs + until_asked(driver) < 6_000


@pytest.mark.parametrize("grace_ms", [500.0, 2_500.0, 6_000.0])
def test_a_pushed_list_is_read_within_the_drain_grace_of_its_return(grace_ms: float) -> None:
    # What it holds then counts as told at once. An open watch may have been left silent, or a call since.
    discovery = times(True, grace_ms)
    again = until_asked(Driver(settings(), *fleet(2)))
    assert discovery.wait_ms + discovery.silent_ms + again <= grace_ms + 50


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
            assert (await heard.lists.get()).rev == 42

    run(test())


@pytest.mark.parametrize("how", ["noise", "end"])
def test_a_connection_that_ends_between_two_calls_is_no_failed_call(how: str) -> None:
    async def test() -> None:
        async with watching() as (heard, peer):

            def between(news: Listing) -> None:
                heard.lists.put_nowait(news)
                call = heard.discovery.call
                assert call is not None
                if how == "noise":
                    call.data_received(b"x")
                else:
                    call.connection_lost(ConnectionResetError())

            heard.discovery.on_list = between
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
        peer, other = await Peer().open(), await Peer().open()
        heard = Heard(peer.address)
        connect = heard.discovery._connect
        comes_up = asyncio.Event()

        async def late(call: discovery_module.Call) -> None:
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
            assert heard.discovery.move(other.address)
            heard.discovery.watch()
            reply(await other.calls.get(), listing(7))
            assert (await heard.lists.get()).rev == 7
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
        other = await Peer().open()
        async with watching() as (heard, peer):
            await peer.calls.get()
            call = heard.discovery.call
            assert call is not None
            body = json.dumps(listing(42, target("old", ADDRESS))).encode()
            call.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))
            assert heard.discovery.move(other.address)  # before the watch could look at it
            heard.discovery.watch()
            first = await other.calls.get()
            assert first.line == "GET /registry/instances HTTP/1.1"
            reply(first, listing(7))
            assert (await heard.lists.get()).rev == 7
            assert heard.lists.empty() and heard.failures.empty()
        other.close()

    run(test())


def test_moves_twice_in_a_row_and_back_ask_the_last_service_anew() -> None:
    async def test() -> None:
        other = await Peer().open()
        async with watching() as (heard, peer):
            (await peer.calls.get()).reply(json.dumps(listing(42)).encode())
            await heard.lists.get()
            old = await peer.calls.get()
            assert heard.discovery.move(other.address) and heard.discovery.move(peer.address)
            assert not heard.discovery.move(peer.address)
            heard.discovery.watch()
            await old.closed.wait()
            again = await peer.calls.get()
            assert again.line == "GET /registry/instances HTTP/1.1" and again.connection == 2
            assert other.connections == 0 and heard.failures.empty()
        other.close()

    run(test())
