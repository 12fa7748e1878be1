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
    Proxy,
    ReceivedRequest,
    ReceivedResponse,
    connect_slow_reader,
    encode_request,
    reset_connection,
    run,
    run_proxy,
    send_unread,
    wait_until,
)

OK = b"HTTP/1.1 200 OK\r\n"


async def next_request(proxy: Proxy) -> ReceivedRequest:
    """Return the next request that any backend receives."""
    await wait_until(lambda: any(not backend.requests.empty() for backend in proxy.backends))
    return next(backend.requests.get_nowait() for backend in proxy.backends if not backend.requests.empty())


def test_request_after_the_last_response_is_not_forwarded_and_does_not_reset_the_connection() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send(x_call_id="c1")
            received = await proxy.backends[0].requests.get()
            proxy.listener.begin_shutdown()
            received.respond(b"r" * 65536)
            (connection,) = proxy.listener.slots.connections
            await wait_until(lambda: proxy.listener.slots.lingering)
            client.send(x_call_id="c2")
            await wait_until(lambda: connection.discarded_bytes)
            response = await client.read_response()
            assert (response.body, response.headers["connection"]) == (b"r" * 65536, "close")
            assert await client.wait_closed()
            assert proxy.backends[0].requests.empty() and not proxy.engine.requests.open
            client.close()

    run(test())


