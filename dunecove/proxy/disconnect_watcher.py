"""Detects that clients have disconnected while reading from their connections is paused."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dunecove.proxy.socket_probe import find_closed_by_peer

if TYPE_CHECKING:
    from dunecove.proxy.client_connection import ClientConnection

DISCONNECT_POLL_INTERVAL_S = 0.05


class DisconnectWatcher:
    """Polls connections on which reading is paused, since the event loop does not report their end.

    A client that has disconnected must not keep using a slot and the capacity of a backend.
    """

    def __init__(self) -> None:
        self.paused: set[ClientConnection] = set()
        self.poll_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def watch(self, connection: ClientConnection) -> None:
        """Start polling a connection."""
        self.paused.add(connection)
        self._schedule_poll()

    def unwatch(self, connection: ClientConnection) -> None:
        """Stop polling a connection, if it is polled."""
        self.paused.discard(connection)

    def poll(self) -> None:
        """Abort the connections whose clients have disconnected, with one system call for all connections.

        The others read on if a disconnect may be hidden behind their unread input.
        """
        self.poll_timer = None
        for transport in find_closed_by_peer(connection.transport for connection in self.paused):
            transport.abort()
        for connection in list(self.paused):
            connection.read_on()
        if self.paused:
            self._schedule_poll()

    def _schedule_poll(self) -> None:
        if self.poll_timer is None:
            self.poll_timer = self._loop.call_later(DISCONNECT_POLL_INTERVAL_S, self.poll)
