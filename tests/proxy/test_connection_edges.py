"""Races between received bytes and a close, floods, truncated responses, slow connections."""

from __future__ import annotations

import asyncio
import socket

import pytest

from dunecove.proxy import client_connection as connection_module
from dunecove.proxy import connection_slots as slots_module
from dunecove.proxy import listener as listener_module
from dunecove.proxy.socket_probe import has_unread_input, is_closed_by_peer
from tests.loopback import (
    PURCHASE,
    Client,
    Proxy,
    ReceivedRequest,
    ReceivedResponse,
    encode_request,
    proxy,
    reset_connection,
    run,
    send_unread,
    wait_until,
)

OK = b"HTTP/1.1 200 OK\r\n"


async def next_request(p: Proxy) -> ReceivedRequest:
    """Return the next request that any backend receives."""
    await wait_until(lambda: any(not backend.requests.empty() for backend in p.backends))
    return next(backend.requests.get_nowait() for backend in p.backends if not backend.requests.empty())


def test_request_after_the_last_response_is_not_forwarded_and_does_not_reset_the_connection() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="c1")
            received = await p.backends[0].requests.get()
            p.listener.begin_shutdown()
            received.respond(b"r" * 65536)
            (connection,) = p.listener.slots.connections
            await wait_until(lambda: p.listener.slots.lingering)
            client.send(x_call_id="c2")
            await wait_until(lambda: connection.discarded_bytes)
            reply = await client.read_response()
            assert (reply.body, reply.headers["connection"]) == (b"r" * 65536, "close")
            assert await client.wait_closed()
            assert p.backends[0].requests.empty() and not p.engine.requests.open
            client.close()

    run(test())


