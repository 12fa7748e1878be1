"""The slots for client connections: who holds one in which state, who is overdue, who is evicted.

It decides and has no side effects on connections: the listener acts on what it returns.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dunecove.proxy.clock import now_ms

if TYPE_CHECKING:
    from dunecove.proxy.client_connection import ClientConnection

REQUEST_TIMEOUT_S = 2.0  # s from connecting, or from its first byte, until a request has to be complete
IDLE_TIMEOUT_S = 30.0  # s of keep-alive between two requests
CROWDED_IDLE_TIMEOUT_S = 2.0  # s of it while over half of the slots are in use
LINGER_TIMEOUT_S = 1.0  # s that a connection may linger after its last response
# ms in which a new connection may send its first request, and a lingering one may end, without being
# closed for another.
EVICTION_GRACE_MS = 250.0
UNREAD_RESPONSE_GRACE_MS = 500.0  # ms after a request's deadline in which its response may still be read


class AcceptDecision(NamedTuple):
    """Whether a new connection gets a slot, and who has to be evicted for it."""

    is_admitted: bool
    evicted: ClientConnection | None = None


class ConnectionSlots:
    """Accounts for the file descriptors of client connections, one slot for each.

    A connection that owes no response is in one of three states, with the time at which it entered that
    state in ms of `now_ms`, the longest there first.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0  # by open connections, by those being accepted and by those being closed
        self.connections: set[ClientConnection] = set()
        self.awaiting_request: dict[ClientConnection, float] = {}  # new, or its request is incomplete
        self.idle: dict[ClientConnection, float] = {}  # kept alive between two requests
        self.lingering: dict[ClientConnection, float] = {}  # its last response is written

    def reserve(self) -> None:
        """Take a slot for a connection that is being accepted."""
        self.used += 1

    def release(self) -> None:
        """Give back the slot of a connection that is closed, or that could not be opened."""
        self.used -= 1

    def add(self, connection: ClientConnection) -> None:
        """Register a new connection, which owes its first request."""
        self.connections.add(connection)
        self.mark_awaiting_request(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection that is closed."""
        self._leave_state(connection)
        self.connections.discard(connection)

    def mark_active(self, connection: ClientConnection) -> None:
        """Record that a connection owes a response."""
        self._leave_state(connection)

    def mark_awaiting_request(self, connection: ClientConnection) -> None:
        """Record that a connection owes a request; its timeout runs on if it did before.

        Single bytes now and then must not extend it.
        """
        if connection not in self.awaiting_request:
            self._leave_state(connection)
            self.awaiting_request[connection] = now_ms()

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that a connection is kept alive, and owes and awaits nothing."""
        self._leave_state(connection)
        self.idle[connection] = now_ms()

    def mark_lingering(self, connection: ClientConnection) -> None:
        """Record that a connection has its last response and may close."""
        self._leave_state(connection)
        self.lingering[connection] = now_ms()

    def mark_aborted(self, connection: ClientConnection) -> None:
        """Record that a connection ends without further ado, and is no candidate for eviction again."""
        self._leave_state(connection)

    def is_lingering(self, connection: ClientConnection) -> bool:
        """Return whether a connection only ends."""
        return connection in self.lingering

    def lingering_since(self, connection: ClientConnection) -> float:
        """Return when a lingering connection had its last response, in ms of `now_ms`."""
        return self.lingering[connection]

    def _leave_state(self, connection: ClientConnection) -> None:
        self.awaiting_request.pop(connection, None)
        self.idle.pop(connection, None)
        self.lingering.pop(connection, None)

    def decide_accept(self, longest_deadline_ms: float) -> AcceptDecision:
        """Decide whether a new connection may be accepted now, and at whose cost."""
        if self.used < self.limit:
            return AcceptDecision(True)
        evicted = self.eviction_candidate(longest_deadline_ms)
        return AcceptDecision(evicted is not None, evicted)

    def eviction_candidate(self, longest_deadline_ms: float) -> ClientConnection | None:
        """Return the connection whose slot is given to a new one, or None if all are in use.

        First one that has its last response, then one idle for long, then one whose first request does
        not come, and last one that was of use just now. Of each of these only the first is asked whether
        it may be evicted, since asking costs a system call. `longest_deadline_ms` is that of the slowest
        class: until then a client may still read its response.
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
                is_unread = state is not self.lingering and connection.has_unsent_bytes()
                if is_unread and entered_at > now - longest_deadline_ms - UNREAD_RESPONSE_GRACE_MS:
                    continue  # closed, it would keep its descriptor until the response is read
                if connection.may_be_evicted():
                    return connection
                break
        return None

    def overdue_for_request(self) -> list[ClientConnection]:
        """Return connections that have not sent a complete request in time."""
        return _overdue(self.awaiting_request, REQUEST_TIMEOUT_S * 1000)

    def overdue_lingering(self) -> list[ClientConnection]:
        """Return connections that were not closed in time by their clients."""
        return _overdue(self.lingering, LINGER_TIMEOUT_S * 1000)

    def overdue_idle(self) -> list[ClientConnection]:
        """Return connections that have been idle for too long."""
        is_crowded = self.used > self.limit / 2
        return _overdue(self.idle, (CROWDED_IDLE_TIMEOUT_S if is_crowded else IDLE_TIMEOUT_S) * 1000)

    def between_requests(self) -> list[ClientConnection]:
        """Return idle connections, and new ones whose first request would have begun by now."""
        overdue = _overdue(self.awaiting_request, EVICTION_GRACE_MS)
        silent = [connection for connection in overdue if not connection.reader.is_mid_request]
        return [*self.idle, *silent]


def _overdue(entered_at: dict[ClientConnection, float], limit_ms: float) -> list[ClientConnection]:
    oldest = now_ms() - limit_ms
    overdue = []
    for connection, entered in entered_at.items():
        if entered > oldest:
            break
        overdue.append(connection)
    return overdue