@pytest.mark.parametrize("timeout", ["idle", "crowded"])
def test_idle_connection_with_an_unread_request_is_not_swept(
    timeout: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            assert (await client.exchange("/health/ready", "GET")).status == 200
            (connection,) = proxy.listener.slots.connections
            await send_unread(client, connection)
            proxy.listener.slots.limit = 1 if timeout == "crowded" else 100
            monkeypatch.setattr(
                slots_module, "CROWDED_IDLE_TIMEOUT_S" if timeout == "crowded" else "IDLE_TIMEOUT_S", -1.0
            )
            assert connection in proxy.listener.slots.idle
            proxy.listener.sweep()
            connection.transport.resume_reading()
            (await proxy.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200

    run(test())


def test_connections_use_tcp_nodelay() -> None:
    """Failure: closing with unread bytes reset the connection and dropped small writes that Nagle delayed."""

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            (await proxy.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200
            (connection,), (backend_connection,) = (
                proxy.listener.slots.connections,
                proxy.engine.connection_pool.connections,
            )
            assert backend_connection.transport is not None
            for transport in (connection.transport, backend_connection.transport):
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(test())


@pytest.mark.parametrize("occasion", ["sweep", "eviction"])
def test_slow_reader_gets_its_complete_last_response(occasion: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slots_module, "LINGER_TIMEOUT_S", -1.0)
    monkeypatch.setattr(slots_module, "EVICTION_GRACE_MS", -1000.0)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await connect_slow_reader(proxy)
            if occasion == "sweep":
                proxy.listener.sweep()
            else:
                assert proxy.listener.slots.eviction_candidate(proxy.engine.requests.max_deadline_ms) is None
            response = await client.read_response()
            assert response.body == b"r" * 65536
            assert await client.wait_closed()
            client.close()

    run(test())


@pytest.mark.parametrize("close_cause", ["idle", "crowded", "half-close"])
def test_client_that_never_reads_holds_no_slot_after_the_close(
    close_cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: the transport closes only once its unsent bytes are read, so the slot stayed in use."""

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await connect_slow_reader(proxy, shutting_down=False)
            (connection,) = proxy.listener.slots.idle
            if close_cause == "idle":
                monkeypatch.setattr(slots_module, "IDLE_TIMEOUT_S", -1.0)
                proxy.listener.sweep()
            elif close_cause == "crowded":
                monkeypatch.setattr(slots_module, "CROWDED_IDLE_TIMEOUT_S", -1.0)
                proxy.listener.slots.limit = 1
                new_client = await proxy.client()
                new_client.send("/health/ready", "GET")
                # The slot is not freed while the client may still read its response.
                await wait_until(lambda: not proxy.listener.is_accepting)
                assert proxy.listener.slots.eviction_candidate(proxy.engine.requests.max_deadline_ms) is None
                assert proxy.listener.slots.used == 1
                proxy.engine.requests.max_deadline_ms = -1000.0
                assert (await new_client.read_response()).status == 200
            else:
                client.writer.write_eof()
            await wait_until(lambda: connection.transport.is_closing())
            assert close_cause == "crowded" or connection in proxy.listener.slots.connections
            monkeypatch.setattr(slots_module, "LINGER_TIMEOUT_S", -1.0)
            monkeypatch.setattr(connection_module, "LINGER_READ_TIMEOUT_S", -1.0)
            proxy.listener.sweep()
            await wait_until(lambda: connection not in proxy.listener.slots.connections)

    run(test())


@pytest.mark.parametrize("occasion", ["sweep", "eviction"])
def test_bytes_received_at_the_close_do_not_reset_the_last_response(
    occasion: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: closing with unread input reset the connection and dropped what the kernel had not sent."""
    monkeypatch.setattr(slots_module, "EVICTION_GRACE_MS", -1000.0)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await connect_slow_reader(proxy, send_buffer_bytes=4_000_000)
            (connection,) = proxy.listener.slots.lingering
            assert not connection.transport.get_write_buffer_size()  # the kernel has the whole response
            await send_unread(client, connection, x_call_id="c2")
            if occasion == "sweep":
                monkeypatch.setattr(slots_module, "LINGER_TIMEOUT_S", -1.0)
                proxy.listener.sweep()
            else:
                assert proxy.listener.slots.eviction_candidate(proxy.engine.requests.max_deadline_ms) is None
            connection.transport.resume_reading()
            assert (await client.read_response()).body == b"r" * 65536
            assert await client.wait_closed()
            client.close()

    run(test())


def test_lingering_client_that_never_reads_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            await connect_slow_reader(proxy)
            (connection,) = proxy.listener.slots.lingering
            proxy.listener.slots.lingering[connection] -= 100_000.0
            assert (
                proxy.listener.slots.eviction_candidate(proxy.engine.requests.max_deadline_ms) is connection
            )
            proxy.listener.sweep()
            await wait_until(lambda: not proxy.listener.slots.connections)

    run(test())


def test_request_completed_at_the_end_of_the_shutdown_is_rejected_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: the request was forwarded although the process ended before its response."""
    monkeypatch.setattr(listener_module, "FINAL_RESPONSE_TIMEOUT_S", 5.0)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            sent = encode_request()
            client.writer.write(sent[:-2])
            await wait_until(
                lambda: any(
                    connection.reader.is_mid_request for connection in proxy.listener.slots.connections
                )
            )
            proxy.listener.begin_shutdown()
            expire_all = proxy.engine.requests.expire_all

            def expire_all_and_complete_request() -> None:
                expire_all()
                client.writer.write(sent[-2:])

            monkeypatch.setattr(proxy.engine.requests, "expire_all", expire_all_and_complete_request)
            await proxy.listener.finish_shutdown(0.0)
            response = await client.read_response()
            assert (response.status, response.headers["connection"]) == (503, "close")
            assert proxy.backends[0].requests.empty() and not proxy.engine.requests.open

    run(test())


def test_request_after_one_with_connection_close_gets_no_response() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send(x_call_id="c1", connection="close")
            received = await proxy.backends[0].requests.get()
            client.send(x_call_id="c2")
            await wait_until(
                lambda: any(connection.is_closing for connection in proxy.listener.slots.connections)
            )
            received.respond()
            assert (await client.read_response()).status == 200
            assert await client.wait_closed()
            assert proxy.engine.telemetry.violation_count() == 0 and proxy.backends[0].requests.empty()

    run(test())


# Floods


def test_invalid_bytes_after_a_request_do_not_prevent_its_response(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_module, "MAX_LINGER_BYTES", 1000)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            received = await proxy.backends[0].requests.get()
            (connection,) = proxy.listener.slots.connections
            client.writer.write(b"\x16\x03 no request\r\n\r\n")
            await wait_until(lambda: connection.is_closing)
            client.writer.write(b"x" * 100_000)
            await wait_until(
                lambda: (
                    has_unread_input(connection.transport)
                    or connection not in proxy.listener.slots.connections
                )
            )
            received.respond(b"owed")
            assert (await client.read_response()).body == b"owed"
            assert (await client.read_response()).status == 400
            await wait_until(lambda: not proxy.listener.slots.connections)
            client.close()

    run(test())


def test_hundreds_of_connections_at_once_are_each_served_once() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            flood = await asyncio.gather(*(proxy.client() for _ in range(300)))
            for number, client in enumerate(flood):
                client.send(x_call_id=f"f{number}")
            for _ in flood:
                received = await proxy.backends[0].requests.get()
                received.respond(received.headers["x-call-id"].encode())
            for number, client in enumerate(flood):
                assert (await client.read_response()).body == b"f%d" % number
            assert proxy.backends[0].requests.empty()

    run(test())


def test_hundreds_of_pipelined_requests_do_not_starve_other_clients() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            flood, other_client = await proxy.client(), await proxy.client()
            flood.writer.write(b"".join(encode_request(x_call_id=f"f{number}") for number in range(300)))
            first_requests = [await proxy.backends[0].requests.get()]
            other_client.send(x_call_id="other")
            first_requests.append(await proxy.backends[0].requests.get())
            assert [received.headers["x-call-id"] for received in first_requests] == ["f0", "other"]
            # One request of each connection at a time.
            assert list(proxy.engine.requests.open) == ["f0", "other"]
            for received in first_requests:
                received.respond(received.headers["x-call-id"].encode())
            assert (await other_client.read_response()).body == b"other"
            assert (await flood.read_response()).body == b"f0"
            for number in range(1, 300):
                received = await proxy.backends[0].requests.get()
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


async def exchange_interrupted(proxy: Proxy, sent: bytes, connection_end: str) -> ReceivedResponse:
    """Return the client's response if the backend closes or resets its connection before the proxy reads."""
    client = await proxy.client()
    client.send()
    received = await next_request(proxy)
    (connection,) = proxy.engine.connection_pool.connections
    transport = connection.transport
    assert transport is not None
    transport.pause_reading()
    received.writer.write(sent)
    await wait_until(lambda: has_unread_input(transport))
    reset_connection(received.writer) if connection_end == "reset" else received.writer.close()
    await wait_until(lambda: is_closed_by_peer(transport))
    transport.resume_reading()
    response = await client.read_response()
    assert all(backend.requests.empty() for backend in proxy.backends)
    return response


@pytest.mark.parametrize(
    ("sent", "connection_end"),
    [*((sent, "end") for sent in TRUNCATED), *((sent, "reset") for sent in TRUNCATED + WITHOUT_LENGTH)],
)
def test_truncated_or_reset_response_fails_the_attempt(sent: bytes, connection_end: str) -> None:
    """A reset does not complete a response, and a request that may have executed is not retried."""

    async def test() -> None:
        async with run_proxy(backends=2) as proxy:
            response = await exchange_interrupted(proxy, sent, connection_end)
            assert (response.status, response.body) == (504, b"")

    run(test())


@pytest.mark.parametrize("sent", WITHOUT_LENGTH)
def test_response_delimited_by_the_close_is_forwarded(sent: bytes) -> None:
    async def test() -> None:
        async with run_proxy(backends=2) as proxy:
            response = await exchange_interrupted(proxy, sent, "end")
            assert (response.status, response.body) == (200, b"to the end")

    run(test())


# Slow connections


def test_request_and_response_may_arrive_byte_by_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slots_module, "REQUEST_TIMEOUT_S", 1000.0)  # out of reach on a slow machine

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            await wait_until(lambda: proxy.listener.slots.connections)
            (connection,) = proxy.listener.slots.connections
            sent_request = encode_request(body=b"by and by")
            for index in range(len(sent_request) - 1):
                client.writer.write(sent_request[index : index + 1])
                await wait_until(lambda index=index: connection.reader.size_bytes == index + 1)  # type: ignore[misc]
            assert proxy.backends[0].connection_count == 0
            client.writer.write(sent_request[-1:])
            received = await proxy.backends[0].requests.get()
            assert received.body == b"by and by"
            sent_response = b"HTTP/1.1 103 Hints\r\nlink: </a>\r\n\r\n"
            sent_response += (
                OK + b"transfer-encoding: chunked\r\n\r\n4\r\nslow\r\n3;x=y\r\nly.\r\n0\r\nt: u\r\n\r\n"
            )
            (backend_connection,) = proxy.engine.connection_pool.connections
            for byte in sent_response:
                assert backend_connection.is_awaiting_response and client.reader._buffer == b""  # type: ignore[attr-defined]
                size = backend_connection._received_bytes
                received.writer.write(bytes([byte]))
                await wait_until(lambda size=size: backend_connection._received_bytes != size)  # type: ignore[misc]
            response = await client.read_response()
            assert (response.status, response.body) == (200, b"slowly.")

    run(test())


# Retries of keyed requests


@pytest.mark.parametrize(("window_ms", "is_retried"), [(1e6, True), (1.0, False)])
def test_keyed_request_is_retried_only_within_its_deduplication_window(
    window_ms: float, is_retried: bool
) -> None:
    async def test() -> None:
        async with run_proxy(backends=2, settings={"Lanes": [PURCHASE | {"KeyTtlMs": window_ms}]}) as proxy:
            client = await proxy.client()
            client.send("/purchase", idempotency_key="k1")
            (await next_request(proxy)).respond(status=500)
            if is_retried:
                (await next_request(proxy)).respond(b"again")
                assert (await client.read_response()).body == b"again"
            else:
                assert (await client.read_response()).status == 504
                assert all(backend.requests.empty() for backend in proxy.backends)

    run(test())
