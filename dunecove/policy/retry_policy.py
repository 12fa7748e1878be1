"""Whether and how a request is retried after a failed attempt."""

from __future__ import annotations

from enum import Enum

from dunecove.policy.actions import EndReason
from dunecove.policy.latency_tracker import LatencyTracker
from dunecove.policy.models import AttemptResult, Idempotency
from dunecove.policy.request import Request
from dunecove.policy.request_rules import first_executed_attempt, retry_denial
from dunecove.policy.settings import ACTION_DELAY_STEPS, Settings

# Retries of requests that may have executed, per arriving request: they add at most this fraction of load.
BUDGET_PER_ARRIVAL = 0.1
MAX_BUDGET = 10.0  # retries
# Backoff after a request's second local failure (`NO_LOCAL_RESOURCE`), doubled at each further one: without
# it a request would use up its attempts at once. The first local failure is retried without a delay.
LOCAL_FAILURE_BACKOFF_MS = 50.0


class Retry(Enum):
    """How a request is retried after a failed attempt."""

    QUEUED = "queued"  # at the head of its queue, for any backend
    PINNED = "pinned"  # restricted to the backends that recognise its idempotency key
    BACKOFF = "backoff"  # not before `Request.retry_at`


class RetryPolicy:
    """The retry budget, and the decision after each failed attempt."""

    def __init__(self, settings: Settings, latencies: LatencyTracker) -> None:
        self.budget = MAX_BUDGET  # retries
        self._settings = settings
        self._latencies = latencies

    def record_arrival(self) -> None:
        """Credit the budget for an arriving request."""
        self.budget = min(MAX_BUDGET, self.budget + BUDGET_PER_ARRIVAL)

    def after_failure(self, now: float, request: Request, result: AttemptResult) -> Retry | EndReason:
        """Return how to retry a request without open attempts, or why it fails.

        `result` is that of its last attempt.
        """
        if result is AttemptResult.WITHDRAWN:
            return EndReason.ATTEMPT_WITHDRAWN
        if result is AttemptResult.BAD_REQUEST:
            return EndReason.BAD_REQUEST
        if not self._may_retry(now, request):
            return EndReason.RETRY_NOT_ALLOWED
        if result is AttemptResult.NO_LOCAL_RESOURCE:
            request.local_failure_count += 1
            if request.local_failure_count > 1:
                backoff_ms = LOCAL_FAILURE_BACKOFF_MS * 2 ** (request.local_failure_count - 2)
                request.retry_at = now + backoff_ms
                return Retry.BACKOFF
        return self._spend_budget(request)

    def after_backoff(self, now: float, request: Request) -> Retry | EndReason:
        """Return how to retry a request whose backoff has ended, or why it fails."""
        request.retry_at = 0.0
        return self._spend_budget(request) if self._may_retry(now, request) else EndReason.RETRY_NOT_ALLOWED

    def _may_retry(self, now: float, request: Request) -> bool:
        """Whether another attempt is allowed and, at the mean latency of its class, would respond in time."""
        sent_at = now + ACTION_DELAY_STEPS * self._settings.step_interval_ms
        denial = retry_denial(self._settings, request.request_class, request.attempts, sent_at)
        response_at = now + self._latencies.capped_class_latency_ms(request)
        return denial is None and response_at <= request.value_expires_at

    def _spend_budget(self, request: Request) -> Retry | EndReason:
        """Choose how to retry a request; charge the budget if an earlier attempt may have executed."""
        if first_executed_attempt(request.attempts) is None:
            return Retry.QUEUED
        if self.budget < 1:
            return EndReason.RETRY_BUDGET_EXHAUSTED
        self.budget -= 1
        if request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return Retry.QUEUED
        return Retry.PINNED
