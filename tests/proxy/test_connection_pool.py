"""The connection pool: reuse of connections, deadlines, drains and limits."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any, cast

import pytest

from dunecove.policy.models import AttemptResult, BackendState
from dunecove.proxy.backend_connections import MIN_IDLE_MS
from dunecove.proxy.clock import now_ms
from dunecove.proxy.socket_probe import has_unread_input
from tests.loopback import ConnectGate, ScriptedServer, run, wait_until
from tests.proxy.pool_harness import make_endpoint, pool_harness

OK = b"HTTP/1.1 200 OK\r\n"


def test_refused_connection_fails_as_not_executed() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            backend.close()
            await backend.server.wait_closed()
            harness.start()
            assert await harness.result() is AttemptResult.CONNECT_FAILED

    run(test())


@pytest.mark.parametrize(("connect_timeout_ms", "timeout_ms"), [(50.0, 30000.0), (30000.0, 50.0)])
def test_connect_timeout_fails_as_not_executed(connect_timeout_ms: float, timeout_ms: float) -> None:
    async def test() -> None:
        async with pool_harness(connect_timeout_ms=connect_timeout_ms) as (harness, _):
            with socket.socket() as listener, socket.socket() as client_1, socket.socket() as client_2:
                # With a full backlog, the kernel neither accepts nor refuses the next connection.
                listener.bind(("127.0.0.1", 0))
                listener.listen(0)
                for client in (client_1, client_2):
                    client.setblocking(False)
                    client.connect_ex(listener.getsockname())
                harness.update(make_endpoint("s", "{}:{}".format(*listener.getsockname())))
                harness.start(timeout_ms=timeout_ms)
                assert await harness.result() is AttemptResult.CONNECT_FAILED
            assert not harness.pool.connections

    run(test())


@pytest.mark.parametrize("extra", [OK + b"content-length: 4\r\n\r\ncopy", b"\x00noise", b"HTTP/1.1 2"])
def test_unsolicited_bytes_after_a_response_prevent_reuse_of_the_connection(extra: bytes) -> None:
    # If the extra bytes arrive in a later read than the response, a connection reused in between would return
    # them as the response to the next request. Reading is paused, so that only the kernel has them.
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            await harness.serve_attempt(backend)
            (idle,) = harness.pool.connections_by_backend["s"].idle
            transport = idle.transport
            assert transport is not None
            transport.pause_reading()
            backend.writers[0].write(extra)
            await wait_until(lambda: has_unread_input(transport))
            assert await harness.serve_attempt(backend) == 2

    run(test())


def test_connection_closed_by_the_backend_is_not_reused() -> None:
    # The event loop has not processed the close yet: a request written now would end with a reset, and count
    # as possibly executed.
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            await harness.serve_attempt(backend)
            (idle,) = harness.pool.connections_by_backend["s"].idle
            transport = idle.transport
            assert transport is not None
            transport.pause_reading()
            backend.writers[0].close()
            await wait_until(lambda: has_unread_input(transport))
            assert await harness.serve_attempt(backend) == 2

    run(test())


def test_connection_is_not_reused_before_the_minimum_idle_time() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            request = await backend.requests.get()
            request.respond()
            await harness.result()
            # Not idle for the minimum time, however slow the machine is.
            harness.pool.connections_by_backend["s"].idle[0].idle_since = now_ms() + 1000
            assert await harness.serve_attempt(backend) == 2

    run(test())


def test_timeout_without_any_response_closes_the_idle_connections() -> None:
    # If the backend's machine is cut off, its connections stay open, and requests written to them are lost.
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            harness.start()
            for _ in range(2):
                (await backend.requests.get()).respond()
                await harness.result()
            await asyncio.sleep(2 * MIN_IDLE_MS / 1000)
            harness.start(timeout_ms=50.0)
            await backend.requests.get()
            assert await harness.result() is AttemptResult.TIMEOUT
            assert not harness.pool.connections_by_backend["s"].idle
            assert await harness.serve_attempt(backend) == 3

    run(test())


def test_connect_without_free_descriptors_ends_with_no_local_resource(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class LoopWithoutDescriptors:
        def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
            self.create_task, self.call_later = loop.create_task, loop.call_later

        async def create_connection(self, *_: Any) -> None:
            raise OSError(errno.EMFILE, "Too many open files")

    async def test() -> None:
        async with pool_harness() as (harness, _):
            harness.pool.loop = cast(asyncio.AbstractEventLoop, LoopWithoutDescriptors(harness.pool.loop))
            harness.start()
            assert await harness.result() is AttemptResult.NO_LOCAL_RESOURCE

    run(test())


def test_unresponsive_backend_times_out_and_its_connection_is_closed() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start(timeout_ms=100.0)
            request = await backend.requests.get()
            assert await harness.result() is AttemptResult.TIMEOUT
            await request.closed.wait()

    run(test())


def test_cancel_closes_the_connection() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            attempt = harness.start()
            request = await backend.requests.get()
            harness.pool.cancel(attempt)
            harness.pool.cancel(attempt)
            assert await harness.result() is AttemptResult.CANCELLED
            await request.closed.wait()

    run(test())


def sees_end_of_stream(backend: socket.socket) -> bool:
    """Return whether the backend's kernel reports the end of the stream; blocks the event loop."""
    backend.settimeout(1.0)
    try:
        return backend.recv(10) == b""
    except ConnectionError:
        return True
    except TimeoutError:
        return False


