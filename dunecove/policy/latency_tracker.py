"""Mean latencies, overall and by request class, and the work rate of each kind of hardware.

A work rate is in ms of latency per ms of hinted work (`Request.work_hint_ms`): a lower rate is faster.
"""

from __future__ import annotations

from dunecove.policy.request import Request
from dunecove.policy.smoothing import LATENCY_WEIGHT, ewma, latency_ewma

EXPECTED_MAX_DEVIATIONS = 3.0  # expected maximum latency = mean + this many mean deviations
MIN_LATENCY_MS = 0.001  # latencies below the clock's resolution are raised to it, to avoid division by zero
# Weight of one response in a kind's work rate; higher for a sparse proxy, which has few responses.
WORK_RATE_WEIGHT = 1 / 32
SPARSE_WORK_RATE_WEIGHT = 1 / 10


class ClassLatency:
    """The smoothed latency of one request class and its mean deviation, in ms."""

    __slots__ = ("deviation_ms", "mean_ms")

    def __init__(self) -> None:
        self.mean_ms = 0.0
        self.deviation_ms = 0.0

    def record(self, latency_ms: float) -> None:
        """Record the latency of a response or of an abandoned attempt."""
        if self.mean_ms:
            deviation_ms = abs(latency_ms - self.mean_ms)
            self.deviation_ms = ewma(self.deviation_ms, deviation_ms, LATENCY_WEIGHT)
        else:
            self.deviation_ms = latency_ms / 2
        self.mean_ms = latency_ewma(self.mean_ms, latency_ms)


class LatencyTracker:
    """Smoothed latencies over all backends. Times are in ms."""

    def __init__(self, class_count: int, is_sparse: bool) -> None:
        self.overall_ms = 0.0  # mean latency over all classes; 0 before the first response
        self.work_rates: dict[int, float] = {}  # ms of latency per ms of hinted work, by kind of hardware
        self._by_class = [ClassLatency() for _ in range(class_count)]
        self._work_rate_weight = SPARSE_WORK_RATE_WEIGHT if is_sparse else WORK_RATE_WEIGHT

    def class_latency_ms(self, class_index: int) -> float:
        """Return the mean latency of a class; 0 before its first response."""
        return self._by_class[class_index].mean_ms

    def capped_class_latency_ms(self, request: Request) -> float:
        """Return the mean latency of a request's class, at most half its objective."""
        return min(self.class_latency_ms(request.class_index), request.queue.objective_ms / 2)

    def expected_max_latency_ms(self, request: Request) -> float:
        """Return the expected maximum latency of an attempt, at most half its objective.

        Without that bound, a mean latency above the objective would prevent all further attempts, and so
        would never be corrected.
        """
        class_latency = self._by_class[request.class_index]
        expected_max_ms = class_latency.mean_ms + EXPECTED_MAX_DEVIATIONS * class_latency.deviation_ms
        return min(expected_max_ms, request.queue.objective_ms / 2)

    def record_response(self, request: Request, latency_ms: float) -> float:
        """Record a response; return the mean latency of its class."""
        request.queue.record_latency(latency_ms)
        class_latency = self._by_class[request.class_index]
        class_latency.record(latency_ms)
        self.overall_ms = latency_ewma(self.overall_ms, latency_ms)
        return class_latency.mean_ms

    def record_abandoned(self, request: Request, latency_ms: float) -> None:
        """Record an abandoned attempt, for its class only.

        If only responses counted, each abandoned attempt would bias the mean latency low, and the next
        attempt would seem even slower.
        """
        self._by_class[request.class_index].record(latency_ms)

    def record_work_rate(self, kind: int, work_rate: float) -> None:
        """Update the work rate of a kind of hardware with that of one response.

        Work rates are kept by kind, since a single backend has too few responses. The logarithm of the work
        rate is smoothed, since hints may be off by a factor of ten either way.
        """
        mean = self.work_rates.get(kind, work_rate)
        self.work_rates[kind] = mean * (work_rate / mean) ** self._work_rate_weight

    def record_min_work_rate(self, kind: int, work_rate: float) -> None:
        """Update the work rate of a kind with a lower bound, such as from a timeout."""
        self.record_work_rate(kind, max(work_rate, self.work_rates.get(kind, 0.0)))

    def fastest_work_rate(self) -> float:
        """Return the work rate of the fastest kind, which is the lowest rate; 0 if none is known."""
        return min(self.work_rates.values(), default=0.0)
