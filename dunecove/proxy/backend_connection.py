"""A connection to a backend that carries one attempt at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from dunecove.policy.models import AttemptResult
from dunecove.proxy.attempt import Attempt
from dunecove.proxy.bounded_protocol import READ_BYTES
from dunecove.proxy.clock import now_ms
from dunecove.proxy.http_exchange import HttpExchange, Response
from dunecove.proxy.memory_budget import MemoryAccount, MemoryBudget

if TYPE_CHECKING:
    from dunecove.proxy.backend_connections import BackendConnections

# A response with one of these statuses and this header guarantees that the request was not executed.
REJECTED_STATUSES = (503, 504)
REJECTED_HEADER = b"x-rejected"
FIRST_READ_BYTES = 4096  # of a response, while there is no memory for any length


class ConnectionOwner(Protocol):
    """The methods of the pool that its connections call."""

    def end_if_denied(self, attempt: Attempt) -> None:
        """End an attempt if it must not be written any more."""

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection whose exchange has ended for reuse, or close it."""

    def discard(self, connection: BackendConnection) -> None:
        """Remove a closed connection."""


def _result_of(response: Response) -> AttemptResult:
    if response.status == 200:
        return AttemptResult.OK
    if response.status in REJECTED_STATUSES and response.header(REJECTED_HEADER) == b"1":
        return AttemptResult.REJECTED
    if 400 <= response.status < 500:
        return AttemptResult.BAD_REQUEST
    return AttemptResult.ERROR


class BackendConnection(HttpExchange):
    """A connection to one backend at one address, open or being opened."""

    def __init__(
        self,
        owner: ConnectionOwner,
        backend_connections: BackendConnections,
        address: tuple[str, int],
        budget: MemoryBudget,
    ) -> None:
        """Create a connection that is not open yet; `budget` is that for the content of responses."""
        super().__init__()
        self._memory = MemoryAccount(budget)
        self.owner = owner
        self.backend_connections = backend_connections
        self.generation = backend_connections.generation  # if a later one has started, this is not reused
        self.address = address
        self.attempt: Attempt | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.idle_since = 0.0  # ms of `now_ms`

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt for which this connection was opened, unless it must not be written any more."""
        self.backend_connections.connecting.discard(self)
        if self.attempt is not None:
            self.owner.end_if_denied(self.attempt)
        super().connection_made(transport)
        if self.attempt is not None:
            self.send_attempt(self.attempt)
        else:
            self.close()

    def send_attempt(self, attempt: Attempt) -> None:
        """Send the attempt's request with its remaining time in `x-budget-ms`."""
        self.attempt = attempt
        attempt.connection = self
        attempt.sent_at = now_ms()
        budget_ms = max(1, int(attempt.deadline - now_ms()))
        self.send_request(b"%bx-budget-ms: %d\r\n\r\n" % (attempt.head, budget_ms), attempt.body)

    def read_bytes(self) -> int:
        """Return how many bytes may be read: only what there is memory for, and never beyond a long body."""
        if not self.is_awaiting_response or self._memory.budget.has_surplus():
            return READ_BYTES
        return max(self.missing_body_bytes(), FIRST_READ_BYTES)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; read no more of a long one until there is memory for all of it."""
        super().data_received(data)
        if self.is_awaiting_response and not self._memory.try_hold(self.memory_bytes()):
            self.pause_reading()
            self._memory.hold_later(self.memory_bytes(), self.resume_reading)

    def close(self) -> None:
        """Close the connection, or stop opening it."""
        super().close()
        self._memory.release()
        if self.transport is None and self.connect_task is not None:
            self.connect_task.cancel()

    def is_request_incomplete(self) -> bool:
        """Return whether a part of the request has certainly not been written."""
        return self.transport is None or self.has_unsent_bytes

    def on_response(self, response: Response) -> None:
        """Return this connection to the pool and end the attempt."""
        attempt = self.attempt
        self.attempt = None
        self.backend_connections.last_response_at = now_ms()
        self.owner.release(self)
        if attempt is None:
            self._memory.release()
            return
        result = _result_of(response)
        attempt.end(result, response if result is AttemptResult.OK else None)
        self._memory.release()  # once the client's connection holds what it could not send

    def on_failed(self) -> None:
        """End the attempt: the connection was lost, or the response is malformed."""
        self.backend_connections.remove_idle(self)
        if self.attempt is not None:
            is_incomplete = self.is_request_incomplete()
            self.attempt.end(AttemptResult.CONNECT_FAILED if is_incomplete else AttemptResult.RESET)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the pool, then fail the attempt in progress, if any."""
        self.owner.discard(self)
        super().connection_lost(exc)
        self._memory.release()
