"""The pool of all connections to backends: it assigns, limits and closes them."""

from __future__ import annotations

import asyncio
import errno
from math import inf

from dunecove.policy.models import AttemptResult, BackendInfo
from dunecove.policy.request_rules import Denial
from dunecove.proxy.attempt import Attempt
from dunecove.proxy.backend_connection import BackendConnection
from dunecove.proxy.backend_connections import BackendConnections
from dunecove.proxy.clock import now_ms
from dunecove.proxy.endpoint_list import (
    EncodedEndpoint,
    Endpoint,
    decode_endpoint,
    decode_location,
    encode_endpoint,
)
from dunecove.proxy.memory_budget import MemoryBudget
from dunecove.proxy.sharded_table import ShardedTable

# An idle connection is closed after this fraction of the backend's idle timeout: a request written while the
# backend closes the connection would end with a reset.
KEEPALIVE_FRACTION = 0.6
EXPIRY_CHECKS_PER_KEEPALIVE = 20  # checks for expired connections per `ConnectionPool.keepalive_ms`

# Results of attempts that must not be written, by reason; WITHDRAWN for any other reason. DEADLINE_EXCEEDED
# has this result only before connecting, when this proxy caused the delay; later, when the backend caused it,
# `_on_deadline` determines the result.
RESULT_BY_DENIAL = {
    Denial.BACKEND_REMOVED: AttemptResult.CONNECT_FAILED,
    Denial.DEADLINE_EXCEEDED: AttemptResult.NO_LOCAL_RESOURCE,
}
# System call errors caused by a temporary shortage of resources at this proxy, not by the backend.
LOCAL_RESOURCE_ERRNOS = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)


