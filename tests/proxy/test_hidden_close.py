"""Clients that may have closed their connection behind so much input that the close can't arrive."""

from __future__ import annotations

import asyncio
import socket

import pytest

from dunecove.proxy import unread_input
from dunecove.proxy.unread_input import MAX_HIDDEN_MS, MAX_VISIBLE_UNREAD_BYTES
from tests.loopback import Client, Proxy, encode_request, run, run_proxy, use_up, wait_until

LONG_BODY = b"x" * 60_000
LIMIT_S = 0.1  # within which an attempt may begin after its client has disconnected


def encode_batch(count: int, body: bytes = LONG_BODY) -> bytes:
    return b"".join(encode_request(x_call_id=f"c{number}", body=body) for number in range(count))


async def send_batch(proxy: Proxy, batch: bytes) -> Client:
    """Return a client that has sent more than the kernel takes, of which the first request is forwarded."""
    client = await proxy.client()
    client.writer.write(batch)
    await wait_until(lambda: proxy.listener.disconnect_watcher.paused)
    return client


def test_close_behind_much_unread_input_is_noticed_before_the_first_response() -> None:
    """Failure: an attempt began 0.2 s after a client that had sent 40 long requests at once had closed."""

    async def test() -> None:
        async with run_proxy() as proxy:
            host, port = proxy.listener.address.split(":")
            sock = socket.create_connection((host, int(port)))
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_sendall(sock, encode_batch(40))
            await proxy.backends[0].requests.get()
            sock.close()
            async with asyncio.timeout(10 * LIMIT_S):
                await wait_until(lambda: not proxy.listener.slots.connections)
            assert proxy.backends[0].requests.empty()

    run(test())


def test_request_behind_a_close_that_may_be_hidden_is_rejected_without_an_attempt() -> None:
    """Without memory to read ahead the proxy can't know whether the client is still there."""

    async def test() -> None:
        async with run_proxy() as proxy:
            holder = use_up(proxy.engine.budgets.requests, left_bytes=90_000)
            client = await send_batch(proxy, encode_batch(20))
            first = await proxy.backends[0].requests.get()
            await asyncio.sleep(2 * MAX_HIDDEN_MS / 1000)
            first.respond()
            assert (await client.read_response()).status == 200
            rejected = await client.read_response()
            assert rejected.status == 503 and "retry-after" in rejected.headers
            assert proxy.backends[0].requests.empty()
            client.close()
            holder.release()

    run(test())


def test_no_retry_begins_behind_a_close_that_may_be_hidden() -> None:
    async def test() -> None:
        async with run_proxy(backends=2) as proxy:
            holder = use_up(proxy.engine.budgets.requests, left_bytes=90_000)
            client = await send_batch(proxy, encode_batch(20))
            received = [asyncio.create_task(backend.requests.get()) for backend in proxy.backends]
            done, _ = await asyncio.wait(received, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(2 * MAX_HIDDEN_MS / 1000)
            done.pop().result().respond(status=503, headers={"x-rejected": "1"})
            assert (await client.read_response()).status == 503
            assert all(backend.requests.empty() for backend in proxy.backends)
            assert proxy.engine.telemetry.counts["denied.client_unknown"] == 1
            assert not proxy.engine.telemetry.violation_count()
            for task in received:
                task.cancel()
            client.close()
            holder.release()

    run(test())


@pytest.mark.parametrize("is_unread_known", [True, False])
def test_little_unread_input_hides_no_close_if_its_length_is_known(
    is_unread_known: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not is_unread_known:
        monkeypatch.setattr(unread_input, "unread_bytes", lambda _: None)

    async def test() -> None:
        async with run_proxy() as proxy:
            holder = use_up(proxy.engine.budgets.requests, left_bytes=90_000)
            body = b"x" * (MAX_VISIBLE_UNREAD_BYTES // 4)
            client = await send_batch(proxy, encode_batch(3, body))
            first = await proxy.backends[0].requests.get()
            await asyncio.sleep(2 * MAX_HIDDEN_MS / 1000)
            first.respond()
            assert (await client.read_response()).status == 200
            if is_unread_known:
                (await proxy.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == (200 if is_unread_known else 503)
            client.close()
            holder.release()

    run(test())
