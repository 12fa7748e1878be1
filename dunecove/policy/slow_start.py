"""Until when a backend is cold.

The endpoint list dates the start of each backend by a wall clock. That clock, or the one by which this proxy
was started, may be off by seconds or an hour, so a date alone proves nothing. What proves a start is a date
that is new to a process that held a list before. Dates in the first lists can only be compared with one
another. Times are milliseconds of the proxy's own clock, which runs evenly.
"""

from __future__ import annotations

from math import inf

# Longest delay of an update: by a right clock, a start that is new in it is no older than this.
MAX_UPDATE_DELAY_MS = 15_000.0


class SlowStart:
    """The cold backends, each with the time at which it is warm."""

    def __init__(self, slow_start_ms: float) -> None:
        self.is_clock_plausible = False  # a start was heard of that was neither in the future nor long past
        self._slow_start_ms = slow_start_ms
        self._cold_until: dict[str, float] = {}
        # Starts in the first lists that by this proxy's clock are long past or in the future. The newest one
        # is in the past for sure, so the others have a least age.
        self._unproven_starts: dict[str, float] = {}
        self._newest_start = -inf
        self._newest_heard_at = 0.0

    def cold_until(self, backend_id: str) -> float:
        """Return when a backend is warm; 0 for one that is not known to be cold."""
        started_at = self._unproven_starts.get(backend_id)
        if started_at is None:
            return self._cold_until.get(backend_id, 0.0)
        if self.is_clock_plausible and started_at <= self._newest_heard_at:
            return 0.0  # long past by a clock that can be believed
        return self._newest_heard_at + self._slow_start_ms - (self._newest_start - started_at)

    def record_restart(self, now: float, backend_id: str, started_at: float | None) -> None:
        """Record a start that is new to a process that held a list without it."""
        self.forget(backend_id)
        if started_at is None or self._slow_start_ms <= 0:
            return
        plausible = now - min(MAX_UPDATE_DELAY_MS, self._slow_start_ms) <= started_at <= now
        self.is_clock_plausible = self.is_clock_plausible or plausible
        self._cold_until[backend_id] = (started_at if plausible else now) + self._slow_start_ms

    def record_first_update(self, now: float, backend_id: str, started_at: float | None) -> None:
        """Record a start from the first update of discovery, that the cached list did not have.

        How old the cached list was is not known.
        """
        if started_at is not None and now - self._slow_start_ms < started_at <= now:
            self.record_restart(now, backend_id, started_at)
        else:
            self.record_cached(now, backend_id, started_at)

    def record_cached(self, now: float, backend_id: str, started_at: float | None) -> None:
        """Record a start from the list that this process began with."""
        self.forget(backend_id)
        if started_at is None or self._slow_start_ms <= 0:
            return
        if now - self._slow_start_ms < started_at <= now:
            self.is_clock_plausible = True
            self._cold_until[backend_id] = started_at + self._slow_start_ms
            return
        self._unproven_starts[backend_id] = started_at
        if started_at > self._newest_start:
            self._newest_start = started_at
            self._newest_heard_at = now

    def forget(self, backend_id: str) -> None:
        """Drop a backend that is warm or was removed."""
        self._cold_until.pop(backend_id, None)
        self._unproven_starts.pop(backend_id, None)

    def prune(self, now: float) -> None:
        """Drop the backends that are warm by now."""
        known = [*self._cold_until, *self._unproven_starts]
        for backend_id in [backend_id for backend_id in known if self.cold_until(backend_id) <= now]:
            self.forget(backend_id)