class ConnectionPool:
    """All connections to backends, and the endpoints to which they may be opened."""

    def __init__(
        self,
        connect_timeout_ms: float,
        backend_idle_timeout_ms: float,
        max_connections: int,
        response_budget: MemoryBudget | None = None,
    ) -> None:
        """Create a pool; backends close connections that are idle for `backend_idle_timeout_ms`.

        `response_budget` limits the content of responses that are being received; None: nothing does.
        """
        self.connect_timeout_s = connect_timeout_ms / 1000
        self.keepalive_ms = backend_idle_timeout_ms * KEEPALIVE_FRACTION
        self.max_connections = max_connections  # includes connections being opened
        self.response_budget = MemoryBudget() if response_budget is None else response_budget
        self.connections: set[BackendConnection] = set()
        self.endpoints = ShardedTable()  # all active endpoints
        # Only backends that have connections, or had some at the last expiry check.
        self.connections_by_backend: dict[str, BackendConnections] = {}
        self.loop = asyncio.get_running_loop()
        self.expiry_timer = self._schedule_expiry_check()

    def update(self, endpoints: tuple[Endpoint, ...], is_snapshot: bool) -> None:
        """Apply a list update; no request is written to a drained or removed backend from now on."""
        if is_snapshot:
            self._remove_all_but({endpoint.backend_id for endpoint in endpoints})
        for endpoint in endpoints:
            if endpoint.is_active:
                self._set_endpoint(endpoint)
            else:
                self._remove(endpoint.backend_id)

    def _remove_all_but(self, backend_ids: set[str]) -> None:
        for backend_id in [known for known in self.endpoints if known not in backend_ids]:
            self._remove(backend_id)

    def _set_endpoint(self, endpoint: Endpoint) -> None:
        shard = self.endpoints.shard_of(endpoint.backend_id)
        old_encoded = shard.get(endpoint.backend_id)
        new_encoded = encode_endpoint(endpoint)
        shard[endpoint.backend_id] = new_encoded
        backend_connections = self.connections_by_backend.get(endpoint.backend_id)
        if backend_connections is None or old_encoded is None or old_encoded == new_encoded:
            return
        old = decode_endpoint(endpoint.backend_id, old_encoded)
        if old.address != endpoint.address:
            self._stop_sending(backend_connections)
        elif old.info.started_at != endpoint.info.started_at:
            backend_connections.start_generation()

    def _remove(self, backend_id: str) -> None:
        self.endpoints.shard_of(backend_id).pop(backend_id, None)
        if backend_id in self.connections_by_backend:
            self._stop_sending(self.connections_by_backend.pop(backend_id))

    def _stop_sending(self, backend_connections: BackendConnections) -> None:
        # A drain forbids writing the first byte of a request: attempts whose connection is still being opened
        # must not be written either.
        backend_connections.start_generation()
        for connection in list(backend_connections.connecting):
            attempt = connection.attempt
            self._close_in_use(connection)
            if attempt is not None:
                attempt.end(AttemptResult.CONNECT_FAILED)

    def active_count(self) -> int:
        """Return the number of active backends."""
        return len(self.endpoints)

    def backend_infos(self, backend_ids: list[str]) -> tuple[BackendInfo, ...]:
        """Return the list entries of those backends that are still active."""
        entries = ((backend_id, self.endpoints.get(backend_id)) for backend_id in backend_ids)
        return tuple(
            decode_endpoint(backend_id, encoded).info
            for backend_id, encoded in entries
            if encoded is not None
        )

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle or a new connection, or end it if it must not or can't be sent."""
        encoded = self.endpoints.get(attempt.backend_id)
        if encoded is not None:
            attempt.zone, attempt.cell = decode_location(encoded)
        denial = self._find_denial(attempt)
        if denial is not None or encoded is None:
            denial = denial or Denial.BACKEND_REMOVED
            attempt.end(RESULT_BY_DENIAL.get(denial, AttemptResult.WITHDRAWN))
            return
        self._schedule_timeout(attempt, attempt.next_deadline)
        backend_connections = self.connections_by_backend.get(attempt.backend_id)
        if backend_connections is None:
            backend_connections = BackendConnections()
            self.connections_by_backend[attempt.backend_id] = backend_connections
        idle = backend_connections.acquire()
        if idle is not None:
            idle.send_attempt(attempt)
        elif self._make_room():
            self._open_connection(attempt, backend_connections, encoded)
        else:
            attempt.end(AttemptResult.NO_LOCAL_RESOURCE)

    def _make_room(self) -> bool:
        """Return whether a connection may be opened; at the limit, close the longest idle connection."""
        if len(self.connections) < self.max_connections:
            return True
        oldest = min(
            (connections.idle[0] for connections in self.connections_by_backend.values() if connections.idle),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if oldest is None:
            return False
        oldest.backend_connections.idle.remove(oldest)
        self.connections.discard(oldest)
        oldest.close()
        return True

    def _open_connection(
        self, attempt: Attempt, backend_connections: BackendConnections, encoded: EncodedEndpoint
    ) -> None:
        endpoint = decode_endpoint(attempt.backend_id, encoded)
        connection = BackendConnection(self, backend_connections, endpoint.address, self.response_budget)
        connection.attempt = attempt
        attempt.connection = connection
        self.connections.add(connection)
        backend_connections.connecting.add(connection)
        connection.connect_task = self.loop.create_task(self._connect(connection))

    async def _connect(self, connection: BackendConnection) -> None:
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: connection, *connection.address)
        except OSError as error:  # refused, unreachable, out of descriptors, or timed out
            # If the timeout expires just after the connection was made, the request has been written, and the
            # connection reports its result.
            if connection.attempt is not None and connection.transport is None:
                is_local = error.errno in LOCAL_RESOURCE_ERRNOS
                connection.attempt.end(
                    AttemptResult.NO_LOCAL_RESOURCE if is_local else AttemptResult.CONNECT_FAILED
                )
        finally:
            connection.backend_connections.connecting.discard(connection)
            if connection.transport is None:
                self.connections.discard(connection)

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt and close its connection."""
        self._abort(attempt, AttemptResult.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt if its request has certainly not been written completely."""
        if attempt.connection is not None and attempt.connection.is_request_incomplete():
            self._abort(attempt, AttemptResult.WITHDRAWN)

    def _find_denial(self, attempt: Attempt) -> Denial | None:
        """Return why an attempt must not be written, or None; called before its first byte is written.

        Denials by the rules of the request are returned and recorded by `Attempt.check_denial`.
        """
        if self.endpoints.get(attempt.backend_id) is None:
            return Denial.BACKEND_REMOVED
        if attempt.has_expired():
            return Denial.DEADLINE_EXCEEDED
        return attempt.check_denial()

    def end_if_denied(self, attempt: Attempt) -> None:
        """End an attempt that must not be written any more, now that its connection is open.

        The event loop may not have processed the attempt's timer or the client's disconnection yet.
        """
        denial = self._find_denial(attempt)
        if denial is Denial.DEADLINE_EXCEEDED:
            self._on_deadline(attempt)
        elif denial is not None:
            self._abort(attempt, RESULT_BY_DENIAL.get(denial, AttemptResult.WITHDRAWN))

    def _schedule_timeout(self, attempt: Attempt, deadline: float) -> None:
        delay_s = max(deadline - now_ms(), 0.0) / 1000
        attempt.timer = self.loop.call_later(delay_s, self._on_deadline, attempt)

    def _on_deadline(self, attempt: Attempt) -> None:
        is_incomplete = attempt.is_request_incomplete()
        if attempt.write_deadline < attempt.deadline and not is_incomplete:
            attempt.write_deadline = inf  # written in time: only the deadline of the response remains
            self._schedule_timeout(attempt, attempt.deadline)
            return
        self._abort(attempt, AttemptResult.CONNECT_FAILED if is_incomplete else AttemptResult.TIMEOUT)
        backend_connections = self.connections_by_backend.get(attempt.backend_id)
        if backend_connections is None or is_incomplete:
            return
        if backend_connections.last_response_at < attempt.started_at:
            # The backend has sent no response since the attempt started. If its machine is cut off from the
            # network, its connections stay open, and each request written to one of them would be lost.
            backend_connections.close_idle()

    def _abort(self, attempt: Attempt, result: AttemptResult) -> None:
        if attempt.connection is not None:
            self._close_in_use(attempt.connection)
        attempt.end(result)

    def _close_in_use(self, connection: BackendConnection) -> None:
        connection.backend_connections.connecting.discard(connection)
        connection.attempt = None
        connection.close()
        if connection.transport is None:
            # A connect task that is cancelled before it starts does not run its `finally` clause.
            self.connections.discard(connection)

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection whose exchange has ended as an idle one, or close it if it can't be reused."""
        connection.backend_connections.release(connection)

    def discard(self, connection: BackendConnection) -> None:
        """Remove a closed connection from the pool."""
        self.connections.discard(connection)

    def _schedule_expiry_check(self) -> asyncio.TimerHandle:
        return self.loop.call_later(
            self.keepalive_ms / 1000 / EXPIRY_CHECKS_PER_KEEPALIVE, self._close_expired
        )

    def _close_expired(self) -> None:
        """Close connections that have been idle too long; drop backends without connections."""
        self.expiry_timer = self._schedule_expiry_check()
        idle_since = now_ms() - self.keepalive_ms
        for backend_connections in self.connections_by_backend.values():
            backend_connections.close_idle_since(idle_since)
        with_connections = {connection.backend_connections for connection in self.connections}
        self.connections_by_backend = {
            backend_id: connections
            for backend_id, connections in self.connections_by_backend.items()
            if connections in with_connections
        }

    def close(self) -> None:
        """Close all connections without ending their attempts."""
        self.expiry_timer.cancel()
        for connection in list(self.connections):
            connection.close()
