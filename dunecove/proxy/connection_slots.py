"""Slots for client connections: their states, timeouts and eviction candidates.

This module only decides; the listener closes the connections.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dunecove.proxy.clock import now_ms

if TYPE_CHECKING:
    from dunecove.proxy.client_connection import ClientConnection

REQUEST_TIMEOUT_S = 2.0  # from connecting, or from a request's first byte, until the request must be complete
IDLE_TIMEOUT_S = 30.0  # keep-alive time between two requests
CROWDED_IDLE_TIMEOUT_S = 2.0  # keep-alive time while more than half of the slots are in use
# Time for a client to close a lingering connection; up to `LINGER_READ_TIMEOUT_S` while its response is being
# delivered.
LINGER_TIMEOUT_S = 1.0
# Time during which a new connection may send its first request, and a lingering one may close, without being
# evicted.
EVICTION_GRACE_MS = 250.0
# Time after the longest deadline of all request classes for a client to read its response before an eviction.
UNREAD_RESPONSE_GRACE_MS = 500.0


class AcceptDecision(NamedTuple):
    """Whether a new connection is admitted, and the connection to evict for it, if any."""

    is_admitted: bool
    evicted: ClientConnection | None = None


class ConnectionSlots:
    """Accounts for the file descriptors of client connections; each connection takes one slot.

    A connection without an unanswered request is in one of three states. Each state is a dictionary of the
    times (in ms of `now_ms`) at which its connections entered it, oldest first.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0  # slots of connections that are open, being accepted or being closed
        self.connections: set[ClientConnection] = set()
        self.awaiting_request: dict[ClientConnection, float] = {}  # new, or with an incomplete request
        self.idle: dict[ClientConnection, float] = {}  # kept alive between two requests
        self.lingering: dict[ClientConnection, float] = {}  # no further response will be written

    def reserve(self) -> None:
        """Take a slot for a connection that is being accepted."""
        self.used += 1

    def release(self) -> None:
        """Release the slot of a connection that has closed or could not be opened."""
        self.used -= 1

    def add(self, connection: ClientConnection) -> None:
        """Register a new connection, which is awaiting its first request."""
        self.connections.add(connection)
        self.mark_awaiting_request(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self._leave_state(connection)
        self.connections.discard(connection)

    def mark_active(self, connection: ClientConnection) -> None:
        """Record that a connection has an unanswered request."""
        self._leave_state(connection)

    def mark_awaiting_request(self, connection: ClientConnection) -> None:
        """Record that a connection is awaiting a complete request.

        If it already was, its timeout is not restarted: a client that sends single bytes must not extend it.
        """
        if connection not in self.awaiting_request:
            self._leave_state(connection)
            self.awaiting_request[connection] = now_ms()

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that a connection is kept alive between two requests."""
        self._leave_state(connection)
        self.idle[connection] = now_ms()

    def mark_lingering(self, connection: ClientConnection) -> None:
        """Record that no further response will be written on a connection, so that it may close."""
        self._leave_state(connection)
        self.lingering[connection] = now_ms()

    def mark_aborted(self, connection: ClientConnection) -> None:
        """Record that a connection is being aborted, so that it is not an eviction candidate again."""
        self._leave_state(connection)

    def is_lingering(self, connection: ClientConnection) -> bool:
        """Return whether a connection waits to close, without any further response."""
        return connection in self.lingering

    def lingering_since(self, connection: ClientConnection) -> float:
        """Return when a connection began to linger, in ms of `now_ms`."""
        return self.lingering[connection]

    def _leave_state(self, connection: ClientConnection) -> None:
        self.awaiting_request.pop(connection, None)
        self.idle.pop(connection, None)
        self.lingering.pop(connection, None)

    def decide_accept(self, max_deadline_ms: float) -> AcceptDecision:
        """Decide whether a new connection may be accepted now, and which connection to evict for it."""
        if self.used < self.limit:
            return AcceptDecision(True)
        evicted = self.eviction_candidate(max_deadline_ms)
        return AcceptDecision(evicted is not None, evicted)

    def eviction_candidate(self, max_deadline_ms: float) -> ClientConnection | None:
        """Return the connection to evict for a new one, or None if none may be evicted.

        Lingering connections come first, then those idle for longer than `CROWDED_IDLE_TIMEOUT_S`, those
        awaiting a request, and last all other idle ones. `may_be_evicted` costs a system call, so only the
        oldest suitable connection of each of these groups is checked. `max_deadline_ms` is the longest
        deadline of all request classes: until then a client may still read its response.
        """
        now = now_ms()
        for state, grace_ms in (
            (self.lingering, EVICTION_GRACE_MS),
            (self.idle, CROWDED_IDLE_TIMEOUT_S * 1000),
            (self.awaiting_request, EVICTION_GRACE_MS),
            (self.idle, 0.0),
        ):
            for connection, entered_at in state.items():
                if entered_at > now - grace_ms:
                    break
                has_unread_response = state is not self.lingering and connection.has_unsent_bytes()
                if has_unread_response and entered_at > now - max_deadline_ms - UNREAD_RESPONSE_GRACE_MS:
                    # A close frees the slot only once the response is read; an abort drops the response.
                    continue
                if connection.may_be_evicted():
                    return connection
                break
        return None

    def overdue_for_request(self) -> list[ClientConnection]:
        """Return the connections that have not sent a complete request in time."""
        return _overdue(self.awaiting_request, REQUEST_TIMEOUT_S * 1000)

    def overdue_lingering(self) -> list[ClientConnection]:
        """Return the lingering connections that their clients have not closed in time."""
        return _overdue(self.lingering, LINGER_TIMEOUT_S * 1000)

    def overdue_idle(self) -> list[ClientConnection]:
        """Return the connections that have been idle for longer than the idle timeout."""
        is_crowded = self.used > self.limit / 2
        return _overdue(self.idle, (CROWDED_IDLE_TIMEOUT_S if is_crowded else IDLE_TIMEOUT_S) * 1000)

    def between_requests(self) -> list[ClientConnection]:
        """Return idle connections, and new ones that have sent nothing within `EVICTION_GRACE_MS`."""
        overdue = _overdue(self.awaiting_request, EVICTION_GRACE_MS)
        silent = [connection for connection in overdue if not connection.reader.is_mid_request]
        return [*self.idle, *silent]


def _overdue(state: dict[ClientConnection, float], timeout_ms: float) -> list[ClientConnection]:
    """Return the connections that entered a state at least `timeout_ms` ago."""
    entered_before = now_ms() - timeout_ms
    overdue = []
    for connection, entered_at in state.items():
        if entered_at > entered_before:
            break
        overdue.append(connection)
    return overdue
