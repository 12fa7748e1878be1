"""A whole proxy whose budgets of memory are used up."""

from __future__ import annotations

import asyncio
import gc
import weakref
from math import inf

import pytest

from dunecove.limits import FREE_BYTES
from dunecove.proxy import connection_slots, unread_input
from dunecove.proxy import listener as listener_module
from dunecove.proxy.http_limits import MAX_HEADERS
from tests.loopback import (
    Client,
    Proxy,
    connect_slow_reader,
    encode_request,
    run,
    run_proxy,
    use_up,
    wait_until,
)

LONG_BODY = b"x" * 60_000


async def serve_one(proxy: Proxy, body: bytes = b"done") -> None:
    (await proxy.backends[0].requests.get()).respond(body)


def count_of(proxy: Proxy, name: str) -> int:
    return proxy.engine.telemetry.counts[name]


@pytest.mark.parametrize("chunked", [False, True])
def test_long_request_without_memory_is_rejected_and_the_next_short_one_served(chunked: bool) -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            holder = use_up(proxy.engine.budgets.requests)
            client = await proxy.client()
            if chunked:
                body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(LONG_BODY), LONG_BODY)
                client.send(body=body, content_length=None, transfer_encoding="chunked")
            else:
                client.send(body=LONG_BODY)
            response = await client.read_response()
            assert response.status == 503 and float(response.headers["retry-after"]) > 0
            assert proxy.backends[0].requests.empty() and count_of(proxy, "shed.memory") == 1
            client.send(x_call_id="c2", body=b"short")
            await serve_one(proxy)
            assert (await client.read_response()).status == 200
            holder.release()
            client.send(x_call_id="c3", body=LONG_BODY)
            received = await proxy.backends[0].requests.get()
            assert received.body == LONG_BODY
            received.respond()
            assert (await client.read_response()).status == 200

    run(test())


def test_head_without_memory_gets_an_error_and_a_close() -> None:
    """The end of a request is unknown before its head is complete."""

    async def test() -> None:
        async with run_proxy() as proxy:
            holder = use_up(proxy.engine.budgets.requests)
            client = await proxy.client()
            client.writer.write(b"POST /answer HTTP/1.1\r\n" + b"a: b\r\n" * 90 + b"c: " + b"d" * 8000)
            assert (await client.read_response()).status == 503
            assert await client.wait_closed()
            client.close()
            holder.release()

    run(test())


