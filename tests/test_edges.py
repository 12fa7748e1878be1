"""Bytes in the moment of a shutdown or a close, floods, answers that break off, and very slow connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from flintlatch.net import frontend as frontend_module
from tests.loopback import Client, Proxy, proxy, run


async def until(true: Callable[[], object]) -> None:
    while not true():
        await asyncio.sleep(0.001)


async def slow_reader(p: Proxy) -> Client:
    """It has its last answer, and most of that still waits here: neither side's kernel takes it."""
    p.frontend.stop_keeping()
    host, port = p.frontend.address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    client = Client(*await asyncio.open_connection(sock=sock, limit=1000))
    await until(lambda: p.frontend.clients)
    (inside,) = p.frontend.clients
    inside.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client.send()
    (await p.backends[0].calls.get()).reply(b"r" * 65536)
    await until(lambda: p.frontend.ending)
    assert inside.transport.get_write_buffer_size()
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
