"""Which backends a proxy keeps state of, and which of these it sends to.

Each proxy has an order of its own of all backends, by rendezvous hash, and keeps state of the first ones: no
cost grows with the rest. A sparse proxy sends to a few of those only, more with more traffic: few are soon
known and have few connections each.
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

MIN_SUBSET = 8  # of a sparse proxy: with a few requests a second it learns of no more in time
MIN_SUBSCRIBED = 256  # backends with state; of a sparse proxy twice its subset, if that is more
SUBSCRIBED_SLACK = 64  # more than wanted before the last are unsubscribed: the list moves all the time
SUBSCRIBED_KEPT = 0.9  # fraction of a larger number that is kept each second when load falls
BACKENDS_PER_REQUEST = 2  # of few proxies: backends kept for each request here
MAX_SUBSCRIBE_STEP = 128  # of few proxies: backends added at once


def _rank_of(backend: Backend) -> Rank:
    return backend.rank, backend.id


class BackendSet:
    """The backends that this proxy keeps state of, its subset, and the unsubscribed ones."""

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
        self._by_hash: dict[int, list[Backend]] = {}  # hardly ever two
        self._rank_boundary: Rank = (0, "")  # backends up to it have state
        self._max_subscribed = MIN_SUBSCRIBED  # how many to keep state of, but for the slack
        self.by_id: dict[str, Backend] = {}  # those with state
        self.active: list[Backend] = []  # of these
        self.unsubscribed = UnsubscribedBackends(settings.proxy_index)
        self.listed_count = 0  # active ones of the whole list
        self.subset: list[Backend] = []  # those it sends to
        self.subset_size = 0  # of a sparse proxy: how many it wants
        self.cold_subset: list[Backend] = []  # those that were cold as the subset was chosen
        self.sparse_backend_limit = 0.0  # of a sparse proxy: least limit of each backend

    def find_by_hash(self, name_hash: int) -> Sequence[Backend]:
        """Return the backends with state whose names have this hash, the oldest first."""
        return self._by_hash.get(name_hash, ())

    def proxies_per_backend(self) -> float:
        """Return how many sparse proxies share a backend; 1 at least."""
        return max(1.0, self._settings.proxy_count * self.subset_size / max(self.listed_count, 1))

    # What the endpoint list says

    def begin_snapshot(self, listed: set[str]) -> list[str]:
        """Remove the backends with state that are not listed, and all unsubscribed ones.

        The snapshot's entries add them again. Return the names of those removed that had state.
        """
        removed = [backend for name, backend in self.by_id.items() if name not in listed]
        for backend in removed:
            self._remove(backend, BackendState.REMOVED)
        self.unsubscribed = UnsubscribedBackends(self._settings.proxy_index)
        return [backend.id for backend in removed]

    def apply_entry(self, now: float, entry: BackendInfo) -> None:
        """Apply an entry of the list. `refresh_active` has to follow the last one."""
        backend = self.by_id.get(entry.backend_id)
        if backend is not None and entry.state is BackendState.REMOVED:
            self._remove(backend, BackendState.REMOVED)
        elif backend is not None or (not self.unsubscribed.count and entry.state is not BackendState.REMOVED):
            self._update(now, entry)
        elif entry.state is not BackendState.ACTIVE:
            self.unsubscribed.pop(entry.backend_id)
        elif self.unsubscribed.rank(entry.backend_id) > self._rank_boundary:
            self.unsubscribed.put(entry)
        else:
            self._update(now, entry)
        if self._has_too_many():
            self._trim()

    def subscribe(self, now: float, names: Sequence[str]) -> None:
        """Keep state of these, too."""
        for name in names:
            entry = self.unsubscribed.pop(name)
            if entry is not None:
                self._update(now, entry)
        self.refresh_active()

    def refresh_active(self) -> None:
        """Find the active ones anew."""
        self.active = [backend for backend in self.by_id.values() if backend.state is BackendState.ACTIVE]
        self.listed_count = len(self.active) + self.unsubscribed.count

    def _update(self, now: float, entry: BackendInfo) -> None:
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
            self._slow_start_budget.update(now, backend)

    def _remove(self, backend: Backend, state: BackendState) -> None:
        del self.by_id[backend.id]
        backend.state = state
        alike = self._by_hash[backend.name_hash]
        alike.remove(backend)
        if not alike:
            del self._by_hash[backend.name_hash]

    # The subset and the subscribed backends

    def choose_subset(self, now: float) -> None:
        """Choose anew which backends it sends to.

        Of any zone, and cold ones too: after a release they are most of what there is, and one zone's proxies
        alone would leave its backends half idle or overload them.
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
        """Let the number of subscribed backends, raised under load, shrink by a second."""
        self._max_subscribed = int(self._max_subscribed * SUBSCRIBED_KEPT)

    def _subscribe_more(self, now: float) -> None:
        """Keep state of the first by rank: as some of them leave the list, or load grows, the next follow."""
        self._max_subscribed = max(MIN_SUBSCRIBED, self._wanted_subscriptions(now), self._max_subscribed)
        if self.unsubscribed.count and len(self.active) < self._max_subscribed:
            names = self.unsubscribed.first(self._max_subscribed - len(self.active))
            self.subscribe(now, names)
            self._rank_boundary = max(self._rank_boundary, self.unsubscribed.rank(names[-1]))
        if self._has_too_many():
            self._trim()
            self.refresh_active()

    def _wanted_subscriptions(self, now: float) -> int:
        """Of a sparse proxy twice its subset, of which at most half are ejected.

        Few proxies send to all that they keep state of, so they want more the more requests they have: no
        request waits beside idle backends.
        """
        if self._is_sparse:
            return 2 * self.subset_size
        unavailable = sum(max(backend.cold_until, backend.ejected_until) > now for backend in self.active)
        load = self._in_flight.count + sum(len(queue) for queue in self._queues)
        wanted = BACKENDS_PER_REQUEST * load + min(unavailable, 2 * MIN_SUBSCRIBED)
        return min(wanted, len(self.active) + MAX_SUBSCRIBE_STEP)

    def _has_too_many(self) -> bool:
        return len(self.by_id) > self._max_subscribed + SUBSCRIBED_SLACK

    def _trim(self) -> None:
        """Forget what was learned of the last by rank, but for those in use."""
        for backend in [b for b in self.by_id.values() if b.state is not BackendState.ACTIVE]:
            self._remove(backend, BackendState.DRAINING)
        if len(self.by_id) <= self._max_subscribed:
            return
        ranked = sorted(self.by_id.values(), key=_rank_of)
        last = _rank_of(ranked[: self._max_subscribed][-1])
        self._rank_boundary = min(self._rank_boundary, last) if self.unsubscribed.count else last
        for backend in ranked[self._max_subscribed :]:
            if backend.in_flight == 0:
                self._remove(backend, BackendState.ACTIVE)
                self.unsubscribed.put(backend.info())
