"""Dispatch: which queued request is sent next, and whether a backend has capacity for it."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from dunecove.policy.actions import Forward
from dunecove.policy.backend import Backend
from dunecove.policy.bandit import Bandit
from dunecove.policy.in_flight_limit import InFlightLimit
from dunecove.policy.latency_tracker import LatencyTracker
from dunecove.policy.models import Idempotency
from dunecove.policy.request import Attempt, Request
from dunecove.policy.request_queue import RequestQueue
from dunecove.policy.request_rules import dedup_window_end, first_executed_attempt
from dunecove.policy.settings import Settings
from dunecove.policy.subsetting import BackendSet

UNRESPONSIVE_AFTER_LATENCIES = 2.0  # mean latencies without a response after which a backend is unresponsive
# A responsive backend above its limit reduces the sum of available concurrency by at most 1.
MIN_AVAILABLE_CONCURRENCY = -1.0
MIN_TIMEOUT_MS = 1.0


class Dispatcher:
    """Sends queued requests to backends while there is capacity."""

    def __init__(
        self,
        settings: Settings,
        queues: Sequence[RequestQueue],
        backends: BackendSet,
        in_flight_limit: InFlightLimit,
        latencies: LatencyTracker,
        bandit: Bandit,
    ) -> None:
        self._settings = settings
        self._is_sparse = settings.is_sparse_tier
        self._queues = queues
        self._backends = backends
        self._in_flight_limit = in_flight_limit
        self._latencies = latencies
        self._bandit = bandit

    def dispatch(self, now: float) -> list[Forward]:
        """Send queued requests, the longest wait as a fraction of the objective first.

        A lack of capacity thus delays all queues in proportion to their objectives, and the overload detector
        of each queue responds to it.
        """
        forwards: list[Forward] = []
        candidates: list[Backend] | None = None
        while heads := [head for queue in self._queues if (head := queue.head()) is not None]:
            if candidates is None:
                candidates, available_sends = self._capacity(now)
            if not candidates or available_sends <= 0:
                break
            available_sends -= 1
            request = max(heads, key=lambda head: (now - head.arrived_at) / head.queue.objective_ms)
            request.queue.pop_head(now)
            forwards.append(self.forward(now, request, candidates))
            backend = request.attempts[-1].backend
            if not backend.has_capacity(now, self._backends.min_backend_limit):
                candidates.remove(backend)
        return forwards

    def forward(self, now: float, request: Request, candidates: list[Backend]) -> Forward:
        """Start an attempt of a request at one of the candidates."""
        executed = first_executed_attempt(request.attempts)
        backend = self._bandit.pick(now, request, candidates, len(self._backends.subset))
        request.attempts.append(Attempt(backend, now))
        request.open_attempt_count += 1
        self._in_flight_limit.begin_attempt()
        backend.begin_attempt(now)
        end = min(request.value_expires_at - self._settings.step_interval_ms, request.deadline)
        write_timeout_ms = inf
        request_class = request.request_class
        if executed and request_class.idempotency is Idempotency.KEYED:
            # Connecting may take until after the deduplication window.
            write_timeout_ms = dedup_window_end(request_class, executed) - now
        return Forward(request.id, backend.id, max(end - now, MIN_TIMEOUT_MS), write_timeout_ms)

    def _capacity(self, now: float) -> tuple[list[Backend], float]:
        """Return the backends with capacity, and how many requests may be sent now."""
        candidates = self._with_capacity(now, self._backends.subset)
        if self._is_sparse:
            if not candidates:  # rather than wait, use any subscribed warm backend
                warm = [backend for backend in self._backends.active if backend.cold_until <= now]
                candidates = self._with_capacity(now, warm)
            return candidates, self._in_flight_limit.available_sends(now)
        available_sends = self._available_concurrency(now)
        if self._backends.unsubscribed.count and (
            not candidates or available_sends < sum(len(queue) for queue in self._queues)
        ):
            self._backends.choose_subset(now)  # subscribes to more listed backends under load
            candidates = self._with_capacity(now, self._backends.subset)
            available_sends = self._available_concurrency(now)
        return candidates, available_sends

    def _with_capacity(self, now: float, backends: Sequence[Backend]) -> list[Backend]:
        min_limit = self._backends.min_backend_limit
        return [backend for backend in backends if backend.has_capacity(now, min_limit)]

    def _available_concurrency(self, now: float) -> float:
        """Return the sum over the subset of each backend's limit minus its attempts in flight.

        Limits may be below 1, and each backend with a positive limit accepts a request while it has none in
        flight: only the sum enforces such limits. An unresponsive backend uses up at most its own limit.
        """
        mean_latency_ms = self._latencies.overall_ms or self._queues[-1].objective_ms
        unresponsive_since = now - UNRESPONSIVE_AFTER_LATENCIES * mean_latency_ms
        return sum(
            max(
                backend.limit - backend.in_flight,
                MIN_AVAILABLE_CONCURRENCY if backend.last_progress_at > unresponsive_since else 0.0,
            )
            for backend in self._backends.subset
        )