@pytest.mark.parametrize("ending", ["cancelled", "timed out", "malformed"])
def test_backend_sees_the_end_of_an_abandoned_attempt_before_a_retry(ending: str) -> None:
    # The balancer may retry the request in the same loop iteration in which the attempt ends.
    async def test() -> None:
        async with pool_harness() as (harness, _):
            loop = asyncio.get_running_loop()
            with socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen(1)
                listener.setblocking(False)
                harness.update(make_endpoint("s", "{}:{}".format(*listener.getsockname())))
                attempt = harness.start()
                accepted, _ = await loop.sock_accept(listener)
                with accepted:
                    await loop.sock_recv(accepted, 10_000)
                    connection = attempt.connection
                    assert connection is not None
                    if ending == "cancelled":
                        harness.pool.cancel(attempt)
                    elif ending == "timed out":
                        harness.pool._on_deadline(attempt)
                    else:
                        connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n")
                    assert harness.results.qsize() == 1
                    assert sees_end_of_stream(accepted)
            expected = {"cancelled": AttemptResult.CANCELLED, "timed out": AttemptResult.TIMEOUT}
            assert await harness.result() is expected.get(ending, AttemptResult.RESET)

    run(test())


def test_attempt_is_not_written_after_its_write_deadline() -> None:
    """For example, the connection of a keyed retry opens after the deduplication window."""

    async def test() -> None:
        async with pool_harness() as (harness, backend):
            gate = ConnectGate.install(harness.pool)
            harness.start(write_timeout_ms=30.0)
            may_open = await gate.pending_connects.get()
            assert await harness.result() is AttemptResult.CONNECT_FAILED
            may_open.set()
            harness.start(write_timeout_ms=30_000.0)
            (await gate.pending_connects.get()).set()
            request = await backend.requests.get()
            assert backend.requests.empty()
            request.respond()
            assert await harness.result() is AttemptResult.OK

    run(test())


@pytest.mark.parametrize("deadline", ["write_deadline", "deadline"])
def test_expired_attempt_is_not_written_when_its_connection_opens(deadline: str) -> None:
    """The event loop is busy and has not processed the attempt's timer."""

    async def test() -> None:
        async with pool_harness() as (harness, backend):
            gate = ConnectGate.install(harness.pool)
            attempt = harness.start(write_timeout_ms=20000.0)
            may_open = await gate.pending_connects.get()
            setattr(attempt, deadline, now_ms() - 1.0)
            may_open.set()
            assert await harness.result() is AttemptResult.CONNECT_FAILED
            harness.start()
            (await gate.pending_connects.get()).set()
            (await backend.requests.get()).respond()
            assert await harness.result() is AttemptResult.OK
            assert backend.requests.empty() and len(harness.pool.connections) == 1

    run(test())


def test_attempt_written_before_its_write_deadline_waits_until_its_deadline() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            attempt = harness.start(write_timeout_ms=20_000.0)
            request = await backend.requests.get()
            harness.pool._on_deadline(attempt)  # as called by the timer
            assert not attempt.has_ended
            request.respond()
            assert await harness.result() is AttemptResult.OK

    run(test())


@pytest.mark.parametrize("has_idle_connection", [True, False])
@pytest.mark.parametrize("state", [BackendState.DRAINING, BackendState.REMOVED])
def test_drain_before_the_first_byte_fails_the_attempt_unwritten(
    state: BackendState, has_idle_connection: bool
) -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            if has_idle_connection:
                await harness.serve_attempt(backend)
                await asyncio.sleep(2 * MIN_IDLE_MS / 1000)
            harness.update(make_endpoint("s", backend.address, state))
            harness.start()  # the backend was chosen before the update
            assert await harness.result() is AttemptResult.CONNECT_FAILED
            assert backend.requests.empty() and backend.connection_count == has_idle_connection

    run(test())


def test_response_in_the_loop_iteration_of_the_timeout_is_ignored() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            attempt = harness.start()
            request = await backend.requests.get()
            connection = attempt.connection
            assert connection is not None
            harness.pool._on_deadline(attempt)
            connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            assert await harness.result() is AttemptResult.TIMEOUT
            await request.closed.wait()
            harness.start()
            next_request = await backend.requests.get()
            assert next_request.connection_number == 2
            next_request.respond()
            assert await harness.result() is AttemptResult.OK

    run(test())


