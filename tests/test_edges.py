"""Bytes in the moment of a shutdown or a close, floods, answers that break off, and very slow connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from flintlatch.net import frontend as frontend_module
from flintlatch.net.http1 import unread
from tests.loopback import Client, Proxy, proxy, run


async def until(true: Callable[[], object]) -> None:
    while not true():
        await asyncio.sleep(0.001)


def test_what_comes_after_the_shutdown_is_not_sent_on_and_takes_no_answer_with_it() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="c1")
            call = await p.backends[0].calls.get()
            p.frontend.stop_keeping()
            call.reply(b"r" * 65536)
            (inside,) = p.frontend.clients
            await until(lambda: p.frontend.ending)
            client.send(x_call_id="c2")
            await until(lambda: inside.dropped)
            reply = await client.reply()
            assert (reply.body, reply.headers["connection"]) == (b"r" * 65536, "close")
            assert await client.ended()
            assert p.backends[0].calls.empty() and not p.engine.requests
            client.close()

    run(test())


@pytest.mark.parametrize("place", ["idle", "full"])
def test_a_kept_connection_that_has_just_been_asked_is_not_swept(
    place: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            assert (await client.ask("/health/ready", "GET")).status == 200
            (inside,) = p.frontend.clients
            inside.transport.pause_reading()  # as if no turn had come yet in which to read
            client.send()
            await until(lambda: unread(inside.transport))
            p.frontend.most = 1 if place == "full" else 100
            monkeypatch.setattr(frontend_module, "IDLE_FULL_S" if place == "full" else "IDLE_S", -1.0)
            assert inside in p.frontend.idle
            p.frontend._sweep()
            inside.transport.resume_reading()
            (await p.backends[0].calls.get()).reply()
            assert (await client.reply()).status == 200

    run(test())


def test_nothing_that_was_written_is_held_back() -> None:
    """Else a close over unread bytes could take small writes with it that were thought to be out."""

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            (await p.backends[0].calls.get()).reply()
            assert (await client.reply()).status == 200
            (inside,), (kept,) = p.frontend.clients, p.engine.backends.connections
            assert kept.transport is not None
            for transport in (inside.transport, kept.transport):
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(test())


async def slow_reader(p: Proxy, sends: int = 4096) -> Client:
    """It has its last answer, and most of that still waits here, unless the kernel takes so much to send."""
    p.frontend.stop_keeping()
    host, port = p.frontend.address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    client = Client(*await asyncio.open_connection(sock=sock, limit=1000))
    await until(lambda: p.frontend.clients)
    (inside,) = p.frontend.clients
    inside.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, sends)
    client.send()
    (await p.backends[0].calls.get()).reply(b"r" * 65536)
    await until(lambda: p.frontend.ending)
    assert sends > 4096 or inside.transport.get_write_buffer_size()
    return client


@pytest.mark.parametrize("at", ["sweep", "cap"])
def test_who_reads_slowly_gets_its_last_answer_whole(at: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend_module, "LINGER_S", -1.0)
    monkeypatch.setattr(frontend_module, "SPARE_MS", -1000.0)

    async def test() -> None:
        async with proxy() as p:
            client = await slow_reader(p)
            if at == "sweep":
                p.frontend._sweep()
            else:
                assert p.frontend._victim() is None
            reply = await client.reply()
            assert reply.body == b"r" * 65536
            assert await client.ended()
            client.close()

    run(test())


@pytest.mark.parametrize("at", ["sweep", "cap"])
def test_bytes_that_come_as_a_connection_is_closed_take_no_answer_with_them(
    at: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Closed over them it would be reset, with all that its client has not been sent yet."""
    monkeypatch.setattr(frontend_module, "SPARE_MS", -1000.0)

    async def test() -> None:
        async with proxy() as p:
            client = await slow_reader(p, sends=4_000_000)
            (inside,) = p.frontend.ending
            assert not inside.transport.get_write_buffer_size()  # the kernel has it
            inside.transport.pause_reading()  # as if no turn had come yet in which to read
            client.send(x_call_id="c2")
            await until(lambda: unread(inside.transport))
            if at == "sweep":
                monkeypatch.setattr(frontend_module, "LINGER_S", -1.0)
                p.frontend._sweep()
            else:
                assert p.frontend._victim() is None
            inside.transport.resume_reading()
            assert (await client.reply()).body == b"r" * 65536
            assert await client.ended()
            client.close()

    run(test())


def test_who_never_reads_its_last_answer_does_not_hold_its_place_for_good(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with proxy() as p:
            await slow_reader(p)
            (inside,) = p.frontend.ending
            p.frontend.ending[inside] -= 100_000.0
            assert p.frontend._victim() is inside
            p.frontend._sweep()
            await until(lambda: not p.frontend.clients)

    run(test())