@pytest.mark.parametrize("timeout", ["idle", "crowded"])
def test_idle_connection_with_an_unread_request_is_not_swept(
    timeout: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            assert (await client.exchange("/health/ready", "GET")).status == 200
            (connection,) = p.listener.slots.connections
            await send_unread(client, connection)
            p.listener.slots.limit = 1 if timeout == "crowded" else 100
            monkeypatch.setattr(
                slots_module, "CROWDED_IDLE_TIMEOUT_S" if timeout == "crowded" else "IDLE_TIMEOUT_S", -1.0
            )
            assert connection in p.listener.slots.idle
            p.listener.sweep()
            connection.transport.resume_reading()
            (await p.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200

    run(test())


def test_connections_use_tcp_nodelay() -> None:
    """Failure: closing with unread bytes reset the connection and dropped small writes that Nagle delayed."""

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            (await p.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200
            (connection,), (pooled,) = p.listener.slots.connections, p.engine.connection_pool.connections
            assert pooled.transport is not None
            for transport in (connection.transport, pooled.transport):
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(test())


async def connect_slow_reader(p: Proxy, send_buffer_bytes: int = 4096, shutting_down: bool = True) -> Client:
    """Return a client with an unread last response; most of it is unsent unless the kernel buffers it all."""
    if shutting_down:
        p.listener.begin_shutdown()
    host, port = p.listener.address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    client = Client(*await asyncio.open_connection(sock=sock, limit=1000))
    await wait_until(lambda: p.listener.slots.connections)
    (connection,) = p.listener.slots.connections
    connection.transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes
    )
    client.send()
    (await p.backends[0].requests.get()).respond(b"r" * 65536)
    await wait_until(lambda: p.listener.slots.lingering if shutting_down else p.listener.slots.idle)
    assert send_buffer_bytes > 4096 or connection.transport.get_write_buffer_size()
    return client


@pytest.mark.parametrize("occasion", ["sweep", "eviction"])
def test_slow_reader_gets_its_complete_last_response(occasion: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slots_module, "LINGER_TIMEOUT_S", -1.0)
    monkeypatch.setattr(slots_module, "EVICTION_GRACE_MS", -1000.0)

    async def test() -> None:
        async with proxy() as p:
            client = await connect_slow_reader(p)
            if occasion == "sweep":
                p.listener.sweep()
            else:
                assert p.listener.slots.eviction_candidate(p.engine.requests.max_deadline_ms) is None
            reply = await client.read_response()
            assert reply.body == b"r" * 65536
            assert await client.wait_closed()
            client.close()

    run(test())


@pytest.mark.parametrize("how", ["idle", "crowded", "half-close"])
def test_client_that_never_reads_holds_no_slot_after_the_close(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: the transport closes only once its unsent bytes are read, so the slot stayed in use."""

    async def test() -> None:
        async with proxy() as p:
            client = await connect_slow_reader(p, shutting_down=False)
            (connection,) = p.listener.slots.idle
            if how == "idle":
                monkeypatch.setattr(slots_module, "IDLE_TIMEOUT_S", -1.0)
                p.listener.sweep()
            elif how == "crowded":
                monkeypatch.setattr(slots_module, "CROWDED_IDLE_TIMEOUT_S", -1.0)
                p.listener.slots.limit = 1
                other = await p.client()
                other.send("/health/ready", "GET")
                # The slot is not freed while the client may still read its response.
                await wait_until(lambda: not p.listener.is_accepting)
                assert p.listener.slots.eviction_candidate(p.engine.requests.max_deadline_ms) is None
                assert p.listener.slots.used == 1
                p.engine.requests.max_deadline_ms = -1000.0
                assert (await other.read_response()).status == 200
            else:
                client.writer.write_eof()
            await wait_until(lambda: connection.transport.is_closing())
            assert how == "crowded" or connection in p.listener.slots.connections
            monkeypatch.setattr(slots_module, "LINGER_TIMEOUT_S", -1.0)
            monkeypatch.setattr(connection_module, "LINGER_READ_TIMEOUT_S", -1.0)
            p.listener.sweep()
            await wait_until(lambda: connection not in p.listener.slots.connections)

    run(test())


@pytest.mark.parametrize("occasion", ["sweep", "eviction"])
def test_bytes_received_at_the_close_do_not_reset_the_last_response(
    occasion: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: closing with unread input reset the connection and dropped what the kernel had not sent."""
    monkeypatch.setattr(slots_module, "EVICTION_GRACE_MS", -1000.0)

    async def test() -> None:
        async with proxy() as p:
            client = await connect_slow_reader(p, send_buffer_bytes=4_000_000)
            (connection,) = p.listener.slots.lingering
            assert not connection.transport.get_write_buffer_size()  # the kernel has the whole response
            await send_unread(client, connection, x_call_id="c2")
            if occasion == "sweep":
                monkeypatch.setattr(slots_module, "LINGER_TIMEOUT_S", -1.0)
                p.listener.sweep()
            else:
                assert p.listener.slots.eviction_candidate(p.engine.requests.max_deadline_ms) is None
            connection.transport.resume_reading()
            assert (await client.read_response()).body == b"r" * 65536
            assert await client.wait_closed()
            client.close()

    run(test())


def test_lingering_client_that_never_reads_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with proxy() as p:
            await connect_slow_reader(p)
            (connection,) = p.listener.slots.lingering
            p.listener.slots.lingering[connection] -= 100_000.0
            assert p.listener.slots.eviction_candidate(p.engine.requests.max_deadline_ms) is connection
            p.listener.sweep()
            await wait_until(lambda: not p.listener.slots.connections)

    run(test())


def test_request_completed_at_the_end_of_the_shutdown_is_rejected_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: the request was forwarded although the process ended before its response."""
    monkeypatch.setattr(listener_module, "FINAL_RESPONSE_TIMEOUT_S", 5.0)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            sent = encode_request()
            client.writer.write(sent[:-2])
            await wait_until(
                lambda: any(connection.reader.is_mid_request for connection in p.listener.slots.connections)
            )
            p.listener.begin_shutdown()
            expire_all = p.engine.requests.expire_all

            def expire_all_and_complete_request() -> None:
                expire_all()
                client.writer.write(sent[-2:])

            monkeypatch.setattr(p.engine.requests, "expire_all", expire_all_and_complete_request)
            await p.listener.finish_shutdown(0.0)
            reply = await client.read_response()
            assert (reply.status, reply.headers["connection"]) == (503, "close")
            assert p.backends[0].requests.empty() and not p.engine.requests.open

    run(test())


def test_request_after_one_with_connection_close_gets_no_response() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="c1", connection="close")
            received = await p.backends[0].requests.get()
            client.send(x_call_id="c2")
            await wait_until(
                lambda: any(connection.is_closing for connection in p.listener.slots.connections)
            )
            received.respond()
            assert (await client.read_response()).status == 200
            assert await client.wait_closed()
            assert p.engine.telemetry.violation_count() == 0 and p.backends[0].requests.empty()

    run(test())


# Floods


def test_invalid_bytes_after_a_request_do_not_prevent_its_response(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_module, "MAX_LINGER_BYTES", 1000)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            received = await p.backends[0].requests.get()
            (connection,) = p.listener.slots.connections
            client.writer.write(b"\x16\x03 no request\r\n\r\n")
            await wait_until(lambda: connection.is_closing)
            client.writer.write(b"x" * 100_000)
            await wait_until(
                lambda: (
                    has_unread_input(connection.transport) or connection not in p.listener.slots.connections
                )
            )
            received.respond(b"owed")
            assert (await client.read_response()).body == b"owed"
            assert (await client.read_response()).status == 400
            await wait_until(lambda: not p.listener.slots.connections)
            client.close()

    run(test())


def test_hundreds_of_connections_at_once_are_each_served_once() -> None:
    async def test() -> None:
        async with proxy() as p:
            flood = await asyncio.gather(*(p.client() for _ in range(300)))
            for number, client in enumerate(flood):
                client.send(x_call_id=f"f{number}")
            for _ in flood:
                received = await p.backends[0].requests.get()
                received.respond(received.headers["x-call-id"].encode())
            for number, client in enumerate(flood):
                assert (await client.read_response()).body == b"f%d" % number
            assert p.backends[0].requests.empty()

    run(test())


def test_hundreds_of_pipelined_requests_do_not_starve_other_clients() -> None:
    async def test() -> None:
        async with proxy() as p:
            flood, other = await p.client(), await p.client()
            flood.writer.write(b"".join(encode_request(x_call_id=f"f{number}") for number in range(300)))
            first_requests = [await p.backends[0].requests.get()]
            other.send(x_call_id="other")
            first_requests.append(await p.backends[0].requests.get())
            assert [received.headers["x-call-id"] for received in first_requests] == ["f0", "other"]
            assert list(p.engine.requests.open) == ["f0", "other"]  # one request of each connection at a time
            for received in first_requests:
                received.respond(received.headers["x-call-id"].encode())
            assert (await other.read_response()).body == b"other"
            assert (await flood.read_response()).body == b"f0"
            for number in range(1, 300):
                received = await p.backends[0].requests.get()
                assert received.headers["x-call-id"] == f"f{number}"
                received.respond(b"%d" % number)
                assert (await flood.read_response()).body == b"%d" % number

    run(test())


# Truncated responses


TRUNCATED = [
    OK + b"content-length: 9\r\n\r\nhalf",
    OK + b"transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
    OK + b"content-le",
    b"HTTP/1.1 2",
]
WITHOUT_LENGTH = [OK + b"connection: close\r\n\r\nto the end", b"HTTP/1.0 200 OK\r\n\r\nto the end"]


async def exchange_interrupted(p: Proxy, sent: bytes, how: str) -> ReceivedResponse:
    """Return the client's response if the backend closes or resets its connection before the proxy reads."""
    client = await p.client()
    client.send()
    received = await next_request(p)
    (connection,) = p.engine.connection_pool.connections
    transport = connection.transport
    assert transport is not None
    transport.pause_reading()
    received.writer.write(sent)
    await wait_until(lambda: has_unread_input(transport))
    reset_connection(received.writer) if how == "reset" else received.writer.close()
    await wait_until(lambda: is_closed_by_peer(transport))
    transport.resume_reading()
    reply = await client.read_response()
    assert all(backend.requests.empty() for backend in p.backends)
    return reply


@pytest.mark.parametrize(
    ("sent", "how"),
    [*((sent, "end") for sent in TRUNCATED), *((sent, "reset") for sent in TRUNCATED + WITHOUT_LENGTH)],
)
def test_truncated_or_reset_response_fails_the_attempt(sent: bytes, how: str) -> None:
    """A reset does not complete a response, and a request that may have executed is not retried."""

    async def test() -> None:
        async with proxy(backends=2) as p:
            reply = await exchange_interrupted(p, sent, how)
            assert (reply.status, reply.body) == (504, b"")

    run(test())


@pytest.mark.parametrize("sent", WITHOUT_LENGTH)
def test_response_delimited_by_the_close_is_forwarded(sent: bytes) -> None:
    async def test() -> None:
        async with proxy(backends=2) as p:
            reply = await exchange_interrupted(p, sent, "end")
            assert (reply.status, reply.body) == (200, b"to the end")

    run(test())


# Slow connections


def test_request_and_response_may_arrive_byte_by_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slots_module, "REQUEST_TIMEOUT_S", 1000.0)  # out of reach on a slow machine

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            await wait_until(lambda: p.listener.slots.connections)
            (connection,) = p.listener.slots.connections
            sent = encode_request(body=b"by and by")
            for index in range(len(sent) - 1):
                client.writer.write(sent[index : index + 1])
                await wait_until(lambda index=index: connection.reader.size_bytes == index + 1)  # type: ignore[misc]
            assert p.backends[0].connection_count == 0
            client.writer.write(sent[-1:])
            received = await p.backends[0].requests.get()
            assert received.body == b"by and by"
            response = b"HTTP/1.1 103 Hints\r\nlink: </a>\r\n\r\n"
            response += (
                OK + b"transfer-encoding: chunked\r\n\r\n4\r\nslow\r\n3;x=y\r\nly.\r\n0\r\nt: u\r\n\r\n"
            )
            (backend_connection,) = p.engine.connection_pool.connections
            for byte in response:
                assert backend_connection.is_awaiting_response and client.reader._buffer == b""  # type: ignore[attr-defined]
                size = backend_connection._received_bytes
                received.writer.write(bytes([byte]))
                await wait_until(lambda size=size: backend_connection._received_bytes != size)  # type: ignore[misc]
            reply = await client.read_response()
            assert (reply.status, reply.body) == (200, b"slowly.")

    run(test())


# Retries of keyed requests


@pytest.mark.parametrize(("window_ms", "is_retried"), [(1e6, True), (1.0, False)])
def test_keyed_request_is_retried_only_within_its_deduplication_window(
    window_ms: float, is_retried: bool
) -> None:
    async def test() -> None:
        async with proxy(backends=2, settings={"Lanes": [PURCHASE | {"KeyTtlMs": window_ms}]}) as p:
            client = await p.client()
            client.send("/purchase", idempotency_key="k1")
            (await next_request(p)).respond(status=500)
            if is_retried:
                (await next_request(p)).respond(b"again")
                assert (await client.read_response()).body == b"again"
            else:
                assert (await client.read_response()).status == 504
                assert all(backend.requests.empty() for backend in p.backends)

    run(test())
