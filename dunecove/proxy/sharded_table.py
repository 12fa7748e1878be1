"""A table of backends by id that grows without long pauses."""

from __future__ import annotations

from collections.abc import Iterator
from zlib import crc32

SHARD_COUNT = 256


class ShardedTable:
    """A mapping from backend ids to encoded entries, split into many small dicts.

    A single large dict copies all its entries at once when it grows, which delays requests. The values are
    bytes because the garbage collector does not traverse them.
    """

    def __init__(self) -> None:
        self.shards: list[dict[str, bytes]] = [{} for _ in range(SHARD_COUNT)]

    def shard_of(self, backend_id: str) -> dict[str, bytes]:
        """Return the shard that holds, or would hold, the entry of a backend."""
        return self.shards[crc32(backend_id.encode()) % SHARD_COUNT]

    def get(self, backend_id: str) -> bytes | None:
        """Return the entry of a backend, or None if there is none."""
        return self.shards[crc32(backend_id.encode()) % SHARD_COUNT].get(backend_id)

    def __iter__(self) -> Iterator[str]:
        for shard in self.shards:
            yield from shard

    def __len__(self) -> int:
        return sum(map(len, self.shards))
