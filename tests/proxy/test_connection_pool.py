"""The connection pool: which connections are lent again, deadlines, drains and limits."""

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
from tests.proxy.pool_harness import endpoint, pool_harness

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
            with socket.socket() as silent, socket.socket() as one, socket.socket() as two:
                # The backlog is full, so that the next connection is neither accepted nor refused.
                silent.bind(("127.0.0.1", 0))
                silent.listen(0)
                for other in (one, two):
                    other.setblocking(False)
                    other.connect_ex(silent.getsockname())
                harness.update(endpoint("s", "{}:{}".format(*silent.getsockname())))
                harness.start(timeout_ms=timeout_ms)
                assert await harness.result() is AttemptResult.CONNECT_FAILED
            assert not harness.pool.connections

    run(test())


@pytest.mark.parametrize("extra", [OK + b"content-length: 4\r\n\r\ncopy", b"\x00noise", b"HTTP/1.1 2"])
def test_bytes_right_after_a_response_never_reach_the_next_request(extra: bytes) -> None:
    # The response and what follows may arrive in two reads; lent between them, the connection would answer
    # the next request with the copy. Reading is paused here: only the kernel has what follows.
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            await harness.serve_one(backend)
            (idle,) = harness.pool.connections_by_backend["s"].idle
            transport = idle.transport
            assert transport is not None
            transport.pause_reading()
            backend.writers[0].write(extra)
            await wait_until(lambda: has_unread_input(transport))
            assert await harness.serve_one(backend) == 2

    run(test())


def test_connection_closed_by_the_backend_is_not_lent() -> None:
    # The loop has not seen the close yet: a request written now would end as a reset, and may have executed.
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            await harness.serve_one(backend)
            (idle,) = harness.pool.connections_by_backend["s"].idle
            transport = idle.transport
            assert transport is not None
            transport.pause_reading()
            backend.writers[0].close()
            await wait_until(lambda: has_unread_input(transport))
            assert await harness.serve_one(backend) == 2

    run(test())


def test_connection_is_idle_for_a_moment_before_it_is_lent_again() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            call = await backend.requests.get()
            call.respond()
            await harness.result()
            harness.pool.connections_by_backend["s"].idle[0].idle_since = (
                now_ms() + 1000
            )  # just now, however slow this machine is
            assert await harness.serve_one(backend) == 2

    run(test())


def test_timeout_without_any_response_closes_the_idle_connections() -> None:
    # A machine that is cut off leaves its connections open: each request written to one would be lost.
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
            assert await harness.serve_one(backend) == 3

    run(test())


def test_lack_of_descriptors_is_a_local_failure(monkeypatch: pytest.MonkeyPatch) -> None:
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
            call = await backend.requests.get()
            assert await harness.result() is AttemptResult.TIMEOUT
            await call.closed.wait()

    run(test())


def test_cancel_closes_the_connection() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            attempt = harness.start()
            call = await backend.requests.get()
            harness.pool.cancel(attempt)
            harness.pool.cancel(attempt)
            assert await harness.result() is AttemptResult.CANCELLED
            await call.closed.wait()

    run(test())


def sees_end_of_stream(backend: socket.socket) -> bool:
    """Whether the kernel reports the end to the backend; no turn of the loop passes, as this blocks."""
    backend.settimeout(1.0)
    try:
        return backend.recv(10) == b""
    except ConnectionError:
        return True
    except TimeoutError:
        return False


@pytest.mark.parametrize("how", ["cancelled", "timed out", "malformed"])
def test_abandoned_attempt_has_ended_at_its_backend_before_a_retry(how: str) -> None:
    # The balancer may retry the request in the very turn in which it is notified of the end.
    async def test() -> None:
        async with pool_harness() as (harness, _):
            loop = asyncio.get_running_loop()
            with socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen(1)
                listener.setblocking(False)
                harness.update(endpoint("s", "{}:{}".format(*listener.getsockname())))
                attempt = harness.start()
                accepted, _ = await loop.sock_accept(listener)
                with accepted:
                    await loop.sock_recv(accepted, 10_000)
                    connection = attempt.connection
                    assert connection is not None
                    if how == "cancelled":
                        harness.pool.cancel(attempt)
                    elif how == "timed out":
                        harness.pool._on_deadline(attempt)
                    else:
                        connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n")
                    assert harness.results.qsize() == 1
                    assert sees_end_of_stream(accepted)
            expected = {"cancelled": AttemptResult.CANCELLED, "timed out": AttemptResult.TIMEOUT}
            assert await harness.result() is expected.get(how, AttemptResult.RESET)

    run(test())


