"""Distributes the outcome of an attempt to the components that learn from it."""

from __future__ import annotations

from dunecove.policy.actions import BackendEjected
from dunecove.policy.backend import LOAD_FAILURES, Backend
from dunecove.policy.bandit import Bandit
from dunecove.policy.concurrency_limit import FAILURE_REDUCE_FACTOR, SharedSaturation
from dunecove.policy.events import AttemptEnded
from dunecove.policy.in_flight_limit import InFlightLimit
from dunecove.policy.latency_tracker import MIN_LATENCY_MS, LatencyTracker
from dunecove.policy.models import AttemptResult
from dunecove.policy.outlier_detection import OutlierDetector
from dunecove.policy.request import Request
from dunecove.policy.settings import Settings
from dunecove.policy.subsetting import BackendSet

# Results of attempts that this proxy stopped waiting for.
_ABANDONED = (AttemptResult.TIMEOUT, AttemptResult.CANCELLED)
# Results caused by this proxy or the client, which give no information about the backend.
_NOT_CAUSED_BY_BACKEND = (
    AttemptResult.CANCELLED,
    AttemptResult.WITHDRAWN,
    AttemptResult.NO_LOCAL_RESOURCE,
    AttemptResult.BAD_REQUEST,
)


class Feedback:
    """Passes the outcomes of attempts to the components that learn from them."""

    def __init__(
        self,
        settings: Settings,
        backends: BackendSet,
        latencies: LatencyTracker,
        in_flight_limit: InFlightLimit,
        bandit: Bandit,
        outliers: OutlierDetector,
    ) -> None:
        self._is_sparse = settings.is_sparse_tier
        self._backends = backends
        self._latencies = latencies
        self._in_flight_limit = in_flight_limit
        self._bandit = bandit
        self._outliers = outliers
        self._saturation = SharedSaturation()

    def record(
        self, now: float, request: Request, backend: Backend, event: AttemptEnded
    ) -> BackendEjected | None:
        """Record the outcome of an attempt; return the action that logs an ejection, or None."""
        result = event.result
        latency_ms = max(event.latency_ms, MIN_LATENCY_MS)
        if result in _ABANDONED:
            max_latency_ms = self._latencies.expected_max_latency_ms(request)
            self._latencies.record_abandoned(request, latency_ms)
            if latency_ms < max_latency_ms:  # a successful attempt may take as long
                return None
        if result in _NOT_CAUSED_BY_BACKEND:
            return None
        objective_ms = request.queue.objective_ms
        if self._is_sparse:
            subset = self._backends.subset
            self._in_flight_limit.record_outcome(result, latency_ms, objective_ms, backend, subset)
        # The latency excludes the wait in the queue, which the backend does not cause.
        self._bandit.record_outcome(backend, result is AttemptResult.OK and latency_ms <= objective_ms)
        if result is AttemptResult.OK:
            self._record_response(now, request, backend, latency_ms)
            return None
        if result in LOAD_FAILURES:
            backend.reduce_limit(FAILURE_REDUCE_FACTOR)
            if self._is_sparse and request.work_hint_ms > 0 and backend.cold_until <= now:
                self._latencies.record_min_work_rate(backend.kind, latency_ms / request.work_hint_ms)
        return self._outliers.record_failure(now, backend, result)

    def _record_response(self, now: float, request: Request, backend: Backend, latency_ms: float) -> None:
        self._outliers.record_success(now, backend)
        backend.record_response(now)
        class_latency_ms = self._latencies.record_response(request, latency_ms)
        if request.work_hint_ms > 0 and backend.cold_until <= now:
            self._latencies.record_work_rate(backend.kind, latency_ms / request.work_hint_ms)
        saturation = min(latency_ms / request.queue.objective_ms, 1.0)
        if not self._is_sparse:
            self._saturation.record(saturation, self._backends.active)
        # Classes differ in their mean latency: scaled to the overall mean, a series of requests of a slow
        # class does not look like requests waiting in the backend.
        backend.record_latency(latency_ms * self._latencies.overall_ms / class_latency_ms, saturation)
