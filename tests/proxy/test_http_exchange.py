"""The results of exchanges with backends: complete, malformed and truncated responses."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from dunecove.policy.models import AttemptResult
from tests.loopback import reset_connection, run, wait_until
from tests.proxy.pool_harness import PoolHarness, make_endpoint, pool_harness


@pytest.mark.parametrize(
    ("status", "headers", "result"),
    [
        (200, {}, AttemptResult.OK),
        (500, {}, AttemptResult.ERROR),
        (503, {}, AttemptResult.ERROR),
        (503, {"x-rejected": "1"}, AttemptResult.REJECTED),
        (504, {"x-rejected": "1"}, AttemptResult.REJECTED),
        (500, {"x-rejected": "1"}, AttemptResult.ERROR),
        (404, {}, AttemptResult.BAD_REQUEST),
    ],
)
def test_response_determines_the_result_and_the_connection_is_reused(
    status: int, headers: dict[str, str], result: AttemptResult
) -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            (await backend.requests.get()).respond(status=status, headers=headers)
            assert await harness.result() is result
            assert await harness.serve_attempt(backend) == 1

    run(test())


@asynccontextmanager
async def partly_written_request(harness: PoolHarness) -> AsyncIterator[socket.socket]:
    """Yield the socket of a backend that has read 10 bytes of a request larger than the kernel's buffers."""
    loop = asyncio.get_running_loop()
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        listener.setblocking(False)
        harness.update(make_endpoint("s", "{}:{}".format(*listener.getsockname())))
        harness.start(body=b"x" * 32_000_000)
        accepted, _ = await loop.sock_accept(listener)
        with accepted:
            await loop.sock_recv(accepted, 10)
            yield accepted


def test_close_before_the_last_byte_of_the_request_fails_as_not_executed() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, _), partly_written_request(harness) as backend:
            backend.close()
            assert await harness.result() is AttemptResult.CONNECT_FAILED

    run(test())


def test_connection_with_an_early_response_is_not_reused() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, _), partly_written_request(harness) as backend:
            response = b"HTTP/1.1 503 X\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n"
            await asyncio.get_running_loop().sock_sendall(backend, response)
            assert await harness.result() is AttemptResult.REJECTED
            assert not harness.pool.connections_by_backend["s"].idle

    run(test())


@pytest.mark.parametrize(
    "sent", [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", b"nonsense\r\n\r\n"]
)
def test_close_after_the_last_byte_of_the_request_may_have_executed(sent: bytes) -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            request = await backend.requests.get()
            request.writer.write(sent)
            request.writer.close()
            assert await harness.result() is AttemptResult.RESET

    run(test())


def test_interim_responses_are_skipped() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            request = await backend.requests.get()
            request.writer.write(b"HTTP/1.1 103 Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")
            request.respond(b"the real one")
            result, response = await harness.results.get()
            assert result is AttemptResult.OK and response is not None and response.body == b"the real one"
            assert await harness.serve_attempt(backend) == 1

    run(test())


OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "sent",
    [
        OK + b"content-length: 3000000000\r\n\r\nkeeps coming",
        OK + b"content-length: 65537\r\n\r\n",
        OK + b"content-length: -1\r\ncontent-length: 4\r\n\r\nbody",
        OK + b"content-length: 2\r\ncontent-length: 4\r\n\r\nbody",
        OK + b"content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        OK + b"transfer-encoding: gzip\r\n\r\nbody",
        OK + b"transfer-encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
        OK + b"\r\n" + b"endless" * 10000,
        OK + b"x-pad: p\r\n" * 2000,
        OK + b"no colon here\r\ncontent-length: 4\r\n\r\nbody",
        b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\n" * 9,
        b"HTTP/1.1 2x0 OK\r\ncontent-length: 4\r\n\r\nbody",
        b"ICY 200 OK\r\n",
        b"\xa1\xfdQ\x8e~~",
        b"\r\n" * 10000,
    ],
)
def test_malformed_response_fails_at_once_and_may_have_executed(sent: bytes) -> None:
    # The backend leaves the connection open: waiting for the deadline would leave no time for a retry.
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            request = await backend.requests.get()
            request.writer.write(sent)
            assert await harness.result() is AttemptResult.RESET
            await request.closed.wait()

    run(test())


@pytest.mark.parametrize("head", [OK, OK + b"connection: close\r\n", b"HTTP/1.0 200 OK\r\n"])
@pytest.mark.parametrize("ending", ["end", "reset", "timeout"])
def test_response_without_length_is_complete_only_at_the_end_of_the_stream(head: bytes, ending: str) -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start(timeout_ms=100.0 if ending == "timeout" else 30000.0)
            request = await backend.requests.get()
            request.writer.write(head + b"\r\nto the ")
            request.writer.write(b"end")
            if ending == "reset":
                reset_connection(request.writer)
            elif ending == "end":
                request.writer.close()
            result, response = await harness.results.get()
            if ending == "reset":
                assert result is AttemptResult.RESET
            elif ending == "timeout":
                assert result is AttemptResult.TIMEOUT
            else:
                assert result is AttemptResult.OK and response is not None and response.body == b"to the end"
            assert await harness.serve_attempt(backend) == 2  # on a new connection

    run(test())


@pytest.mark.parametrize(
    "unsolicited", [b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate", b"x", b"HTTP/1.1 2"]
)
def test_unsolicited_bytes_close_an_idle_connection(unsolicited: bytes) -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            request = await backend.requests.get()
            request.respond()
            assert await harness.result() is AttemptResult.OK
            request.writer.write(unsolicited)
            await wait_until(lambda: not harness.pool.connections)
            assert await harness.serve_attempt(backend) == 2

    run(test())


def test_second_response_to_one_request_prevents_reuse_of_the_connection() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            request = await backend.requests.get()
            head = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n"
            request.writer.write(head + b"a" + head + b"b")
            _, response = await harness.results.get()
            assert response is not None and response.body == b"a"
            assert await harness.serve_attempt(backend) == 2

    run(test())