def test_attempt_is_not_written_after_its_write_deadline() -> None:
    """As a keyed retry whose connection opens after its deduplication window."""

    async def test() -> None:
        async with pool_harness() as (harness, backend):
            gate = ConnectGate.install(harness.pool)
            harness.start(write_timeout_ms=30.0)
            may_open = await gate.attempts.get()
            assert await harness.result() is AttemptResult.CONNECT_FAILED
            may_open.set()
            harness.start(write_timeout_ms=30_000.0)
            (await gate.attempts.get()).set()
            call = await backend.requests.get()
            assert backend.requests.empty()
            call.respond()
            assert await harness.result() is AttemptResult.OK

    run(test())


@pytest.mark.parametrize("deadline", ["write_deadline", "deadline"])
def test_expired_attempt_is_not_written_when_its_connection_opens(deadline: str) -> None:
    """The loop is busy, and has not come to the attempt's timer."""

    async def test() -> None:
        async with pool_harness() as (harness, backend):
            gate = ConnectGate.install(harness.pool)
            attempt = harness.start(write_timeout_ms=20000.0)
            may_open = await gate.attempts.get()
            setattr(attempt, deadline, now_ms() - 1.0)
            may_open.set()
            assert await harness.result() is AttemptResult.CONNECT_FAILED
            harness.start()
            (await gate.attempts.get()).set()
            (await backend.requests.get()).respond()
            assert await harness.result() is AttemptResult.OK
            assert backend.requests.empty() and len(harness.pool.connections) == 1

    run(test())


def test_attempt_written_in_time_may_wait_until_its_deadline() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            attempt = harness.start(write_timeout_ms=20_000.0)
            call = await backend.requests.get()
            harness.pool._on_deadline(attempt)  # as its timer does
            assert not attempt.has_ended
            call.respond()
            assert await harness.result() is AttemptResult.OK

    run(test())


@pytest.mark.parametrize("pooled", [True, False])
@pytest.mark.parametrize("state", [BackendState.DRAINING, BackendState.REMOVED])
def test_drain_before_the_first_byte_stops_the_attempt(state: BackendState, pooled: bool) -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            if pooled:
                await harness.serve_one(backend)
                await asyncio.sleep(2 * MIN_IDLE_MS / 1000)
            harness.update(endpoint("s", backend.address, state))
            harness.start()  # chosen before the update came
            assert await harness.result() is AttemptResult.CONNECT_FAILED
            assert backend.requests.empty() and backend.connection_count == pooled

    run(test())


def test_timeout_in_the_turn_of_the_response_is_the_only_result() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            attempt = harness.start()
            call = await backend.requests.get()
            connection = attempt.connection
            assert connection is not None
            harness.pool._on_deadline(attempt)
            connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            assert await harness.result() is AttemptResult.TIMEOUT
            await call.closed.wait()
            harness.start()
            again = await backend.requests.get()
            assert again.connection_number == 2
            again.respond()
            assert await harness.result() is AttemptResult.OK

    run(test())


def test_reset_as_a_request_is_written_to_an_idle_connection_may_have_executed() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            await harness.serve_one(backend)
            await asyncio.sleep(2 * MIN_IDLE_MS / 1000)
            attempt = harness.start()  # written at once; the backend's close was on its way
            connection = attempt.connection
            assert connection is not None and connection.is_awaiting_response
            connection.connection_lost(ConnectionResetError())
            assert await harness.result() is AttemptResult.RESET

    run(test())


