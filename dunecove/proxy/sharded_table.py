"""A table of all backends by id that stays cheap to grow."""

from __future__ import annotations

from collections.abc import Iterator
from zlib import crc32

SHARD_COUNT = 256


class ShardedTable:
    """A mapping from backend ids to encoded entries that is made of many small ones.

    A single dict of so many entries copies all of them at once as it grows, which holds up requests. The
    values are bytes, which the garbage collector does not traverse.
    """

    def __init__(self) -> None:
        self.shards: list[dict[str, bytes]] = [{} for _ in range(SHARD_COUNT)]

    def shard_of(self, backend_id: str) -> dict[str, bytes]:
        """The shard that has, or would have, the entry of this backend."""
        return self.shards[crc32(backend_id.encode()) % SHARD_COUNT]

    def get(self, backend_id: str) -> bytes | None:
        """The entry of this backend; None if there is none."""
        return self.shards[crc32(backend_id.encode()) % SHARD_COUNT].get(backend_id)

    def __iter__(self) -> Iterator[str]:
        for shard in self.shards:
            yield from shard

    def __len__(self) -> int:
        return sum(map(len, self.shards))
