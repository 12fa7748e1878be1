"""What the kernel holds unread of a client's connection: when it arrived, and whether it hides a close."""

from __future__ import annotations

import asyncio

from dunecove.proxy.clock import now_ms
from dunecove.proxy.socket_probe import last_data_age_ms, unread_bytes

# With no more unread bytes than these, the receive window has room for the end of the stream: they are half
# of the smallest window that Linux offers by default.
MAX_VISIBLE_UNREAD_BYTES = 32 * 1024
# Half of the time within which no attempt may begin after its client has closed its connection.
MAX_HIDDEN_MS = 50.0


class UnreadInput:
    """The unread input of one connection. Times are ms of `now_ms`.

    The end of a stream arrives after all bytes before it. While the receive window is full, the close of a
    client waits at the client's host behind these bytes, and this host can't know of it.
    """

    def __init__(self, accept_delayed_since: float = 0.0) -> None:
        """Create the state of a connection that may have waited in the backlog; 0: it has not."""
        # Since when input may be unread, because reading was paused or the last read was full; 0: none is.
        self.pending_since = 0.0
        self._accept_delayed_since = accept_delayed_since
        # The last time at which a close of the client would have been seen.
        self._close_visible_at = accept_delayed_since or now_ms()

    def arrival_time(self, transport: asyncio.Transport, is_read_full: bool) -> float:
        """Return when the bytes just read arrived at this host; the kernel may hold more after a full read.

        They may have waited in the kernel while reading was paused or the connection was not accepted.
        """
        now = now_ms()
        unread_since = self.pending_since or self._accept_delayed_since
        arrived_at = self._arrival_of_waiting(unread_since, now, transport) if unread_since else now
        if is_read_full:
            self.pending_since = arrived_at
        else:
            self._close_visible_at = now
        return arrived_at

    def _arrival_of_waiting(self, unread_since: float, now: float, transport: asyncio.Transport) -> float:
        """Return the arrival time of bytes that may have waited since `unread_since`."""
        age_ms = last_data_age_ms(transport)
        pending_since = self.pending_since
        self.pending_since = 0.0
        self._accept_delayed_since = 0.0
        if age_ms is None:
            return pending_since or now  # the earliest possible time if reading was paused
        return max(unread_since, now - age_ms)

    def mark_pending(self) -> None:
        """Record that input may stay unread from now on, since reading is paused."""
        self.pending_since = self.pending_since or now_ms()

    def mark_empty(self) -> None:
        """Record that the kernel holds no unread input."""
        self.pending_since = 0.0

    def may_hide_close(self, transport: asyncio.Transport) -> bool:
        """Return whether the kernel holds so much that a close of the client may wait behind it."""
        byte_count = unread_bytes(transport)
        if byte_count is None or byte_count > MAX_VISIBLE_UNREAD_BYTES:
            return True
        self._close_visible_at = now_ms()
        return False

    def has_hidden_close_for_long(self, transport: asyncio.Transport) -> bool:
        """Return whether the client may have closed the connection over `MAX_HIDDEN_MS` ago, unnoticed.

        The caller has checked that the kernel doesn't report a close.
        """
        return self.may_hide_close(transport) and now_ms() - self._close_visible_at > MAX_HIDDEN_MS