def test_most_recently_used_connection_is_lent_first() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            harness.start()
            first, second = await backend.requests.get(), await backend.requests.get()
            second.respond()
            await harness.result()
            first.respond()
            await harness.result()
            assert await harness.serve_one(backend) == first.connection_number
            assert await harness.serve_one(backend) == first.connection_number

    run(test())


def test_idle_connections_expire_well_before_the_backend_closes_them() -> None:
    async def test() -> None:
        async with pool_harness(idle_timeout_ms=1000.0) as (harness, backend):
            harness.start()
            call = await backend.requests.get()
            call.respond()
            assert await harness.result() is AttemptResult.OK
            await call.closed.wait()
            assert not harness.pool.connections_by_backend["s"].idle

    run(test())


def test_connection_closed_while_idle_is_forgotten_at_once() -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            await harness.serve_one(backend)
            backend.writers[0].close()
            await wait_until(lambda: not harness.pool.connections)
            assert await harness.serve_one(backend) == 2

    run(test())


@pytest.mark.parametrize("change", ["drains", "leaves", "is gone", "restarts", "moves"])
def test_idle_connections_close_with_the_process_behind_them(change: str) -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            other = await ScriptedServer().open()
            updates = {
                "drains": [endpoint("s", backend.address, BackendState.DRAINING)],
                "leaves": [endpoint("s", backend.address, BackendState.REMOVED)],
                "is gone": [],
                "restarts": [endpoint("s", backend.address, started=5.0)],
                "moves": [endpoint("s", other.address)],
            }
            harness.start()
            harness.start()
            busy, idle = await backend.requests.get(), await backend.requests.get()
            idle.respond()
            assert await harness.result() is AttemptResult.OK
            harness.update(*updates[change])
            await idle.closed.wait()
            busy.respond()  # requests in flight may finish, but their connection is not idle
            assert await harness.result() is AttemptResult.OK
            await busy.closed.wait()
            if change == "restarts":
                assert await harness.serve_one(backend) == 3
            elif change == "moves":
                assert await harness.serve_one(other) == 1
            else:
                harness.start()
                assert await harness.result() is AttemptResult.CONNECT_FAILED
            other.close()

    run(test())


@pytest.mark.parametrize("state", [BackendState.DRAINING, BackendState.REMOVED])
def test_drain_ends_attempts_that_wait_for_their_connection(state: BackendState) -> None:
    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.start()
            harness.update(endpoint("s", backend.address, state))
            assert await harness.result() is AttemptResult.CONNECT_FAILED
            assert not harness.pool.connections  # nothing of it counts towards the limit
            assert backend.requests.empty()

    run(test())


def test_connection_that_opens_at_its_timeout_reports_the_result_itself() -> None:
    class LateLoop:
        """A loop whose connections open and time out in the same turn."""

        def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
            self.create_task, self.call_later = loop.create_task, loop.call_later
            self.connect = loop.create_connection

        async def create_connection(self, *args: Any) -> None:
            await self.connect(*args)
            raise TimeoutError

    async def test() -> None:
        async with pool_harness() as (harness, backend):
            harness.pool.loop = cast(asyncio.AbstractEventLoop, LateLoop(harness.pool.loop))
            harness.start()
            call = await backend.requests.get()
            call.respond()
            assert await harness.result() is AttemptResult.OK

    run(test())


def test_idle_connection_of_another_backend_is_evicted_at_the_limit() -> None:
    async def test() -> None:
        async with pool_harness(max_connections=2) as (harness, backend):
            other = await ScriptedServer().open()
            harness.update(endpoint("s", backend.address), endpoint("t", other.address))
            await harness.serve_one(backend)
            harness.start("t")
            busy = await other.requests.get()
            harness.start("t")
            second = await other.requests.get()
            assert not harness.pool.connections_by_backend["s"].idle
            harness.start("s")
            assert await harness.result() is AttemptResult.NO_LOCAL_RESOURCE  # nothing is idle now
            for call in (busy, second):
                call.respond()
                assert await harness.result() is AttemptResult.OK
            other.close()

    run(test())
