"""A connection pool with one scripted backend, and the results of the attempts that a test starts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import inf

from dunecove.policy.models import AttemptResult, BackendInfo, BackendState
from dunecove.proxy.attempt import Attempt
from dunecove.proxy.backend_connections import MIN_IDLE_MS
from dunecove.proxy.connection_pool import ConnectionPool
from dunecove.proxy.endpoint_list import Endpoint
from dunecove.proxy.http_exchange import Response
from tests.loopback import ScriptedServer

HEAD = b"POST /answer HTTP/1.1\r\nhost: b\r\n"


class PoolHarness:
    """A pool with the backend `s`; the results of its attempts are put into `results`."""

    def __init__(
        self, backend: ScriptedServer, connect_timeout_ms: float, idle_timeout_ms: float, max_connections: int
    ) -> None:
        self.pool = ConnectionPool(connect_timeout_ms, idle_timeout_ms, max_connections)
        self.results: asyncio.Queue[tuple[AttemptResult, Response | None]] = asyncio.Queue()
        self.update(make_endpoint("s", backend.address))

    def update(self, *endpoints: Endpoint) -> None:
        self.pool.update(endpoints, True)

    def start(
        self,
        backend_id: str = "s",
        timeout_ms: float = 30000.0,
        body: bytes = b"",
        write_timeout_ms: float = inf,
    ) -> Attempt:
        head = HEAD + b"content-length: %d\r\n" % len(body)
        attempt = Attempt(
            backend_id,
            head,
            body,
            timeout_ms,
            lambda _, *result: self.results.put_nowait(result),
            write_timeout_ms,
        )
        self.pool.start(attempt)
        return attempt

    async def result(self) -> AttemptResult:
        return (await self.results.get())[0]

    async def serve_attempt(self, backend: ScriptedServer, backend_id: str = "s") -> int:
        """Serve one attempt; return the number of the connection, counted from 1 at the backend."""
        await asyncio.sleep(2 * MIN_IDLE_MS / 1000)  # idle connections may be reused
        self.start(backend_id)
        request = await backend.requests.get()
        request.respond()
        assert await self.result() is AttemptResult.OK
        return request.connection_number


def make_endpoint(
    backend_id: str, address: str, state: BackendState = BackendState.ACTIVE, started_at: float | None = None
) -> Endpoint:
    host, port = address.split(":")
    return Endpoint(backend_id, host, int(port), BackendInfo(backend_id, state, started_at=started_at))


@asynccontextmanager
async def pool_harness(
    connect_timeout_ms: float = 20000.0, idle_timeout_ms: float = 60000.0, max_connections: int = 100
) -> AsyncIterator[tuple[PoolHarness, ScriptedServer]]:
    backend = await ScriptedServer().open()
    harness = PoolHarness(backend, connect_timeout_ms, idle_timeout_ms, max_connections)
    try:
        yield harness, backend
    finally:
        harness.pool.close()
        backend.close()
        assert harness.results.empty()  # no attempt has a second result
