"""The active backends of the endpoint list that a proxy is not subscribed to: it keeps only their entries.

They are stored in buckets by rank (see `Backend.rank`), so that most operations access a single bucket. A
bucket is keyed by name, as two names may have the same rank. Its entries are bytes, which the garbage
collector need not traverse.
"""

from __future__ import annotations

from heapq import nsmallest
from marshal import dumps, loads

from dunecove.policy import rendezvous_hash
from dunecove.policy.models import BackendInfo, BackendState, DeduplicationScope
from dunecove.policy.request_rules import Location

# Low bits of a 64-bit rank that its bucket number omits: of a list of 100,000, each of the 1024 buckets has
# about a hundred backends.
BUCKET_SHIFT = 54
ENOUGH_SCOPE_MEMBERS = 8  # number of backends in a deduplication scope that is enough for a keyed retry
_MARSHAL_VERSION = 2


SortKey = tuple[int, str]  # the rank, then the name if ranks are equal


def _encode(info: BackendInfo) -> bytes:
    """Return the fields of an active backend's entry as bytes, without its name and state."""
    fields = (info.zone, info.kind, info.cell, info.started_at, info.weight)
    return dumps(fields, _MARSHAL_VERSION)


def _decode(backend_id: str, data: bytes) -> BackendInfo:
    """Decode an entry from the bytes that `_encode` has returned."""
    return BackendInfo(backend_id, BackendState.ACTIVE, *loads(data))


class UnsubscribedBackends:
    """The entries of the unsubscribed active backends, by name."""

    def __init__(self, proxy_index: int) -> None:
        self.count = 0
        self._rank_key = rendezvous_hash.proxy_key(proxy_index)
        self._buckets: dict[int, dict[str, bytes]] = {}
        # Bit sets of the buckets that may contain backends of a zone or cell. Stale bits are cleared on use.
        self._zone_hints: dict[int, int] = {}
        self._cell_hints: dict[int, int] = {}

    def sort_key(self, backend_id: str) -> SortKey:
        """Return a backend's sort key in this proxy's order."""
        name_hash = rendezvous_hash.name_hash(backend_id)
        return rendezvous_hash.hash_pair(self._rank_key, name_hash), backend_id

    def put(self, info: BackendInfo) -> None:
        """Add the entry of an active backend, or replace it."""
        bucket_number = self._bucket_number(info.backend_id)
        bucket = self._buckets.setdefault(bucket_number, {})
        self.count += info.backend_id not in bucket
        bucket[info.backend_id] = _encode(info)
        bit = 1 << bucket_number
        self._zone_hints[info.zone] = self._zone_hints.get(info.zone, 0) | bit
        self._cell_hints[info.cell] = self._cell_hints.get(info.cell, 0) | bit

    def pop(self, backend_id: str) -> BackendInfo | None:
        """Remove a backend and return its entry; None if there is none."""
        if not self.count:
            return None
        bucket_number = self._bucket_number(backend_id)
        bucket = self._buckets.get(bucket_number, {})
        data = bucket.pop(backend_id, None)
        self.count -= data is not None
        if not bucket:
            self._buckets.pop(bucket_number, None)
        return None if data is None else _decode(backend_id, data)

    def get(self, backend_id: str) -> BackendInfo | None:
        """Return a backend's entry; None if there is none."""
        if not self.count:
            return None
        data = self._buckets.get(self._bucket_number(backend_id), {}).get(backend_id)
        return None if data is None else _decode(backend_id, data)

    def first(self, count: int) -> list[str]:
        """Return the names of the first backends by rank, in order: `count`, or all if there are fewer."""
        names: list[str] = []
        for bucket_number in sorted(self._buckets):
            if len(names) >= count:
                break
            names += nsmallest(count - len(names), self._buckets[bucket_number], key=self.sort_key)
        return names

    def scope_members(self, scope: DeduplicationScope, executed: Location) -> list[str]:
        """Return the names of some backends that share the record of a key used at `executed`."""
        if scope is DeduplicationScope.ALL:
            return self.first(ENOUGH_SCOPE_MEMBERS)
        if scope is DeduplicationScope.ZONE:
            return self._members(self._zone_hints, "zone", executed.zone)
        return self._members(self._cell_hints, "cell", executed.cell)

    def _members(self, hints: dict[int, int], field: str, group: int) -> list[str]:
        names: list[str] = []
        unvisited = hints.get(group, 0)
        while unvisited and len(names) < ENOUGH_SCOPE_MEMBERS:
            lowest_bit = unvisited & -unvisited
            unvisited ^= lowest_bit
            bucket = self._buckets.get(lowest_bit.bit_length() - 1, {})
            members = [name for name, data in bucket.items() if getattr(_decode(name, data), field) == group]
            names += members
            if not members:
                hints[group] &= ~lowest_bit
        return names

    def _bucket_number(self, backend_id: str) -> int:
        return self.sort_key(backend_id)[0] >> BUCKET_SHIFT
