"""The time at which a cold backend becomes warm.

The endpoint list gives the wall-clock time at which each backend started. That clock, or the one that this
proxy read when it started, may be wrong by seconds or by an hour, so a start time alone proves nothing. It
proves a restart if it is new to a proxy process that already had a list. Start times in the first lists of
such a process can only be compared with one another. Times are in ms of the proxy's own clock, which is
monotonic.
"""

from __future__ import annotations

from math import inf

# Maximum delay of a list update: if the clocks are right, a start that is new in an update is not older.
MAX_UPDATE_DELAY_MS = 15_000.0


class SlowStart:
    """The cold backends, each with the time at which it becomes warm."""

    def __init__(self, slow_start_ms: float) -> None:
        self.is_clock_plausible = False  # whether any start time was neither in the future nor long past
        self._slow_start_ms = slow_start_ms
        self._slow_start_ends: dict[str, float] = {}
        # Start times in the first lists that are long past or in the future by this proxy's clock. The newest
        # had certainly passed when it was received, which gives a minimum age for each of the others.
        self._unproven_starts: dict[str, float] = {}
        self._newest_start = -inf
        self._newest_received_at = 0.0

    def slow_start_end(self, backend_id: str) -> float:
        """Return the time at which a backend becomes warm; 0 if it is not known to be cold."""
        started_at = self._unproven_starts.get(backend_id)
        if started_at is None:
            return self._slow_start_ends.get(backend_id, 0.0)
        if self.is_clock_plausible and started_at <= self._newest_received_at:
            return 0.0  # long past, by a clock that was found plausible
        return self._newest_received_at + self._slow_start_ms - (self._newest_start - started_at)

    def record_restart(self, now: float, backend_id: str, started_at: float | None) -> None:
        """Record a start that is new to this proxy process, which already had a list."""
        self.forget(backend_id)
        if started_at is None or self._slow_start_ms <= 0:
            return
        is_plausible = now - min(MAX_UPDATE_DELAY_MS, self._slow_start_ms) <= started_at <= now
        self.is_clock_plausible = self.is_clock_plausible or is_plausible
        self._slow_start_ends[backend_id] = (started_at if is_plausible else now) + self._slow_start_ms

    def record_first_update(self, now: float, backend_id: str, started_at: float | None) -> None:
        """Record a start that is in the first update from discovery but not in the cached list.

        The age of the cached list is unknown, so a start that it lacks need not be recent.
        """
        if started_at is not None and now - self._slow_start_ms < started_at <= now:
            self.record_restart(now, backend_id, started_at)
        else:
            self.record_cached(now, backend_id, started_at)

    def record_cached(self, now: float, backend_id: str, started_at: float | None) -> None:
        """Record a start from the cached list, or one from the first update that need not be recent."""
        self.forget(backend_id)
        if started_at is None or self._slow_start_ms <= 0:
            return
        if now - self._slow_start_ms < started_at <= now:
            self.is_clock_plausible = True
            self._slow_start_ends[backend_id] = started_at + self._slow_start_ms
            return
        self._unproven_starts[backend_id] = started_at
        if started_at > self._newest_start:
            self._newest_start = started_at
            self._newest_received_at = now

    def forget(self, backend_id: str) -> None:
        """Discard the start of a backend that is warm or was removed."""
        self._slow_start_ends.pop(backend_id, None)
        self._unproven_starts.pop(backend_id, None)

    def prune(self, now: float) -> None:
        """Discard the starts of all backends that are warm by now."""
        known = [*self._slow_start_ends, *self._unproven_starts]
        for backend_id in [backend_id for backend_id in known if self.slow_start_end(backend_id) <= now]:
            self.forget(backend_id)
