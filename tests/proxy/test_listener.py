"""Client connections: accepted and rejected requests, slots, timeouts, graceful shutdown."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from dunecove.proxy import client_connection as connection_module
from dunecove.proxy import connection_slots as slots_module
from dunecove.proxy import request_registry as request_registry_module
from dunecove.proxy.client_messages import ClientResponse
from dunecove.proxy.endpoint_list import EndpointListUpdate
from dunecove.proxy.request_registry import ExecutedIds
from tests.loopback import Client, Proxy, encode_request, run, run_proxy, send_unread, wait_until


def test_request_is_forwarded_unchanged_and_its_response_returned() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send(
                "/purchase/7?x=1",
                body=b"\x00body",
                idempotency_key="k1",
                x_other="no",
                x_caller="acme",
                connection="x-hop",
                x_hop="dropped",
            )
            received = await proxy.backends[0].requests.get()
            assert received.request_line == "POST /purchase/7?x=1 HTTP/1.1"
            assert received.body == b"\x00body"
            assert (received.headers["x-call-id"], received.headers["idempotency-key"]) == ("c1", "k1")
            assert 0 < int(received.headers["x-budget-ms"]) <= 20000
            assert received.headers["x-caller"] == "acme"
            # A header that no backend needs could only make the backend reject the request.
            assert "x-other" not in received.headers and "x-hop" not in received.headers
            received.respond(b"\x01answer", headers={"content-type": "app/x", "x-load-report": "?"})
            response = await client.read_response()
            assert (response.status, response.body, response.headers["content-type"]) == (
                200,
                b"\x01answer",
                "app/x",
            )
            assert "x-load-report" not in response.headers

    run(test())


def test_get_is_forwarded_for_an_idempotent_class() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send("/lookup", "GET")
            received = await proxy.backends[0].requests.get()
            assert (received.request_line, received.body) == ("GET /lookup HTTP/1.1", b"")
            received.respond()
            assert (await client.read_response()).status == 200

    run(test())


@pytest.mark.parametrize(
    ("status", "path", "method", "headers"),
    [
        (404, "/unknown", "POST", {}),
        (404, "/", "POST", {}),
        (405, "/answer", "GET", {}),
        (405, "/lookup", "POST", {}),
        (405, "/health/ready", "POST", {}),
        (400, "/purchase", "POST", {}),
        (400, "/answer", "POST", {"x_call_id": None}),
        (400, "/answer", "POST", {"x_call_id": ""}),
        (400, "/answer", "POST", {"x_call_id": "x" * 200}),
        (400, "/answer", "POST", {"x_budget_ms": None}),
        (400, "/answer", "POST", {"x_budget_ms": "soon"}),
        (400, "/answer", "POST", {"x_budget_ms": "-5"}),
        (400, "/answer", "POST", {"x_budget_ms": "0"}),
        (400, "/answer", "POST", {"x_budget_ms": "9" * 5000}),
        (400, "/answer", "POST", {"x_call_id": "a b"}),
        (400, "/answer/" + "x" * 3000, "POST", {}),
        (400, "/answer", "POST", {"x_route_hash": "no hex"}),
        (400, "/answer", "POST", {"host": None}),
        (400, "/answer", "POST", {"X-Budget-Ms": "7"}),
    ],
)
def test_invalid_request_gets_an_error_and_keeps_the_connection_open(
    status: int, path: str, method: str, headers: dict[str, str | None]
) -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            assert (await client.exchange(path, method, **headers)).status == status
            assert (await client.exchange("/health/ready", "GET")).status == 200
            assert proxy.backends[0].connection_count == 0

    run(test())


@pytest.mark.parametrize(
    ("status", "sent"),
    [
        (400, b"nonsense\r\n\r\n"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n"),
        # Two declared lengths, as in request smuggling.
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n"),
        (
            400,
            b"POST /answer HTTP/1.1\r\nhost: a\r\nTRANSFER-ENCODING:\t Chunked \r\nContent-Length:1\r\n\r\n",
        ),
        (
            400,
            b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding : chunked\r\ncontent-length: 1\r\n\r\n",
        ),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\nx"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n"),
        (400, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n"),
        # The size limit also covers bytes after the head, including trailers and chunk extensions.
        (
            413,
            b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n"
            + b"x-trailer: y\r\n" * 40000,
        ),
        (413, b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1;" + b"e" * 400000),
        # The declared length is too small, as the invalid bytes after it show.
        (
            400,
            b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: c\r\nx-budget-ms: 20000\r\n"
            b"content-length: 2\r\n\r\nbody",
        ),
        (400, b"GET /lookup HTTP/1.1\r\nhost: a\r\nx-long: " + b"y" * 20000 + b"\r\n\r\n"),
        (400, b"GET /lookup HTTP/1.1\r\nx-endless: " + b"y" * 200000),
        (413, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 65537\r\n\r\n"),
        (413, b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999\r\n\r\n"),
        (
            413,
            b"POST /answer HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"10001\r\n" + b"z" * 65537 + b"\r\n0\r\n\r\n",
        ),
    ],
)
def test_malformed_request_gets_an_error_and_closes_the_connection(status: int, sent: bytes) -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.writer.write(sent)
            response = await client.read_response()
            assert (response.status, response.headers["connection"]) == (status, "close")
            assert await client.wait_closed()
            other_client = await proxy.client()
            assert (await other_client.exchange("/health/ready", "GET")).status == 200

    run(test())


def test_chunked_body_of_64_kib_is_accepted() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.writer.write(
                b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: c\r\nx-budget-ms: 20000\r\n"
                b"transfer-encoding: chunked\r\n\r\n10000\r\n" + b"z" * 65536 + b"\r\n0\r\n\r\n"
            )
            received = await proxy.backends[0].requests.get()
            assert received.body == b"z" * 65536 and "transfer-encoding" not in received.headers
            received.respond(b"r" * 65536)
            assert (await client.read_response()).body == b"r" * 65536

    run(test())


def test_request_with_the_id_of_an_open_request_is_rejected() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            first, second = await proxy.client(), await proxy.client()
            first.send()
            received = await proxy.backends[0].requests.get()
            assert (await second.exchange()).status == 400
            received.respond(b"first")
            assert (await first.read_response()).body == b"first"

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            for number in range(20):
                client.send(x_call_id=f"c{number}")
            for number in range(20):
                received = await proxy.backends[0].requests.get()
                assert received.headers["x-call-id"] == f"c{number}"
                received.respond(b"%d" % number)
                assert (await client.read_response()).body == b"%d" % number

    run(test())


def test_pipelined_requests_are_answered_before_a_shutdown_closes_the_connection() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send(x_call_id="c0")
            client.send(x_call_id="c1")
            received = await proxy.backends[0].requests.get()
            proxy.listener.begin_shutdown()
            received.respond(b"0")
            assert (await client.read_response()).body == b"0"
            (await proxy.backends[0].requests.get()).respond(b"1")
            response = await client.read_response()
            assert (response.body, response.headers["connection"]) == (b"1", "close")
            assert await client.wait_closed()

    run(test())


def test_budget_of_a_pipelined_request_runs_while_it_waits() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send(x_call_id="c0")
            client.send(x_call_id="c1", x_budget_ms="200")
            received = await proxy.backends[0].requests.get()
            await asyncio.sleep(0.25)  # longer than the budget of the second request
            received.respond()
            assert (await client.read_response()).status == 200
            assert (await client.read_response()).status == 504
            assert proxy.backends[0].requests.empty()

    run(test())


def test_client_disconnect_cancels_the_attempt_at_the_backend() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            received = await proxy.backends[0].requests.get()
            client.close()
            await received.closed.wait()
            await wait_until(lambda: not proxy.engine.requests.open)

    run(test())


def test_truncated_response_is_not_forwarded_to_the_client() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            received = await proxy.backends[0].requests.get()
            received.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf of it")
            received.writer.close()
            response = await client.read_response()
            assert (response.status, response.body) == (504, b"")

    run(test())


def test_response_over_64_kib_is_not_forwarded_to_the_client() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            (await proxy.backends[0].requests.get()).respond(b"x" * 65537)
            assert (await client.read_response()).status == 504

    run(test())


def test_client_gets_its_response_while_it_is_still_sending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(slots_module, "LINGER_TIMEOUT_S", 30.0)

    def send_request(address: str) -> bytes:
        host, port = address.split(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 8000000\r\n\r\n")
            sock.sendall(b"x" * 800_000)
            return sock.recv(1000)

    async def test() -> None:
        async with run_proxy() as proxy:
            assert (await asyncio.to_thread(send_request, proxy.listener.address)).startswith(
                b"HTTP/1.1 413 "
            )

    run(test())


def test_longest_idle_connection_is_evicted_at_the_limit() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            proxy.listener.slots.limit = 2
            busy, idle = await proxy.client(), await proxy.client()
            busy.send()
            received = await proxy.backends[0].requests.get()
            assert (await idle.exchange("/health/ready", "GET")).status == 200
            third = await proxy.client()
            assert (await third.exchange("/health/ready", "GET")).status == 200
            assert await idle.wait_closed()
            received.respond()
            assert (await busy.read_response()).status == 200

    run(test())


def test_idle_connection_is_evicted_when_descriptors_run_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(slots_module, "IDLE_TIMEOUT_S", 10_000.0)  # only an eviction closes the connection

    async def test() -> None:
        async with run_proxy() as proxy:
            idle = await proxy.client()
            assert (await idle.exchange("/health/ready", "GET")).status == 200
            assert proxy.listener.sock is not None
            sock: socket.socket = proxy.listener.sock

            class SocketWithoutDescriptors:
                def accept(self) -> tuple[socket.socket, object]:
                    if proxy.listener.slots.used:
                        raise OSError(errno.EMFILE, "Too many open files")
                    return sock.accept()

                def __getattr__(self, name: str) -> object:
                    return getattr(sock, name)

            monkeypatch.setattr(proxy.listener, "sock", SocketWithoutDescriptors())
            new_client = await proxy.client()
            new_client.send("/health/ready", "GET")
            assert await idle.wait_closed()
            assert (await new_client.read_response()).status == 200

    run(test())


def test_clients_with_unread_responses_never_hold_more_slots_than_the_limit() -> None:
    # Failure: an evicted connection with unsent bytes kept its descriptor, so descriptors ran out.
    async def test() -> None:
        async with run_proxy() as proxy:
            proxy.listener.slots.limit = 3
            clients = [await proxy.client() for _ in range(3)]
            for client in clients:
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                client.send("/health/ready", "GET")
            await wait_until(lambda: len(proxy.listener.slots.idle) >= 3)
            for connection in proxy.listener.slots.connections:
                while not connection.transport.get_write_buffer_size():
                    connection.transport.write(b"x" * 60_000)
            new_client = await proxy.client()
            new_client.send("/health/ready", "GET")
            while proxy.listener.is_accepting:
                assert proxy.listener.slots.used == 3
                await asyncio.sleep(0.001)
            # From now on, unread responses no longer prevent an eviction.
            proxy.engine.requests.max_deadline_ms = -1000.0
            assert (await new_client.read_response()).status == 200
            assert proxy.listener.slots.used <= 3

    run(test())


def test_new_client_waits_while_all_slots_are_active() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            proxy.listener.slots.limit = 1
            busy = await proxy.client()
            busy.send()
            received = await proxy.backends[0].requests.get()
            waiting = await proxy.client()
            waiting.send("/health/ready", "GET")
            await wait_until(lambda: not proxy.listener.is_accepting)
            received.respond()
            assert (await busy.read_response()).status == 200
            assert (await waiting.read_response()).status == 200

    run(test())


def test_incomplete_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    # The timeout also holds on a kept-alive connection. A connection without any request gets no response.
    monkeypatch.setattr(slots_module, "REQUEST_TIMEOUT_S", 0.02)

    async def test() -> None:
        async with run_proxy() as proxy:
            silent, incomplete, kept = await proxy.client(), await proxy.client(), await proxy.client()
            incomplete.writer.write(b"POST /answer HTTP/1.1\r\nhost")
            assert (await kept.exchange("/health/ready", "GET")).status == 200
            kept.writer.write(b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf")
            for client in (incomplete, kept):
                response = await client.read_response()
                assert (response.status, response.headers["connection"]) == (408, "close")
                assert await client.wait_closed()
            assert await silent.wait_closed()
            assert proxy.backends[0].connection_count == 0

    run(test())


def test_single_bytes_do_not_extend_the_request_timeout() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            for byte in (b"G", b"E", b"T"):
                client.writer.write(byte)
                await wait_until(lambda: proxy.listener.slots.awaiting_request)
                entered_at = next(iter(proxy.listener.slots.awaiting_request.values()))
                await asyncio.sleep(0.01)
                assert next(iter(proxy.listener.slots.awaiting_request.values())) == entered_at

    run(test())


def test_connection_without_a_request_is_evicted_before_an_idle_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(slots_module, "EVICTION_GRACE_MS", 0.0)

    async def test() -> None:
        async with run_proxy() as proxy:
            proxy.listener.slots.limit = 2
            idle, without_request = await proxy.client(), await proxy.client()
            assert (await idle.exchange("/health/ready", "GET")).status == 200
            await wait_until(lambda: len(proxy.listener.slots.awaiting_request) == 1)
            third = await proxy.client()
            assert (await third.exchange("/health/ready", "GET")).status == 200
            assert await without_request.wait_closed()
            assert (await idle.exchange("/health/ready", "GET")).status == 200

    run(test())


def test_idle_timeout_is_shorter_while_slots_are_scarce(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slots_module, "CROWDED_IDLE_TIMEOUT_S", 0.02)

    async def test() -> None:
        async with run_proxy() as proxy:
            proxy.listener.slots.limit = 3
            first, second = await proxy.client(), await proxy.client()
            for client in (first, second):
                assert (await client.exchange("/health/ready", "GET")).status == 200
            assert await first.wait_closed()

    run(test())


def test_request_with_the_id_of_a_recent_request_is_rejected() -> None:
    # If two clients use one id, a backend could deduplicate the request of the second.
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            (await proxy.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200
            assert (await client.exchange()).status == 400
            assert proxy.backends[0].requests.empty()

    run(test())


async def serve(proxy: Proxy, client: Client, request_id: str) -> None:
    client.send(x_call_id=request_id)
    (await proxy.backends[0].requests.get()).respond()
    assert (await client.read_response()).status == 200


def test_ids_are_kept_and_requests_rejected_when_no_further_id_can_be_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: the oldest id was forgotten for a new one, so that its request could be executed again."""
    monkeypatch.setattr(request_registry_module, "MAX_EXECUTED_IDS", 3)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            for number in range(3):
                await serve(proxy, client, f"c{number}")
            await wait_until(lambda: len(proxy.engine.requests.executed_ids) == 3)
            for number in range(3, 9):
                rejected = await client.exchange(x_call_id=f"c{number}")
                assert rejected.status == 503 and "retry-after" in rejected.headers
            assert len(proxy.engine.requests.executed_ids) == 3
            for number in range(3):
                assert (await client.exchange(x_call_id=f"c{number}")).status == 400
            assert proxy.backends[0].requests.empty()

    run(test())