def test_reset_after_a_write_to_an_idle_connection_may_have_executed() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            await harness.serve_attempt(backend)
            await asyncio.sleep(2 * MIN_IDLE_MS / 1000)
            attempt = harness.start()  # written before the backend's close is processed
            connection = attempt.connection
            assert connection is not None and connection.is_awaiting_response
            connection.connection_lost(ConnectionResetError())
            assert await harness.result() is AttemptResult.RESET

    run(test())


def test_most_recently_used_connection_is_reused_first() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            harness.start()
            first, second = await backend.requests.get(), await backend.requests.get()
            second.respond()
            await harness.result()
            first.respond()
            await harness.result()
            assert await harness.serve_attempt(backend) == first.connection_number
            assert await harness.serve_attempt(backend) == first.connection_number

    run(test())


def test_idle_connections_close_before_the_idle_timeout_of_the_backend() -> None:
    async def test() -> None:
        async with pool_harness(idle_timeout_ms=1000.0) as (harness, backend):
            harness.start()
            request = await backend.requests.get()
            request.respond()
            assert await harness.result() is AttemptResult.OK
            await request.closed.wait()
            assert not harness.pool.connections_by_backend["s"].idle

    run(test())


def test_connection_closed_while_idle_is_removed_at_once() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            await harness.serve_attempt(backend)
            backend.writers[0].close()
            await wait_until(lambda: not harness.pool.connections)
            assert await harness.serve_attempt(backend) == 2

    run(test())


@pytest.mark.parametrize("change", ["drains", "is removed", "is absent", "restarts", "moves"])
def test_idle_connections_close_when_their_backend_drains_ends_or_moves(change: str) -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            other_backend = await ScriptedServer().open()
            updates = {
                "drains": [make_endpoint("s", backend.address, BackendState.DRAINING)],
                "is removed": [make_endpoint("s", backend.address, BackendState.REMOVED)],
                "is absent": [],
                "restarts": [make_endpoint("s", backend.address, started_at=5.0)],
                "moves": [make_endpoint("s", other_backend.address)],
            }
            harness.start()
            harness.start()
            in_use, idle = await backend.requests.get(), await backend.requests.get()
            idle.respond()
            assert await harness.result() is AttemptResult.OK
            harness.update(*updates[change])
            await idle.closed.wait()
            in_use.respond()  # a request in flight may finish, but its connection is not reused
            assert await harness.result() is AttemptResult.OK
            await in_use.closed.wait()
            if change == "restarts":
                assert await harness.serve_attempt(backend) == 3
            elif change == "moves":
                assert await harness.serve_attempt(other_backend) == 1
            else:
                harness.start()
                assert await harness.result() is AttemptResult.CONNECT_FAILED
            other_backend.close()

    run(test())


@pytest.mark.parametrize("state", [BackendState.DRAINING, BackendState.REMOVED])
def test_drain_ends_attempts_whose_connection_is_being_opened(state: BackendState) -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            harness.update(make_endpoint("s", backend.address, state))
            assert await harness.result() is AttemptResult.CONNECT_FAILED
            assert not harness.pool.connections  # the closed connection no longer counts towards the limit
            assert backend.requests.empty()

    run(test())


def test_attempt_whose_connection_opens_at_the_connect_timeout_gets_its_response() -> None:
    class LoopWithConnectTimeout:
        """An event loop whose connections open and time out in the same iteration."""

        def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
            self.create_task, self.call_later = loop.create_task, loop.call_later
            self.connect = loop.create_connection

        async def create_connection(self, *args: Any) -> None:
            await self.connect(*args)
            raise TimeoutError

    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.pool.loop = cast(asyncio.AbstractEventLoop, LoopWithConnectTimeout(harness.pool.loop))
            harness.start()
            request = await backend.requests.get()
            request.respond()
            assert await harness.result() is AttemptResult.OK

    run(test())


def test_idle_connection_of_another_backend_is_evicted_at_the_limit() -> None:
    async def test() -> None:
        async with pool_harness(max_connections=2) as (harness, backend):
            other_backend = await ScriptedServer().open()
            harness.update(make_endpoint("s", backend.address), make_endpoint("t", other_backend.address))
            await harness.serve_attempt(backend)
            harness.start("t")
            in_use = await other_backend.requests.get()
            harness.start("t")
            second = await other_backend.requests.get()
            assert not harness.pool.connections_by_backend["s"].idle
            harness.start("s")
            assert await harness.result() is AttemptResult.NO_LOCAL_RESOURCE  # no connection is idle
            for request in (in_use, second):
                request.respond()
                assert await harness.result() is AttemptResult.OK
            other_backend.close()

    run(test())
