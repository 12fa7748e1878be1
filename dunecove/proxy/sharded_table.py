"""What is held of all backends, by uid."""

from __future__ import annotations

from collections.abc import Iterator
from zlib import crc32

PARTS = 256


class Table:
    """One mapping made of many small ones: a single one of so many entries copies them all at once as it
    grows, and holds up requests for that. Its values are bytes, so the collector has no work with it."""

    def __init__(self) -> None:
        self.parts: list[dict[str, bytes]] = [{} for _ in range(PARTS)]

    def of(self, uid: str) -> dict[str, bytes]:
        return self.parts[crc32(uid.encode()) % PARTS]

    def get(self, uid: str) -> bytes | None:
        return self.parts[crc32(uid.encode()) % PARTS].get(uid)

    def __iter__(self) -> Iterator[str]:
        for part in self.parts:
            yield from part

    def __len__(self) -> int:
        return sum(map(len, self.parts))
