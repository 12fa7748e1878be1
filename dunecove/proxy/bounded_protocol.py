"""A protocol that decides how many bytes the event loop may read at once, and takes turns with others."""

from __future__ import annotations

import asyncio

# Read at once by any connection at most. What is left in the kernel keeps no arrival time of its own.
READ_BYTES = 256 * 1024

# One buffer serves all connections: the event loop fills it and passes it on before the next read.
_shared_buffer = memoryview(bytearray(READ_BYTES))


class BoundedProtocol(asyncio.BufferedProtocol):
    """Reads up to `read_bytes` at once, and lets other connections read before it reads more."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.is_reading_paused = False
        self.may_have_unread_input = False  # the last read was full, so that the kernel may hold more
        self._offered_bytes = 0

    def read_bytes(self) -> int:
        """Return how many bytes may be read now; at least 1."""
        return READ_BYTES

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next read; called by the event loop."""
        self._offered_bytes = min(self.read_bytes(), READ_BYTES)
        return _shared_buffer[: self._offered_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle a read; called by the event loop."""
        self.may_have_unread_input = nbytes == self._offered_bytes
        self.data_received(bytes(_shared_buffer[:nbytes]))
        if self.may_have_unread_input and self.transport is not None and not self.transport.is_closing():
            # The event loop would go on to read from this connection alone for as long as bytes arrive.
            self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._take_turn)

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading`."""
        self.is_reading_paused = True
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self.is_reading_paused = False
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _take_turn(self) -> None:
        if not self.is_reading_paused:
            self.resume_reading()
