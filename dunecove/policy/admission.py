"""Admission: the priority level of a request, and which levels are shed under overload."""

from __future__ import annotations

from random import Random

from dunecove.policy.in_flight_limit import InFlightLimit
from dunecove.policy.latency_tracker import LatencyTracker
from dunecove.policy.request_queue import RequestQueue
from dunecove.policy.settings import RequestClass, Settings
from dunecove.policy.tenant_quotas import TenantQuotas

# Priority weight relative to the best class: at or above is level 1, 2, 3; below is 4. Half the best is level
# 3, which may be shed: when work must go, the same work of the best class earns twice as much.
LEVEL_WEIGHTS = (0.75, 0.55, 0.25)
HIGHEST_SHEDDABLE_LEVEL = 3
LOWEST_LEVEL = 4

# Part of the objective beyond which hinted work is expected to be late even on the fastest kind, and the part
# of its priority weight that it then earns. Where many proxies share backends, half of such work is late.
LATE_WORK_THRESHOLD = 1.0
LATE_WORK_WEIGHT_FACTOR = 0.4
SPARSE_LATE_WORK_THRESHOLD = 0.6
SPARSE_LATE_WORK_WEIGHT_FACTOR = 0.2

# Objectives: a longer release keeps the lowest level out also while nothing waits. After a single overload it
# is admitted beside an empty queue: rejected there, it would leave backends idle.
LONG_READMISSION_OBJECTIVES = 1.0
LEVEL_3_SHED_RATIO = 3.0  # overload ratio above which level 3 is shed in proportion: all of it at twice this
MAX_OVERLOAD_FRACTION = 0.15  # of outcomes, above which a sparse proxy is overloaded: a few are always long


class Admission:
    """Decides on each arrival whether it is admitted or shed."""

    def __init__(
        self, settings: Settings, rng: Random, latencies: LatencyTracker, in_flight: InFlightLimit
    ) -> None:
        self.quotas = TenantQuotas(settings)
        self._is_sparse = settings.is_sparse_tier
        self._rng = rng
        self._latencies = latencies
        self._in_flight = in_flight
        self._over_quota_weight = settings.over_quota_weight
        self._max_priority_weight = max(request_class.priority_weight for request_class in settings.classes)
        self._late_work_threshold = SPARSE_LATE_WORK_THRESHOLD if self._is_sparse else LATE_WORK_THRESHOLD
        self._late_work_weight_factor = (
            SPARSE_LATE_WORK_WEIGHT_FACTOR if self._is_sparse else LATE_WORK_WEIGHT_FACTOR
        )
        self._max_retry_after_ms = settings.max_retry_after_ms if settings.sends_retry_after else 0.0

    def priority_level(
        self, now: float, request_class: RequestClass, tenant: int, work_hint_ms: float = 0.0
    ) -> int:
        """Return the level of an arrival, 1 the highest, and count it against its tenant's quota."""
        weight = request_class.priority_weight / self._max_priority_weight
        fastest_ms = work_hint_ms * self._latencies.fastest_work_rate()
        if fastest_ms > self._late_work_threshold * request_class.latency_objective_ms:
            weight *= self._late_work_weight_factor
        if not self.quotas.try_consume_token(now, tenant):
            weight *= self._over_quota_weight
        return 1 + sum(weight < least for least in LEVEL_WEIGHTS)

    def should_shed(self, now: float, level: int, queue: RequestQueue) -> bool:
        """Whether an arrival of this level is rejected now; updates the queue's verdict."""
        if level < HIGHEST_SHEDDABLE_LEVEL:
            return False
        detector = queue.detector
        ratio = self._overload_ratio(now, queue)
        detector.set_overloaded(now, ratio > 1)
        # Level 4 is shed at once and admitted again by degrees, or it would fill the backends up to the next
        # overload.
        probability = ratio / LEVEL_3_SHED_RATIO - 1
        has_long_readmission = detector.readmission_objectives > LONG_READMISSION_OBJECTIVES
        if level == LOWEST_LEVEL and (ratio > 0 or has_long_readmission):
            probability = 1 - detector.readmitted_fraction(now)
        return self._rng.random() < probability

    def retry_after_ms(self, queue: RequestQueue) -> float:
        """Return when a client that was shed should retry: as low levels are admitted again."""
        return min(queue.detector.readmission_ms, self._max_retry_after_ms)

    def _overload_ratio(self, now: float, queue: RequestQueue) -> float:
        """Return how overloaded a queue is; above 1 it is overloaded."""
        ratio = queue.overload_ratio(now)
        if not self._is_sparse:
            return ratio
        # Its queue is mostly empty, and few waits are seen: the wait to come counts. And what a sparse proxy
        # has too much of waits inside the backends, where only overload samples show it.
        expected_ratio = self._in_flight.expected_wait_ms(now) / queue.threshold_ms()
        return max(ratio, expected_ratio, self._in_flight.overload_fraction / MAX_OVERLOAD_FRACTION)
