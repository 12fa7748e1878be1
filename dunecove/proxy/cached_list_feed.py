"""Feeds an endpoint list, cached or current, to a new balancer as a cached one, one slice per step."""

from __future__ import annotations

from collections.abc import Iterable

from dunecove.policy.events import BackendListUpdate, ListUpdateKind
from dunecove.policy.models import BackendInfo
from dunecove.proxy.connection_pool import ConnectionPool
from dunecove.proxy.long_list import ENDPOINTS_PER_SLICE


class CachedListFeed:
    """The backends that have not been passed to the balancer yet.

    Passing a long list in one step would delay requests.
    """

    def __init__(self, connection_pool: ConnectionPool) -> None:
        """Create an empty feed, which reads the current entries from `connection_pool` for each slice."""
        self._connection_pool = connection_pool
        self._pending: list[str] = []  # backend ids, the next one last

    @property
    def is_done(self) -> bool:
        """Whether all backends have been passed to the balancer."""
        return not self._pending

    def start(self, backend_ids: Iterable[str]) -> BackendListUpdate:
        """Restart the feed with these backends, in the given order, and return the first update."""
        self._pending = list(backend_ids)[::-1]
        return BackendListUpdate(ListUpdateKind.CACHED, self._next_slice())

    def next_update(self) -> BackendListUpdate:
        """Return the next update. Call this only while the feed is not done."""
        return BackendListUpdate(ListUpdateKind.CACHED_CONTINUED, self._next_slice())

    def _next_slice(self) -> tuple[BackendInfo, ...]:
        slice_ids = self._pending[-ENDPOINTS_PER_SLICE:][::-1]
        del self._pending[-ENDPOINTS_PER_SLICE:]
        return self._connection_pool.backend_infos(slice_ids)