def test_id_of_a_request_whose_client_left_is_not_forgotten_for_ids_that_were_never_executed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: after some thousand other ids the same id was executed twice."""
    monkeypatch.setattr(request_registry_module, "MAX_EXECUTED_IDS", 3)

    async def test() -> None:
        async with run_proxy() as proxy:
            first, second = await proxy.client(), await proxy.client()
            first.send(x_call_id="c1")
            await proxy.backends[0].requests.get()
            first.close()
            await wait_until(lambda: not proxy.engine.requests.open)
            proxy.engine.on_list_update(EndpointListUpdate(revision=2, is_snapshot=True, endpoints=()))
            for number in range(9):
                without_backend = await second.exchange(x_call_id=f"other{number}", x_budget_ms="20")
                assert without_backend.status == 504
            assert (await second.exchange(x_call_id="c1")).status == 400

    run(test())


def test_executed_id_is_kept_for_the_retention_time_after_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    time = [1000.0]
    monkeypatch.setattr(request_registry_module, "now_ms", lambda: time[0])
    ids = ExecutedIds(max_deadline_ms=8000.0)
    for number in range(16):
        ids.add(f"c{number}")
        time[0] += 1000.0
        ids.expire()
    assert [f"c{number}" in ids for number in range(16)] == [False] * 7 + [True] * 9
    time[0] += 20_000.0
    ids.expire()
    assert len(ids) == 0


def test_connection_is_closed_after_consecutive_errors() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            for _ in range(500):
                client.send("/unknown")
            statuses = [
                (await client.read_response()).status for _ in range(connection_module.MAX_CONSECUTIVE_ERRORS)
            ]
            assert set(statuses) == {404}
            assert await client.wait_closed()

    run(test())


def test_trailers_are_dropped() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.writer.write(
                b"POST /answer HTTP/1.1\r\nhost: a\r\nx-call-id: c\r\nx-budget-ms: 20000\r\n"
                b"transfer-encoding: chunked\r\n\r\n0\r\nx-call-id: other\r\nx-again: 1\r\n\r\n"
            )
            received = await proxy.backends[0].requests.get()
            assert received.headers["x-call-id"] == "c" and "x-again" not in received.headers
            received.respond()
            assert (await client.read_response()).status == 200

    run(test())


def test_bytes_discarded_while_lingering_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    # Failure: 60 MB sent at full speed delayed the other clients.
    monkeypatch.setattr(slots_module, "LINGER_TIMEOUT_S", 1000.0)
    monkeypatch.setattr(connection_module, "MAX_LINGER_BYTES", 100_000)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.writer.write(b"POST /answer HTTP/1.1\r\nhost: a\r\ncontent-length: 60000000\r\n\r\n")
            assert (await client.read_response()).status == 413
            client.writer.write(b"x" * 60_000_000)
            await wait_until(lambda: not proxy.listener.slots.connections)

    run(test())


def test_shutdown_serves_open_requests_and_closes_idle_connections() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            busy, idle = await proxy.client(), await proxy.client()
            busy.send()
            assert (await idle.exchange("/health/ready", "GET")).status == 200
            received = await proxy.backends[0].requests.get()
            proxy.listener.begin_shutdown()
            new_client = await Client.open(proxy.listener.address)
            response = await new_client.exchange("/health/ready", "GET")
            assert (response.status, response.headers["connection"]) == (503, "close")
            new_client.close()
            shutdown = asyncio.create_task(proxy.listener.finish_shutdown(30.0))
            assert await idle.wait_closed()
            assert not shutdown.done()
            received.respond(b"last")
            response = await busy.read_response()
            assert (response.status, response.body, response.headers["connection"]) == (200, b"last", "close")
            assert await busy.wait_closed()
            busy.close()
            await shutdown
            with pytest.raises(ConnectionRefusedError):
                await proxy.client()

    run(test())


def test_shutdown_waits_for_a_connection_accepted_after_all_others_closed() -> None:
    """Failure: the shutdown ended as soon as no connection was open, while new ones were still accepted."""

    async def test() -> None:
        async with run_proxy() as proxy:
            first = await proxy.client()
            proxy.listener.begin_shutdown()
            await first.exchange("/health/ready", "GET")
            first.close()
            await wait_until(lambda: not proxy.listener.slots.used)
            last = await proxy.client()
            last.send()
            received = await proxy.backends[0].requests.get()
            shutdown = asyncio.create_task(proxy.listener.finish_shutdown(30.0))
            await asyncio.sleep(0)
            assert not shutdown.done()
            received.respond(b"last")
            assert (await last.read_response()).body == b"last"
            last.close()
            await shutdown

    run(test())


def connect_to_backlog(proxy: Proxy, number: int) -> socket.socket:
    """Open a connection that waits in the accept backlog, and send a request on it."""
    host, port = proxy.listener.address.split(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(encode_request(x_call_id=f"k{number}"))
    sock.setblocking(False)
    return sock


@pytest.mark.parametrize("slot_limit", [1000, 3])
def test_accept_backlog_is_served_before_the_socket_closes(slot_limit: int) -> None:
    """Failure: closing the listening socket reset the connections in the backlog."""

    async def test() -> None:
        async with run_proxy() as proxy:
            proxy.listener.slots.limit = slot_limit
            loop = asyncio.get_running_loop()
            proxy.listener.begin_shutdown()
            sockets = [connect_to_backlog(proxy, number) for number in range(40)]
            shutdown = asyncio.create_task(proxy.listener.finish_shutdown(30.0))
            for _ in sockets:
                (await proxy.backends[0].requests.get()).respond(b"served")
            for sock in sockets:
                assert (await loop.sock_recv(sock, 1000)).startswith(b"HTTP/1.1 200 ")
                sock.close()
            await shutdown
            with pytest.raises(ConnectionRefusedError):
                await proxy.client()

    run(test())


def test_open_requests_get_an_error_when_the_shutdown_times_out() -> None:
    # The backend does not respond and the deadlines are later than the timeout; one request is pipelined.
    async def test() -> None:
        async with run_proxy() as proxy:
            client, incomplete = await proxy.client(), await proxy.client()
            client.send(x_call_id="c1")
            client.send(x_call_id="c2")
            received = await proxy.backends[0].requests.get()
            incomplete.writer.write(encode_request(x_call_id="c3")[:-10])
            await wait_until(
                lambda: any(
                    connection.reader.is_mid_request for connection in proxy.listener.slots.connections
                )
            )
            proxy.listener.begin_shutdown()
            shutdown = asyncio.create_task(proxy.listener.finish_shutdown(0.0))
            first, second = await client.read_response(), await client.read_response()
            assert [first.status, second.status] == [504, 504]
            assert "connection" not in first.headers and second.headers["connection"] == "close"
            client.close()
            incomplete.close()
            await shutdown
            await received.closed.wait()

    run(test())


@pytest.mark.parametrize("is_new", [True, False])
def test_new_connection_has_a_grace_period_for_its_request_during_shutdown(
    is_new: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(slots_module, "EVICTION_GRACE_MS", 100_000.0 if is_new else -1.0)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            await wait_until(lambda: proxy.listener.slots.awaiting_request)
            proxy.listener.begin_shutdown()
            shutdown = asyncio.create_task(proxy.listener.finish_shutdown(30.0))
            await wait_until(lambda: proxy.listener.sock is None)
            if is_new:
                client.send()
                (await proxy.backends[0].requests.get()).respond()
                assert (await client.read_response()).status == 200
            assert await client.wait_closed()
            client.close()
            await shutdown

    run(test())


def test_unread_pipelined_request_is_served_during_shutdown() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send(x_call_id="c1")
            received = await proxy.backends[0].requests.get()
            proxy.listener.begin_shutdown()
            (connection,) = proxy.listener.slots.connections
            await send_unread(client, connection, x_call_id="c2")
            received.respond(b"first")
            response = await client.read_response()
            assert response.body == b"first" and "connection" not in response.headers
            (await proxy.backends[0].requests.get()).respond(b"second")
            response = await client.read_response()
            assert (response.body, response.headers["connection"]) == (b"second", "close")
            client.close()

    run(test())


@pytest.mark.parametrize("path", ["/se%C3%B1al/7", "/se%c3%b1al?x=%20"])
def test_names_of_classes_and_tenants_may_contain_non_ascii_characters(path: str) -> None:
    classes = [{"Name": "se\u00f1al", "AimMs": 20000, "HardLimitMs": 30000, "Effect": "read_like"}]
    tenants = [{"Name": name, "QuotaPerS": 100.0} for name in ("tugs", "R\u00eda & Co")]

    async def test() -> None:
        async with run_proxy(settings={"Lanes": classes, "Projects": tenants}) as proxy:
            client = await proxy.client()
            client.send(path, "GET", x_caller="R\u00eda & Co")
            received = await proxy.backends[0].requests.get()
            assert (
                received.request_line == f"GET {path} HTTP/1.1"
                and received.headers["x-caller"] == "R\u00eda & Co"
            )
            received.respond()
            assert (await client.read_response()).status == 200
            assert (await client.exchange(path, "GET", x_call_id="c2", x_caller="R\u00edo")).status == 400

    run(test())


@pytest.mark.parametrize("occasion", ["timeout", "shutdown"])
def test_new_connection_with_an_unread_request_is_not_closed(occasion: str) -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            await wait_until(lambda: proxy.listener.slots.awaiting_request)
            (connection,) = proxy.listener.slots.connections
            await send_unread(client, connection)
            proxy.listener.slots.awaiting_request[connection] -= 10_000.0
            if occasion == "timeout":
                connection.time_out_request()
            else:
                proxy.listener.close_between_requests()
            connection.transport.resume_reading()
            (await proxy.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200
            client.close()

    run(test())


def test_idle_connection_with_an_unread_request_is_not_evicted() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            assert (await client.exchange("/health/ready", "GET")).status == 200
            (connection,) = proxy.listener.slots.connections
            proxy.listener.slots.idle[connection] -= 100_000.0
            assert (
                proxy.listener.slots.eviction_candidate(proxy.engine.requests.max_deadline_ms) is connection
            )
            await send_unread(client, connection)
            assert proxy.listener.slots.eviction_candidate(proxy.engine.requests.max_deadline_ms) is None
            connection.transport.resume_reading()
            (await proxy.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200
            client.close()

    run(test())


def test_request_with_the_id_of_an_open_request_is_rejected_even_if_the_id_is_not_recent() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            first, second = await proxy.client(), await proxy.client()
            first.send(x_call_id="c1")
            received = await proxy.backends[0].requests.get()
            for number in range(3):
                second.send(x_call_id=f"other{number}")
                (await proxy.backends[0].requests.get()).respond()
                assert (await second.read_response()).status == 200
            assert "c1" not in proxy.engine.requests.executed_ids
            assert (await second.exchange(x_call_id="c1")).status == 400
            received.respond(b"its own")
            assert (await first.read_response()).body == b"its own"

    run(test())


def test_requests_read_together_are_answered_in_several_loop_iterations() -> None:
    """Failure: 900 readiness checks at once from 60 clients held up all other responses for seconds."""

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            await wait_until(lambda: proxy.listener.slots.connections)
            (connection,) = proxy.listener.slots.connections
            responses: list[ClientResponse] = []
            respond = connection._send_response

            def count(response: ClientResponse) -> None:
                responses.append(response)
                respond(response)

            connection._send_response = count  # type: ignore[method-assign]
            connection.data_received(b"GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n" * 200)
            assert 0 < len(responses) < 20
            assert not connection.may_close() and not proxy.listener.slots.idle
            for _ in range(200):
                assert (await client.read_response()).status == 200
            await wait_until(lambda: proxy.listener.slots.idle)

    run(test())
