"""The connections to one backend."""

from __future__ import annotations

from dunecove.proxy.backend_connection import BackendConnection
from dunecove.proxy.clock import now_ms
from dunecove.proxy.socket_probe import has_unread_input

# A connection is reused only after this idle time: a second response, other unsolicited bytes or EOF right
# after a response have usually arrived by then, and `acquire` detects them in the kernel.
MIN_IDLE_MS = 10.0


class BackendConnections:
    """The connections to one backend that are idle or being opened.

    Connections of an earlier generation are not reused: their backend process has ended, drains or has moved.
    """

    def __init__(self) -> None:
        self.generation = 0
        self.last_response_at = 0.0  # ms of `now_ms`
        self.idle: list[BackendConnection] = []  # most recently used last
        self.connecting: set[BackendConnection] = set()

    def start_generation(self) -> None:
        """Close all idle connections; connections in use are closed when their exchange ends."""
        self.generation += 1
        self.close_idle()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def close_idle_since(self, idle_since: float) -> None:
        """Close the connections that became idle before the time `idle_since`, in ms of `now_ms`."""
        while self.idle and self.idle[0].idle_since < idle_since:
            self.idle.pop(0).close()

    def remove_idle(self, connection: BackendConnection) -> None:
        """Remove a connection from the idle ones, if it is idle."""
        if connection in self.idle:
            self.idle.remove(connection)

    def acquire(self) -> BackendConnection | None:
        """Remove and return the most recently used idle connection that is safe to reuse, or None.

        Connections that have unsolicited input, or were closed by the backend, are closed.
        """
        latest_idle_since = now_ms() - MIN_IDLE_MS
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.idle_since > latest_idle_since:
                continue
            del self.idle[index]
            assert connection.transport is not None
            if not connection.transport.is_closing() and not has_unread_input(connection.transport):
                return connection
            connection.close()
        return None

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection for further attempts, or close it if it can't be reused."""
        if not connection.is_reusable or connection.generation != self.generation:
            connection.close()
            return
        connection.idle_since = now_ms()
        self.idle.append(connection)
