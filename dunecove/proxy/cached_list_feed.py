"""Feeds the proxy's endpoint list to a new balancer, a slice in each step."""

from __future__ import annotations

from collections.abc import Iterable

from dunecove.policy.events import BackendListUpdate, ListUpdateKind
from dunecove.policy.models import BackendInfo
from dunecove.proxy.connection_pool import ConnectionPool
from dunecove.proxy.long_list import ENDPOINTS_PER_SLICE


class CachedListFeed:
    """The backends that the balancer has still to hear of.

    A long list in one step would hold up requests.
    """

    def __init__(self, connection_pool: ConnectionPool) -> None:
        """Read the backends' present entries from `connection_pool` as each slice is fed."""
        self._connection_pool = connection_pool
        self._pending: list[str] = []  # ids, the next one last

    @property
    def is_done(self) -> bool:
        """The balancer has heard of all."""
        return not self._pending

    def start(self, backend_ids: Iterable[str]) -> BackendListUpdate:
        """Begin anew with these backends, in their order; return the first update."""
        self._pending = list(backend_ids)[::-1]
        return BackendListUpdate(ListUpdateKind.CACHED, self._next_slice())

    def next_update(self) -> BackendListUpdate:
        """Return the next update, while the feed is not done."""
        return BackendListUpdate(ListUpdateKind.CACHED_CONTINUED, self._next_slice())

    def _next_slice(self) -> tuple[BackendInfo, ...]:
        slice_ids = self._pending[-ENDPOINTS_PER_SLICE:][::-1]
        del self._pending[-ENDPOINTS_PER_SLICE:]
        return self._connection_pool.backend_infos(slice_ids)
