"""The backends that a proxy subscribes to, and the subset of these that it sends requests to.

Each proxy ranks all backends by rendezvous hash and keeps state only of the first ones, the subscribed
backends: no cost grows with the number of others. A sparse proxy sends requests to only a few of these, and
to more as its traffic grows: it learns about a few backends quickly, and each one has few connections.
"""

from __future__ import annotations

from collections.abc import Sequence

from dunecove.policy import rendezvous_hash
from dunecove.policy.backend import Backend
from dunecove.policy.in_flight_limit import InFlightLimit
from dunecove.policy.models import BackendInfo, BackendState
from dunecove.policy.request_queue import RequestQueue
from dunecove.policy.settings import Settings
from dunecove.policy.slow_start_budget import SlowStartBudget
from dunecove.policy.unsubscribed_backends import Rank, UnsubscribedBackends

MIN_SUBSET = 8  # backends; with a few requests per second a sparse proxy cannot learn about more in time
MIN_SUBSCRIBED = 256  # backends with state; of a sparse proxy twice its subset if that is more
SUBSCRIBED_SLACK = 64  # backends above the wanted number before some are unsubscribed: the list changes often
SUBSCRIPTION_DECAY = 0.9  # factor per second on the number of subscribed backends as load falls
BACKENDS_PER_REQUEST = 2  # dense tier: backends subscribed per request that is queued or in flight here
MAX_SUBSCRIBE_STEP = 128  # dense tier: backends subscribed at once


def _rank_of(backend: Backend) -> Rank:
    return backend.rank, backend.id


