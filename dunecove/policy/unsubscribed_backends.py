"""The backends of the endpoint list of which a proxy keeps no state.

They lie in buckets by rank, so that most operations touch one bucket. Entries are bytes, with
which the garbage collector has no work, by name: two names may have the same rank.
"""

from __future__ import annotations

from heapq import nsmallest
from marshal import dumps, loads

from dunecove.policy import rendezvous_hash
from dunecove.policy.models import BackendInfo, BackendState, DeduplicationScope
from dunecove.policy.request_rules import Location

BUCKET_SHIFT = 54  # bits of a rank below those that tell its bucket: some hundred backends in each
ENOUGH_SCOPE_MEMBERS = 8  # looked for among them, for a keyed retry
_MARSHAL_VERSION = 2


Rank = tuple[int, str]  # a place in this proxy's order: the hash, and the name where hashes are equal


def _encode(info: BackendInfo) -> bytes:
    """Return what the list says of an active backend, but for its name."""
    traits = (info.zone, info.kind, info.cell, info.started_at, info.weight)
    return dumps(traits, _MARSHAL_VERSION)


def _decode(backend_id: str, data: bytes) -> BackendInfo:
    """Return the entry that `_encode` made these bytes of."""
    return BackendInfo(backend_id, BackendState.ACTIVE, *loads(data))


class UnsubscribedBackends:
    """The active backends beyond those that a proxy keeps state of, by name."""

    def __init__(self, proxy_index: int) -> None:
        self.count = 0
        self._rank_key = rendezvous_hash.proxy_key(proxy_index)
        self._buckets: dict[int, dict[str, bytes]] = {}
        # Which buckets may hold backends of a zone or cell, as bits: hints, corrected where they are wrong.
        self._zone_hints: dict[int, int] = {}
        self._cell_hints: dict[int, int] = {}

    def rank(self, backend_id: str) -> Rank:
        """Return a backend's place in this proxy's order."""
        number = rendezvous_hash.name_hash(backend_id)
        return rendezvous_hash.hash_pair(self._rank_key, number), backend_id

    def put(self, info: BackendInfo) -> None:
        """Add an active backend, or replace what is known of it."""
        number = self._bucket_number(info.backend_id)
        bucket = self._buckets.setdefault(number, {})
        self.count += info.backend_id not in bucket
        bucket[info.backend_id] = _encode(info)
        bit = 1 << number
        self._zone_hints[info.zone] = self._zone_hints.get(info.zone, 0) | bit
        self._cell_hints[info.cell] = self._cell_hints.get(info.cell, 0) | bit

    def pop(self, backend_id: str) -> BackendInfo | None:
        """Remove a backend and return its entry; None if it isn't here."""
        if not self.count:
            return None
        number = self._bucket_number(backend_id)
        bucket = self._buckets.get(number, {})
        data = bucket.pop(backend_id, None)
        self.count -= data is not None
        if not bucket:
            self._buckets.pop(number, None)
        return None if data is None else _decode(backend_id, data)

    def get(self, backend_id: str) -> BackendInfo | None:
        """Return a backend's entry; None if it isn't here."""
        if not self.count:
            return None
        data = self._buckets.get(self._bucket_number(backend_id), {}).get(backend_id)
        return None if data is None else _decode(backend_id, data)

    def first(self, count: int) -> list[str]:
        """Return the names of the first `count` by rank, in order; fewer if there are no more."""
        found: list[str] = []
        for number in sorted(self._buckets):
            if len(found) >= count:
                break
            found += nsmallest(count - len(found), self._buckets[number], key=self.rank)
        return found

    def scope_members(self, scope: DeduplicationScope, executed: Location) -> list[str]:
        """Return some of the backends that recognise a repeat of what ran at `executed`."""
        if scope is DeduplicationScope.ALL:
            return self.first(ENOUGH_SCOPE_MEMBERS)
        if scope is DeduplicationScope.ZONE:
            return self._members(self._zone_hints, "zone", executed.zone)
        return self._members(self._cell_hints, "cell", executed.cell)

    def _members(self, hints: dict[int, int], trait: str, group: int) -> list[str]:
        found: list[str] = []
        unseen = hints.get(group, 0)
        while unseen and len(found) < ENOUGH_SCOPE_MEMBERS:
            lowest_bit = unseen & -unseen
            unseen ^= lowest_bit
            bucket = self._buckets.get(lowest_bit.bit_length() - 1, {})
            members = [name for name, data in bucket.items() if getattr(_decode(name, data), trait) == group]
            found += members
            if not members:
                hints[group] &= ~lowest_bit
        return found

    def _bucket_number(self, backend_id: str) -> int:
        return self.rank(backend_id)[0] >> BUCKET_SHIFT
