"""The connections to one backend."""

from __future__ import annotations

from dunecove.proxy.backend_connection import BackendConnection
from dunecove.proxy.clock import now_ms
from dunecove.proxy.socket_probe import has_unread_input

# A second response, noise or EOF may follow a response. Only after this time idle is a connection lent:
# `acquire` then sees them in the kernel.
MIN_IDLE_MS = 10.0


class BackendConnections:
    """Idle connections to one backend, and those being opened.

    The connections of an earlier generation are not used again: the process behind them has gone, or drains.
    """

    def __init__(self) -> None:
        self.generation = 0
        self.last_response_at = 0.0  # ms of `now_ms`
        self.idle: list[BackendConnection] = []  # the most recently used last
        self.connecting: set[BackendConnection] = set()

    def start_generation(self) -> None:
        """Close what is idle; connections in use close as they become idle."""
        self.generation += 1
        self.close_idle()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def close_idle_since(self, idle_since: float) -> None:
        """Close the connections that have been idle since before this time."""
        while self.idle and self.idle[0].idle_since < idle_since:
            self.idle.pop(0).close()

    def remove_idle(self, connection: BackendConnection) -> None:
        """Drop a connection from the idle ones if it is one of them."""
        if connection in self.idle:
            self.idle.remove(connection)

    def acquire(self) -> BackendConnection | None:
        """Take the most recently used connection that is safe to use again, or return None.

        Those with unsolicited input, or whose end has come, are closed.
        """
        idle_long_enough = now_ms() - MIN_IDLE_MS
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.idle_since > idle_long_enough:
                continue
            del self.idle[index]
            assert connection.transport is not None
            if not connection.transport.is_closing() and not has_unread_input(connection.transport):
                return connection
            connection.close()
        return None

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection for further attempts, or close it if it can't carry any."""
        if not connection.is_reusable or connection.generation != self.generation:
            connection.close()
            return
        connection.idle_since = now_ms()
        self.idle.append(connection)
