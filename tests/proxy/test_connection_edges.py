"""Bytes in the moment of a shutdown or a close, floods, answers that break off, and very slow connections."""

from __future__ import annotations

import asyncio
import socket

import pytest

from dunecove.proxy import listener as listener_module
from dunecove.proxy.http1 import hung_up, unread
from tests.loopback import PURCHASE, Call, Client, Proxy, Reply, proxy, request, reset, run, until

OK = b"HTTP/1.1 200 OK\r\n"


async def next_call(p: Proxy) -> Call:
    """The next request that any backend reads."""
    await until(lambda: any(not peer.calls.empty() for peer in p.backends))
    return next(peer.calls.get_nowait() for peer in p.backends if not peer.calls.empty())


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
            assert p.backends[0].calls.empty() and not p.engine.requests.open
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
            monkeypatch.setattr(listener_module, "IDLE_FULL_S" if place == "full" else "IDLE_S", -1.0)
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


async def slow_reader(p: Proxy, sends: int = 4096, stops: bool = True) -> Client:
    """It has its last answer, and most of that still waits here, unless the kernel takes so much to send."""
    if stops:
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
    await until(lambda: p.frontend.ending if stops else p.frontend.idle)
    assert sends > 4096 or inside.transport.get_write_buffer_size()
    return client


@pytest.mark.parametrize("at", ["sweep", "cap"])
def test_who_reads_slowly_gets_its_last_answer_whole(at: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener_module, "LINGER_S", -1.0)
    monkeypatch.setattr(listener_module, "SPARE_MS", -1000.0)

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


