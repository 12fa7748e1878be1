"""The usual latency of responses, overall and by class, and the work rate of each kind of hardware."""

from __future__ import annotations

from dunecove.policy.request import Request
from dunecove.policy.smoothing import LATENCY_WEIGHT, ewma, latency_ewma

EXPECTED_MAX_DEVIATIONS = 3.0  # above the usual latency, up to which an attempt is an ordinary one
MIN_LATENCY_MS = 0.001  # less is below the clock's resolution; nothing may be divided by zero
# Weight of one response in a kind's work rate; a sparse proxy sees few.
WORK_RATE_WEIGHT = 1 / 32
SPARSE_WORK_RATE_WEIGHT = 1 / 10


class ClassLatency:
    """The latency of one request class, smoothed, in ms."""

    __slots__ = ("deviation_ms", "mean_ms")

    def __init__(self) -> None:
        self.mean_ms = 0.0
        self.deviation_ms = 0.0

    def record(self, latency_ms: float) -> None:
        """Learn from a response, or from an abandoned attempt."""
        if self.mean_ms:
            deviation_ms = abs(latency_ms - self.mean_ms)
            self.deviation_ms = ewma(self.deviation_ms, deviation_ms, LATENCY_WEIGHT)
        else:
            self.deviation_ms = latency_ms / 2
        self.mean_ms = latency_ewma(self.mean_ms, latency_ms)


class LatencyTracker:
    """Smoothed latencies of all backends together."""

    def __init__(self, class_count: int, is_sparse: bool) -> None:
        self.overall_ms = 0.0
        self.work_rates: dict[int, float] = {}  # ms of latency per ms of hinted work, by kind of hardware
        self._by_class = [ClassLatency() for _ in range(class_count)]
        self._work_rate_weight = SPARSE_WORK_RATE_WEIGHT if is_sparse else WORK_RATE_WEIGHT

    def class_latency_ms(self, class_index: int) -> float:
        """Return the usual latency of a class; 0 before its first response."""
        return self._by_class[class_index].mean_ms

    def capped_class_latency_ms(self, request: Request) -> float:
        """Return the usual latency of a request's class, at most half its objective."""
        return min(self.class_latency_ms(request.class_index), request.queue.objective_ms / 2)

    def expected_max_latency_ms(self, request: Request) -> float:
        """Return how long an attempt may take and still be an ordinary one.

        It is at most half the objective: were the usual latency above the objective, nothing would ever be
        sent again and the latency never be corrected.
        """
        usual = self._by_class[request.class_index]
        ordinary_ms = usual.mean_ms + EXPECTED_MAX_DEVIATIONS * usual.deviation_ms
        return min(ordinary_ms, request.queue.objective_ms / 2)

    def record_response(self, request: Request, latency_ms: float) -> float:
        """Learn from a response; return its class's usual latency."""
        request.queue.record_latency(latency_ms)
        class_latency = self._by_class[request.class_index]
        class_latency.record(latency_ms)
        self.overall_ms = latency_ewma(self.overall_ms, latency_ms)
        return class_latency.mean_ms

    def record_abandoned(self, request: Request, latency_ms: float) -> None:
        """Learn from an abandoned attempt, for its class alone.

        Were only responses counted, each abandoned attempt would make the next one look later still.
        """
        self._by_class[request.class_index].record(latency_ms)

    def record_work_rate(self, kind: int, work_rate: float) -> None:
        """Learn the work rate of a kind of hardware; of one backend alone there are too few responses.

        It is smoothed by its logarithm, since a hint may be tenfold off either way.
        """
        known = self.work_rates.get(kind, work_rate)
        self.work_rates[kind] = known * (work_rate / known) ** self._work_rate_weight

    def record_min_work_rate(self, kind: int, work_rate: float) -> None:
        """Learn that a kind's work rate is at least this, as from a timeout."""
        self.record_work_rate(kind, max(work_rate, self.work_rates.get(kind, 0.0)))

    def fastest_work_rate(self) -> float:
        """Return the work rate of the fastest kind; 0 if none is known."""
        return min(self.work_rates.values(), default=0.0)
