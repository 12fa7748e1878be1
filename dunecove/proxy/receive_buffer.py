"""Bytes of a client that have been read and not been parsed yet, each with the time at which it came."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class Chunk(NamedTuple):
    """What was read at once."""

    data: bytes
    arrived: float  # ms of `now_ms`


class ReadAhead:
    """Chunks in their order. A request that waits here behind others uses up its client's time as it does."""

    def __init__(self) -> None:
        self.chunks: deque[Chunk] = deque()
        self.size = 0  # bytes of all chunks

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes, arrived: float) -> None:
        self.chunks.append(Chunk(data, arrived))
        self.size += len(data)

    def take(self, most: int) -> Chunk:
        """Up to `most` bytes that came at one time; IndexError if there are none."""
        data, arrived = self.chunks.popleft()
        if len(data) > most:
            self.chunks.appendleft(Chunk(data[most:], arrived))
            data = data[:most]
        self.size -= len(data)
        return Chunk(data, arrived)

    def clear(self) -> None:
        self.chunks.clear()
        self.size = 0
