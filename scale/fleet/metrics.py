"""Metrics of a simulated proxy: resource use per second, list revisions and counters."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from contextvars import ContextVar
from enum import StrEnum


class Count(StrEnum):
    """Counters of each proxy; the values are keys in the JSON output."""

    REQUESTS = "requests"
    SERVED = "served"
    REJECTED = "refused"  # ended by the balancer's action `Reject`
    FAILED = "failed"  # ended by the balancer's action `Fail`
    UNANSWERED = "unanswered"  # ended by the deadline
    FORWARDS = "sends"
    FORWARDS_AFTER_DRAIN_GRACE = "sends after grace"  # to a backend that drains or is removed
    FORWARDS_TO_STOPPED = "sends to gone"
    FORWARDS_TO_COLD = "sends to cold"
    FAILED_DISCOVERY_CALLS = "failed calls"
    BALANCER_ERRORS = "module exceptions"


class PerSecondSeries:
    """Amounts per whole second of the run; 0 for seconds without any."""

    def __init__(self) -> None:
        self._amounts: list[float] = []

    def add(self, second: int, amount: float) -> None:
        """Add `amount` to a second, which is counted from the start of the run."""
        if second >= len(self._amounts):
            self._amounts.extend([0.0] * (second + 1 - len(self._amounts)))
        self._amounts[second] += amount

    def at(self, second: int) -> float:
        """Return the amount of a second."""
        return self._amounts[second] if second < len(self._amounts) else 0.0


class RevisionTimes:
    """Revisions of the list with the time (s) at which each was recorded, both in ascending order."""

    def __init__(self) -> None:
        self._revisions: list[int] = []
        self._times: list[float] = []

    @property
    def latest(self) -> int | None:
        """The latest revision; None if there is none."""
        return self._revisions[-1] if self._revisions else None

    def record(self, revision: int, now: float) -> None:
        """Record a revision if it is newer than the latest one."""
        if self.latest is None or revision > self.latest:
            self._revisions.append(revision)
            self._times.append(now)

    def first_at(self, revision: int) -> float | None:
        """Return the time at which that revision or a later one was first recorded; None if none was."""
        index = bisect_left(self._revisions, revision)
        return self._times[index] if index < len(self._times) else None


class ProxyMetrics:
    """Metrics of one proxy; bytes are those of HTTP, without TCP/IP headers."""

    def __init__(self) -> None:
        self.cpu_s = PerSecondSeries()
        self.http_bytes = PerSecondSeries()
        self.counts: Counter[str] = Counter()  # by Count; failed discovery calls also by reason
        self.restart(0.0)

    def restart(self, now: float) -> None:
        """Reset the start time to `now` (s) and drop the revisions, since a new process has none."""
        self.started_at = now
        self.notified = RevisionTimes()  # revisions of complete discovery responses
        self.applied = RevisionTimes()  # revisions passed to the balancer


CURRENT_METRICS: ContextVar[ProxyMetrics | None] = ContextVar("CURRENT_METRICS", default=None)
"""Metrics of the proxy whose callback runs; inherited by tasks, timers and connections.

None while a callback of the simulation itself runs.
"""
