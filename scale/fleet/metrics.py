"""What one simulated proxy used, was notified of and did, second by second."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from contextvars import ContextVar
from enum import StrEnum


class Count(StrEnum):
    """What is counted of each proxy; the values are keys of the JSON."""

    REQUESTS = "requests"
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    UNANSWERED = "unanswered"
    FORWARDS = "sends"
    FORWARDS_AFTER_GRACE = "sends after grace"
    FORWARDS_TO_GONE = "sends to gone"
    FORWARDS_TO_COLD = "sends to cold"
    FAILED_CALLS = "failed calls"
    BALANCER_ERRORS = "module exceptions"


class PerSecondSeries:
    """Amounts by whole second of the run; seconds without any are 0."""

    def __init__(self) -> None:
        self._amounts: list[float] = []

    def add(self, second: int, amount: float) -> None:
        """Add to the amount of a second, counted from the start of the run."""
        if second >= len(self._amounts):
            self._amounts.extend([0.0] * (second + 1 - len(self._amounts)))
        self._amounts[second] += amount

    def at(self, second: int) -> float:
        """Return the amount of a second."""
        return self._amounts[second] if second < len(self._amounts) else 0.0


class RevisionTimes:
    """Revisions of the list with the time (s) at which each came, both rising."""

    def __init__(self) -> None:
        self._revisions: list[int] = []
        self._times: list[float] = []

    @property
    def latest(self) -> int | None:
        """The last revision that came."""
        return self._revisions[-1] if self._revisions else None

    def record(self, revision: int, now: float) -> None:
        """Record a revision if it is newer than all before."""
        if self.latest is None or revision > self.latest:
            self._revisions.append(revision)
            self._times.append(now)

    def first_at(self, revision: int) -> float | None:
        """Return when that revision or a later one came first; None if none has."""
        index = bisect_left(self._revisions, revision)
        return self._times[index] if index < len(self._times) else None


class ProxyMetrics:
    """One proxy's figures. Processor time is in seconds; bytes are those of HTTP, with no TCP/IP headers."""

    def __init__(self) -> None:
        self.cpu_s = PerSecondSeries()
        self.http_bytes = PerSecondSeries()
        self.counts: Counter[str] = Counter()  # by Count, and by the reason of a failed call
        self.restart(0.0)

    def restart(self, now: float) -> None:
        """Begin a new process (at `now`, s), which has been notified of nothing and holds nothing."""
        self.started_at = now
        self.notified = RevisionTimes()  # whole answers of discovery
        self.applied = RevisionTimes()  # lists that the balancer was given


CURRENT_METRICS: ContextVar[ProxyMetrics | None] = ContextVar("CURRENT_METRICS", default=None)
"""Of the proxy whose callbacks run: tasks, timers and connections inherit it; None: the simulation's."""