def test_pipelined_request_waits_for_memory_behind_an_unanswered_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: each connection held the current request, two pending ones and 256 KiB of input."""
    # The requests behind the first one stay in the kernel, where they would hide a close of the client.
    monkeypatch.setattr(unread_input, "MAX_HIDDEN_MS", inf)

    async def test() -> None:
        async with run_proxy() as proxy:
            budget = proxy.engine.budgets.requests
            holder = use_up(budget, left_bytes=70_000)
            client = await proxy.client()
            for number in range(5):
                client.send(x_call_id=f"c{number}", body=LONG_BODY)
            for number in range(5):
                received = await proxy.backends[0].requests.get()
                assert received.headers["x-call-id"] == f"c{number}" and received.body == LONG_BODY
                await asyncio.sleep(0.02)
                assert budget.used_bytes <= 200_000 + 2 * FREE_BYTES
                received.respond()
                assert (await client.read_response()).status == 200
            assert count_of(proxy, "shed.memory") == 0
            holder.release()

    run(test())


def test_responses_without_memory_wait_in_the_kernel_and_are_delivered() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            budget = proxy.engine.budgets.responses
            holder = use_up(budget, left_bytes=70_000)
            clients = [await proxy.client() for _ in range(2)]
            received = []
            for number, client in enumerate(clients):
                client.send("/lookup", "GET", x_call_id=f"c{number}")
                received.append(await proxy.backends[0].requests.get())
            for request in received:
                request.writer.write(b"HTTP/1.1 200 X\r\ncontent-length: 65000\r\n\r\n" + b"r" * 64_000)
            await wait_until(budget.has_waiting)
            assert budget.used_bytes <= 200_000
            for request in received:
                request.writer.write(b"r" * 1000)
            for client in clients:
                assert (await client.read_response()).body == b"r" * 65_000
            holder.release()

    run(test())


def test_response_that_waits_for_memory_ends_with_its_client() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            budget = proxy.engine.budgets.responses
            holder = use_up(budget)
            client = await proxy.client()
            client.send("/lookup", "GET")
            (await proxy.backends[0].requests.get()).respond(LONG_BODY)
            await wait_until(budget.has_waiting)
            client.close()
            await wait_until(lambda: not budget.has_waiting())
            holder.release()

    run(test())


def test_client_that_does_not_read_is_aborted_while_others_wait_for_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener_module, "UNREAD_TIMEOUT_S", 0.0)

    async def test() -> None:
        async with run_proxy() as proxy:
            budget = proxy.engine.budgets.responses
            slow = await connect_slow_reader(proxy, shutting_down=False)
            (connection,) = proxy.listener.slots.connections
            assert budget.used_bytes > 0
            budget.limit_bytes = budget.used_bytes
            client = await proxy.client()
            client.send("/lookup", "GET", x_call_id="c2")
            await serve_one(proxy, LONG_BODY)
            assert (await client.read_response()).body == LONG_BODY
            await wait_until(lambda: connection not in proxy.listener.slots.connections)
            slow.close()

    run(test())


def test_request_with_too_many_headers_gets_an_error_and_a_close() -> None:
    """Failure: the objects of 3,000 short lines took 27 times the size of their text."""

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            headers = "".join(f"a{number}: b\r\n" for number in range(MAX_HEADERS - 4))
            encoded = encode_request().replace(b"\r\n\r\n", f"\r\n{headers}\r\n".encode())
            client.writer.write(encoded)
            await serve_one(proxy)
            assert (await client.read_response()).status == 200
            client.writer.write(encoded.replace(b"\r\n\r\n", b"\r\na: b\r\n\r\n"))
            assert (await client.read_response()).status == 431
            assert await client.wait_closed()
            client.close()

    run(test())


def test_response_with_too_many_headers_is_malformed() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            headers = {f"a{number}": "b" for number in range(MAX_HEADERS)}
            (await proxy.backends[0].requests.get()).respond(headers=headers)
            assert (await client.read_response()).status == 504

    run(test())


def test_finished_request_is_freed_without_the_garbage_collector() -> None:
    """Failure: attempts and their request referred to each other, so that their bodies stayed in memory."""

    async def exchange(proxy: Proxy, client: Client) -> list[weakref.ref[object]]:
        client.send(body=LONG_BODY)
        received = await proxy.backends[0].requests.get()
        request = proxy.engine.requests.open["c1"]
        references: list[weakref.ref[object]] = [weakref.ref(request), weakref.ref(request.attempts[0])]
        received.respond()
        assert (await client.read_response()).status == 200
        return references

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            gc.disable()
            try:
                references = await exchange(proxy, client)
                await wait_until(lambda: all(reference() is None for reference in references))
            finally:
                gc.enable()

    run(test())


UNREADABLE = {
    "too many headers": (431, b"POST /answer HTTP/1.1\r\n" + b"a: b\r\n" * 2900 + b"\r\n"),
    "no request": (400, b"?" * 200_000),
    "upgrade": (400, encode_request(body=LONG_BODY, upgrade="h2c", connection="upgrade")),
    "body too long": (413, encode_request(content_length="70000") + LONG_BODY),
    "incomplete head": (408, encode_request()[:60]),
    "incomplete body": (408, encode_request(body=LONG_BODY)[:-1000]),
    "unknown class": (404, encode_request("/unknown", body=LONG_BODY, connection="close")),
}


@pytest.mark.parametrize("unreadable", UNREADABLE)
def test_connection_of_a_rejected_request_is_freed_without_the_garbage_collector(
    unreadable: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: the error for an unreadable request referred to its own traceback, and thus to all bytes read.

    300 clients that sent heads of many short lines took a proxy of 32 MB over its limit within two seconds.
    """
    monkeypatch.setattr(connection_slots, "REQUEST_TIMEOUT_S", 0.1)
    status, sent = UNREADABLE[unreadable]

    async def reject(proxy: Proxy) -> weakref.ref[object]:
        client = await proxy.client()
        await wait_until(lambda: proxy.listener.slots.connections)
        (connection,) = proxy.listener.slots.connections
        client.writer.write(sent)
        assert (await client.read_response()).status == status
        client.close()
        return weakref.ref(connection)

    async def test() -> None:
        async with run_proxy() as proxy:
            gc.disable()
            try:
                reference = await reject(proxy)
                await wait_until(lambda: reference() is None)
            finally:
                gc.enable()

    run(test())
