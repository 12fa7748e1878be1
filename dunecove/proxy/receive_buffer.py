"""A buffer for a client's bytes that are received but not parsed yet, with their arrival times."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class ReceivedChunk(NamedTuple):
    """Bytes that arrived together."""

    data: bytes
    arrived_at: float  # in ms of `now_ms`


class ReceiveBuffer:
    """A first-in first-out buffer of received chunks; its length is the number of bytes in it.

    The budget of a request runs from its arrival, so each chunk keeps its arrival time while it is buffered.
    """

    def __init__(self) -> None:
        self._chunks: deque[ReceivedChunk] = deque()
        self._offset = 0  # bytes of the oldest chunk that have been removed
        self._size_bytes = 0

    def __len__(self) -> int:
        return self._size_bytes

    def memory_bytes(self) -> int:
        """Return how much memory the chunks take: one is kept until all of its bytes are removed."""
        return self._offset + self._size_bytes

    def append(self, data: bytes, arrived_at: float) -> None:
        """Add bytes that arrived at `arrived_at`, in ms of `now_ms`."""
        self._chunks.append(ReceivedChunk(data, arrived_at))
        self._size_bytes += len(data)

    def pop(self, max_bytes: int) -> ReceivedChunk:
        """Remove and return up to `max_bytes` of the oldest chunk; raise IndexError if there is none."""
        data, arrived_at = self._chunks[0]
        start = self._offset
        end = min(start + max_bytes, len(data))
        if end == len(data):
            self._chunks.popleft()
            self._offset = 0
        else:
            self._offset = end
        self._size_bytes -= end - start
        return ReceivedChunk(data[start:end], arrived_at)

    def clear(self) -> None:
        """Discard all buffered bytes."""
        self._chunks.clear()
        self._offset = 0
        self._size_bytes = 0
