"""Bytes of one client that were received and not parsed yet, with the time of their arrival."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class ReceivedChunk(NamedTuple):
    """Bytes that arrived together."""

    data: bytes
    arrived_at: float  # ms of `now_ms`


class ReceiveBuffer:
    """A first-in first-out buffer of received chunks; its length is the number of bytes in it.

    A request's time budget runs from its arrival, so each chunk keeps its own time however long it waits.
    """

    def __init__(self) -> None:
        self._chunks: deque[ReceivedChunk] = deque()
        self._size_bytes = 0

    def __len__(self) -> int:
        return self._size_bytes

    def append(self, data: bytes, arrived_at: float) -> None:
        """Add bytes that arrived at that time, in ms of `now_ms`."""
        self._chunks.append(ReceivedChunk(data, arrived_at))
        self._size_bytes += len(data)

    def pop(self, max_bytes: int) -> ReceivedChunk:
        """Remove and return up to `max_bytes` bytes of one arrival; IndexError if the buffer is empty."""
        data, arrived_at = self._chunks.popleft()
        if len(data) > max_bytes:
            self._chunks.appendleft(ReceivedChunk(data[max_bytes:], arrived_at))
            data = data[:max_bytes]
        self._size_bytes -= len(data)
        return ReceivedChunk(data, arrived_at)

    def clear(self) -> None:
        """Drop everything that has not been parsed."""
        self._chunks.clear()
        self._size_bytes = 0
