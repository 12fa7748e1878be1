"""Updates of the endpoint list: which entries an update replaces, and which backends have restarted."""

from __future__ import annotations

from dunecove.policy.events import BackendListUpdate, ListUpdateKind
from dunecove.policy.in_flight_limit import InFlightLimit
from dunecove.policy.models import BackendInfo, BackendState
from dunecove.policy.slow_start import SlowStart
from dunecove.policy.slow_start_budget import SlowStartBudget
from dunecove.policy.subsetting import BackendSet
from dunecove.policy.unsubscribed_backends import UnsubscribedBackends

CACHED_KINDS = frozenset({ListUpdateKind.CACHED, ListUpdateKind.CACHED_CONTINUED})
_PARTIAL_KINDS = frozenset({ListUpdateKind.DELTA, ListUpdateKind.CACHED_CONTINUED})


class ListUpdates:
    """Applies updates of the endpoint list to the backends. Times are in ms."""

    def __init__(
        self,
        backends: BackendSet,
        slow_start: SlowStart,
        slow_start_budget: SlowStartBudget,
        in_flight: InFlightLimit,
    ) -> None:
        self._backends = backends
        self._slow_start = slow_start
        self._slow_start_budget = slow_start_budget
        self._in_flight = in_flight
        self._has_discovery_list = False  # whether an update has come from discovery

    def apply(self, now: float, update: BackendListUpdate) -> None:
        """Apply an update of any kind but FAILED."""
        backends = self._backends
        is_cached = update.kind in CACHED_KINDS
        was_clock_plausible = self._slow_start.is_clock_plausible
        previous = backends.unsubscribed
        if update.kind not in _PARTIAL_KINDS:
            for name in backends.begin_snapshot({entry.backend_id for entry in update.entries}):
                self._slow_start.forget(name)
        for entry in update.entries:
            self._record_start(now, entry, previous, is_cached)
            backends.apply_entry(now, entry)
        if (
            is_cached
            or not self._has_discovery_list
            or self._slow_start.is_clock_plausible != was_clock_plausible
        ):
            self._update_cold(now)
        self._has_discovery_list = self._has_discovery_list or not is_cached
        backends.refresh_active()
        if not backends.subset or update.kind is ListUpdateKind.CACHED_CONTINUED:
            self._in_flight.reset(backends.listed_count)
        backends.choose_subset(now)

    def _update_cold(self, now: float) -> None:
        """Update which backends are cold.

        Start times are judged by one another and by the clock, so an update may also change the state of
        backends that it does not contain.
        """
        for backend in [b for b in self._backends.by_id.values() if b.started_at is not None]:
            self._slow_start_budget.update_cold_until(now, backend)

    def _record_start(
        self, now: float, entry: BackendInfo, previous: UnsubscribedBackends, is_cached: bool
    ) -> None:
        """Record the start of a backend if it is new to this process.

        `previous` contains the backends that were unsubscribed before the update.
        """
        if entry.state is BackendState.REMOVED:
            self._slow_start.forget(entry.backend_id)
            return
        known = self._backends.by_id.get(entry.backend_id) or previous.get(entry.backend_id)
        if known is not None and known.started_at == entry.started_at:
            return
        if is_cached:
            self._slow_start.record_cached(now, entry.backend_id, entry.started_at)
        elif self._has_discovery_list:
            self._slow_start.record_restart(now, entry.backend_id, entry.started_at)
        else:
            self._slow_start.record_first_update(now, entry.backend_id, entry.started_at)