class BackendSet:
    """The subscribed backends, which this proxy keeps state of, its subset, and the unsubscribed ones."""

    def __init__(
        self,
        settings: Settings,
        queues: Sequence[RequestQueue],
        in_flight: InFlightLimit,
        slow_start_budget: SlowStartBudget,
    ) -> None:
        self._settings = settings
        self._is_sparse = settings.is_sparse_tier
        self._queues = queues
        self._in_flight = in_flight
        self._slow_start_budget = slow_start_budget
        self._by_hash: dict[int, list[Backend]] = {}  # two names rarely have the same hash
        self._rank_boundary: Rank = (0, "")  # all active backends up to this rank are subscribed
        self._max_subscribed = MIN_SUBSCRIBED  # number of backends to subscribe to, without the slack
        self.by_id: dict[str, Backend] = {}  # the subscribed backends, in any state
        self.active: list[Backend] = []  # the subscribed backends that are active
        self.unsubscribed = UnsubscribedBackends(settings.proxy_index)
        self.listed_count = 0  # active backends in the whole list
        self.subset: list[Backend] = []  # the backends that requests are sent to
        self.subset_size = 0  # of a sparse proxy: wanted size of the subset
        self.cold_subset: list[Backend] = []  # backends that were cold when the subset was chosen
        self.sparse_backend_limit = 0.0  # of a sparse proxy: minimum concurrency limit of each backend

    def find_by_hash(self, name_hash: int) -> Sequence[Backend]:
        """Return the subscribed backends whose names have this hash, the oldest subscription first."""
        return self._by_hash.get(name_hash, ())

    def proxies_per_backend(self) -> float:
        """Return the mean number of sparse proxies that have the same backend in their subset, at least 1."""
        return max(1.0, self._settings.proxy_count * self.subset_size / max(self.listed_count, 1))

    # Updates of the endpoint list

    def begin_snapshot(self, listed: set[str]) -> list[str]:
        """Remove the subscribed backends that are not listed, and all unsubscribed ones.

        The snapshot's entries add the unsubscribed ones again. Return the names of the removed backends that
        were subscribed.
        """
        removed = [backend for name, backend in self.by_id.items() if name not in listed]
        for backend in removed:
            self._remove(backend, BackendState.REMOVED)
        self.unsubscribed = UnsubscribedBackends(self._settings.proxy_index)
        return [backend.id for backend in removed]

    def apply_entry(self, now: float, entry: BackendInfo) -> None:
        """Apply an entry of the list; call `refresh_active` after the last entry."""
        backend = self.by_id.get(entry.backend_id)
        if backend is not None and entry.state is BackendState.REMOVED:
            self._remove(backend, BackendState.REMOVED)
        elif backend is not None or (not self.unsubscribed.count and entry.state is not BackendState.REMOVED):
            self._add_or_update(now, entry)
        elif entry.state is not BackendState.ACTIVE:
            self.unsubscribed.pop(entry.backend_id)
        elif self.unsubscribed.rank(entry.backend_id) > self._rank_boundary:
            self.unsubscribed.put(entry)
        else:
            self._add_or_update(now, entry)
        if self._has_too_many_subscribed():
            self._trim_subscribed()

    def subscribe(self, now: float, names: Sequence[str]) -> None:
        """Subscribe to further backends by name; names that are not unsubscribed backends are ignored."""
        for name in names:
            entry = self.unsubscribed.pop(name)
            if entry is not None:
                self._add_or_update(now, entry)
        self.refresh_active()

    def refresh_active(self) -> None:
        """Update `active` and `listed_count` after a change of the backends."""
        self.active = [backend for backend in self.by_id.values() if backend.state is BackendState.ACTIVE]
        self.listed_count = len(self.active) + self.unsubscribed.count

    def _add_or_update(self, now: float, entry: BackendInfo) -> None:
        backend = self.by_id.get(entry.backend_id)
        if backend is None:
            backend = Backend(entry, self._settings.proxy_count)
            rank_key = rendezvous_hash.proxy_key(self._settings.proxy_index)
            backend.rank = rendezvous_hash.hash_pair(rank_key, backend.name_hash)
            self.by_id[entry.backend_id] = backend
            self._by_hash.setdefault(backend.name_hash, []).append(backend)
        else:
            backend.update(entry)
        if entry.started_at != backend.started_at:
            backend.reset()
            backend.started_at = entry.started_at
            self._slow_start_budget.update_cold_until(now, backend)

    def _remove(self, backend: Backend, state: BackendState) -> None:
        del self.by_id[backend.id]
        backend.state = state
        same_hash = self._by_hash[backend.name_hash]
        same_hash.remove(backend)
        if not same_hash:
            del self._by_hash[backend.name_hash]

    # The subset and the subscribed backends

    def choose_subset(self, now: float) -> None:
        """Choose the backends that requests are sent to.

        The subset includes backends of all zones, as the proxies of one zone alone would leave its backends
        half idle or overload them. It includes cold ones, as after a release most backends are cold.
        """
        if self._is_sparse:
            self.subset_size = max(MIN_SUBSET, int(2 * (self._in_flight.limit + 1)))
        self._subscribe_more(now)
        self.subset = self.active
        if self._is_sparse:
            ranked = sorted(self.active, key=lambda backend: backend.rank)
            available = [backend for backend in ranked if backend.ejected_until <= now]
            self.subset = available[: self.subset_size] or ranked
            self.sparse_backend_limit = max(1.0, self._in_flight.limit / max(len(self.subset), 1))
        self.cold_subset = [backend for backend in self.subset if backend.cold_until > now]

    def shrink_subscriptions(self) -> None:
        """Reduce the number of subscribed backends after a rise under load; call it once per second."""
        self._max_subscribed = int(self._max_subscribed * SUBSCRIPTION_DECAY)

    def _subscribe_more(self, now: float) -> None:
        """Subscribe to the next backends by rank after others have left the list, or as load grows."""
        self._max_subscribed = max(MIN_SUBSCRIBED, self._wanted_subscriptions(now), self._max_subscribed)
        if self.unsubscribed.count and len(self.active) < self._max_subscribed:
            names = self.unsubscribed.first(self._max_subscribed - len(self.active))
            self.subscribe(now, names)
            self._rank_boundary = max(self._rank_boundary, self.unsubscribed.rank(names[-1]))
        if self._has_too_many_subscribed():
            self._trim_subscribed()
            self.refresh_active()

    def _wanted_subscriptions(self, now: float) -> int:
        """Return the number of backends to subscribe to.

        A sparse proxy wants twice its subset, as up to half of the backends may be ejected. In a dense tier a
        proxy sends requests to all subscribed backends, so it wants more as it has more requests: none should
        be queued while a backend is idle.
        """
        if self._is_sparse:
            return 2 * self.subset_size
        unavailable = sum(max(backend.cold_until, backend.ejected_until) > now for backend in self.active)
        request_count = self._in_flight.count + sum(len(queue) for queue in self._queues)
        wanted = BACKENDS_PER_REQUEST * request_count + min(unavailable, 2 * MIN_SUBSCRIBED)
        return min(wanted, len(self.active) + MAX_SUBSCRIBE_STEP)

    def _has_too_many_subscribed(self) -> bool:
        return len(self.by_id) > self._max_subscribed + SUBSCRIBED_SLACK

    def _trim_subscribed(self) -> None:
        """Drop the draining backends; unsubscribe the last ones by rank that have no request in flight."""
        for backend in [b for b in self.by_id.values() if b.state is not BackendState.ACTIVE]:
            self._remove(backend, BackendState.DRAINING)
        if len(self.by_id) <= self._max_subscribed:
            return
        ranked = sorted(self.by_id.values(), key=_rank_of)
        last_rank = _rank_of(ranked[: self._max_subscribed][-1])
        self._rank_boundary = min(self._rank_boundary, last_rank) if self.unsubscribed.count else last_rank
        for backend in ranked[self._max_subscribed :]:
            if backend.in_flight == 0:
                self._remove(backend, BackendState.ACTIVE)
                self.unsubscribed.put(backend.info())