@pytest.mark.parametrize("how", ["idle", "full", "half-close"])
def test_who_never_reads_does_not_hold_a_place_after_the_close(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection is closed only when all that waits to be written is out, and nobody reads it."""

    async def test() -> None:
        async with proxy() as p:
            client = await slow_reader(p, stops=False)
            (inside,) = p.frontend.idle
            if how == "idle":
                monkeypatch.setattr(listener_module, "IDLE_S", -1.0)
                p.frontend._sweep()
            elif how == "full":
                monkeypatch.setattr(listener_module, "IDLE_FULL_S", -1.0)
                p.frontend.most = 1
                other = await p.client()
                other.send("/health/ready", "GET")
                while p.frontend.accepting:  # no place is to be had while its answer may yet be read
                    await asyncio.sleep(0.001)
                assert p.frontend._victim() is None and p.frontend.held == 1
                p.engine.requests.max_deadline_ms = -1000.0
                assert (await other.reply()).status == 200
            else:
                client.writer.write_eof()
            await until(lambda: inside.transport.is_closing())
            assert how == "full" or inside in p.frontend.clients
            monkeypatch.setattr(listener_module, "LINGER_S", -1.0)
            monkeypatch.setattr(listener_module, "READ_S", -1.0)
            p.frontend._sweep()
            await until(lambda: inside not in p.frontend.clients)

    run(test())


@pytest.mark.parametrize("at", ["sweep", "cap"])
def test_bytes_that_come_as_a_connection_is_closed_take_no_answer_with_them(
    at: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Closed over them it would be reset, with all that its client has not been sent yet."""
    monkeypatch.setattr(listener_module, "SPARE_MS", -1000.0)

    async def test() -> None:
        async with proxy() as p:
            client = await slow_reader(p, sends=4_000_000)
            (inside,) = p.frontend.ending
            assert not inside.transport.get_write_buffer_size()  # the kernel has it
            inside.transport.pause_reading()  # as if no turn had come yet in which to read
            client.send(x_call_id="c2")
            await until(lambda: unread(inside.transport))
            if at == "sweep":
                monkeypatch.setattr(listener_module, "LINGER_S", -1.0)
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


def test_a_request_that_is_whole_only_as_the_program_ends_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Sent on, it could not be answered any more."""
    monkeypatch.setattr(listener_module, "LAST_WORDS_S", 5.0)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            sent = request()
            client.writer.write(sent[:-2])
            await until(lambda: any(inside.begun for inside in p.frontend.clients))
            p.frontend.stop_keeping()
            give_up = p.engine.requests.expire_all

            def rest_comes_then() -> None:
                give_up()
                client.writer.write(sent[-2:])

            monkeypatch.setattr(p.engine.requests, "expire_all", rest_comes_then)
            await p.frontend.finish(0.0)
            reply = await client.reply()
            assert (reply.status, reply.headers["connection"]) == (503, "close")
            assert p.backends[0].calls.empty() and not p.engine.requests.open

    run(test())


def test_what_is_sent_behind_a_request_that_asks_for_the_close_is_not_owed_an_answer() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="c1", connection="close")
            call = await p.backends[0].calls.get()
            client.send(x_call_id="c2")
            await until(lambda: any(inside.closing for inside in p.frontend.clients))
            call.reply()
            assert (await client.reply()).status == 200
            assert await client.ended()
            assert p.engine.telemetry.violation_count() == 0 and p.backends[0].calls.empty()

    run(test())


# Floods


def test_noise_without_end_behind_a_request_does_not_take_its_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener_module, "LINGER_BYTES", 1000)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            call = await p.backends[0].calls.get()
            (inside,) = p.frontend.clients
            client.writer.write(b"\x16\x03 no request\r\n\r\n")
            await until(lambda: inside.closing)
            client.writer.write(b"x" * 100_000)
            await until(lambda: unread(inside.transport) or inside not in p.frontend.clients)
            call.reply(b"owed")
            assert (await client.reply()).body == b"owed"
            assert (await client.reply()).status == 400
            await until(lambda: not p.frontend.clients)
            client.close()

    run(test())


def test_hundreds_of_connections_at_once_are_each_served_once() -> None:
    async def test() -> None:
        async with proxy() as p:
            flood = await asyncio.gather(*(p.client() for _ in range(300)))
            for number, client in enumerate(flood):
                client.send(x_call_id=f"f{number}")
            for _ in flood:
                call = await p.backends[0].calls.get()
                call.reply(call.headers["x-call-id"].encode())
            for number, client in enumerate(flood):
                assert (await client.reply()).body == b"f%d" % number
            assert p.backends[0].calls.empty()

    run(test())


def test_hundreds_of_requests_at_once_on_one_connection_keep_nobody_else_from_service() -> None:
    async def test() -> None:
        async with proxy() as p:
            flood, other = await p.client(), await p.client()
            flood.writer.write(b"".join(request(x_call_id=f"f{number}") for number in range(300)))
            calls = [await p.backends[0].calls.get()]
            other.send(x_call_id="other")
            calls.append(await p.backends[0].calls.get())
            assert [call.headers["x-call-id"] for call in calls] == ["f0", "other"]
            assert list(p.engine.requests.open) == ["f0", "other"]  # one of a connection at a time
            for call in calls:
                call.reply(call.headers["x-call-id"].encode())
            assert (await other.reply()).body == b"other"
            assert (await flood.reply()).body == b"f0"
            for number in range(1, 300):
                call = await p.backends[0].calls.get()
                assert call.headers["x-call-id"] == f"f{number}"
                call.reply(b"%d" % number)
                assert (await flood.reply()).body == b"%d" % number

    run(test())


# Answers that break off


CUT = [
    OK + b"content-length: 9\r\n\r\nhalf",
    OK + b"transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
    OK + b"content-le",
    b"HTTP/1.1 2",
]
NO_LENGTH = [OK + b"connection: close\r\n\r\nto the end", b"HTTP/1.0 200 OK\r\n\r\nto the end"]


async def broken_off(p: Proxy, sent: bytes, how: str) -> Reply:
    """What a client gets for an answer that came to its end, or to a reset, while the loop was busy."""
    client = await p.client()
    client.send()
    call = await next_call(p)
    (connection,) = p.engine.backends.connections
    transport = connection.transport
    assert transport is not None
    transport.pause_reading()
    call.writer.write(sent)
    await until(lambda: unread(transport))
    reset(call.writer) if how == "reset" else call.writer.close()
    await until(lambda: hung_up(transport))
    transport.resume_reading()
    reply = await client.reply()
    assert all(peer.calls.empty() for peer in p.backends)
    return reply


@pytest.mark.parametrize(
    ("sent", "how"), [*((sent, "end") for sent in CUT), *((sent, "reset") for sent in CUT + NO_LENGTH)]
)
def test_an_answer_that_breaks_off_is_no_answer(sent: bytes, how: str) -> None:
    """A reset is no end, also of an answer without a length; and what may have run is not sent again."""

    async def test() -> None:
        async with proxy(backends=2) as p:
            reply = await broken_off(p, sent, how)
            assert (reply.status, reply.body) == (504, b"")

    run(test())


@pytest.mark.parametrize("sent", NO_LENGTH)
def test_an_answer_without_a_length_that_ends_is_passed_on(sent: bytes) -> None:
    async def test() -> None:
        async with proxy(backends=2) as p:
            reply = await broken_off(p, sent, "end")
            assert (reply.status, reply.body) == (200, b"to the end")

    run(test())


# Very slow connections


def test_a_request_and_its_answer_may_come_a_byte_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener_module, "WHOLE_S", 1000.0)  # however slow this machine is

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            await until(lambda: p.frontend.clients)
            (inside,) = p.frontend.clients
            sent = request(body=b"by and by")
            for place in range(len(sent) - 1):
                client.writer.write(sent[place : place + 1])
                await until(lambda place=place: inside._size == place + 1)  # type: ignore[misc]
            assert p.backends[0].connections == 0
            client.writer.write(sent[-1:])
            call = await p.backends[0].calls.get()
            assert call.body == b"by and by"
            answer = b"HTTP/1.1 103 Hints\r\nlink: </a>\r\n\r\n"
            answer += OK + b"transfer-encoding: chunked\r\n\r\n4\r\nslow\r\n3;x=y\r\nly.\r\n0\r\nt: u\r\n\r\n"
            (connection,) = p.engine.backends.connections
            for byte in answer:
                assert connection.waiting and client.reader._buffer == b""  # type: ignore[attr-defined]
                size = connection._size
                call.writer.write(bytes([byte]))
                await until(lambda size=size: connection._size != size)  # type: ignore[misc]
            reply = await client.reply()
            assert (reply.status, reply.body) == (200, b"slowly.")

    run(test())


# Repeats of a keyed request after its window


@pytest.mark.parametrize(("window_ms", "repeated"), [(1e6, True), (1.0, False)])
def test_a_keyed_request_is_sent_again_within_its_window_alone(window_ms: float, repeated: bool) -> None:
    async def test() -> None:
        async with proxy(backends=2, settings={"Lanes": [PURCHASE | {"KeyTtlMs": window_ms}]}) as p:
            client = await p.client()
            client.send("/purchase", idempotency_key="k1")
            (await next_call(p)).reply(status=500)
            if repeated:
                (await next_call(p)).reply(b"again")
                assert (await client.reply()).body == b"again"
            else:
                assert (await client.reply()).status == 504
                assert all(peer.calls.empty() for peer in p.backends)

    run(test())
