"""Admission control: the priority level of a request, and which levels are shed under overload."""

from __future__ import annotations

from random import Random

from dunecove.policy.in_flight_limit import InFlightLimit
from dunecove.policy.latency_tracker import LatencyTracker
from dunecove.policy.request_queue import RequestQueue
from dunecove.policy.settings import RequestClass, Settings
from dunecove.policy.tenant_quotas import TenantQuotas

# Minimum priority weight of levels 1, 2 and 3, as a fraction of the highest weight of all classes; less is
# level 4. Half the highest weight is level 3, which may be shed: in its place, the same amount of work of the
# class with the highest weight has twice the value.
LEVEL_WEIGHTS = (0.75, 0.55, 0.25)
HIGHEST_SHEDDABLE_LEVEL = 3
LOWEST_LEVEL = 4

# A request is expected to be late if its hinted work takes longer than this fraction of the latency objective
# on the fastest kind of hardware; its priority weight is then multiplied by the factor. In a sparse tier the
# threshold is lower: many proxies share each backend, and half of the work above the threshold is late.
LATE_WORK_THRESHOLD = 1.0
LATE_WORK_WEIGHT_FACTOR = 0.4
SPARSE_LATE_WORK_THRESHOLD = 0.6
SPARSE_LATE_WORK_WEIGHT_FACTOR = 0.2

# After an overload, level 4 is gradually admitted again over the readmission period. If that exceeds this
# number of latency objectives, this applies even while the queue is empty. After a single overload the
# period is shorter: shedding with an empty queue would leave backends idle.
LONG_READMISSION_OBJECTIVES = 1.0
# Overload ratio (above 1: the queue is overloaded) above which some of level 3 is shed; at twice this, all.
LEVEL_3_SHED_RATIO = 3.0
# Fraction of outcomes that are overload samples (see `in_flight_limit`: rejections, timeouts, long responses)
# above which a sparse proxy is overloaded. It is not 0: a few responses always take long.
MAX_OVERLOAD_FRACTION = 0.15


class Admission:
    """Decides whether an arriving request is admitted or shed."""

    def __init__(
        self, settings: Settings, rng: Random, latencies: LatencyTracker, in_flight_limit: InFlightLimit
    ) -> None:
        self.quotas = TenantQuotas(settings)
        self._is_sparse = settings.is_sparse_tier
        self._rng = rng
        self._latencies = latencies
        self._in_flight_limit = in_flight_limit
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
        """Return the priority level of an arriving request (1 is the highest); charge its tenant's quota."""
        weight = request_class.priority_weight / self._max_priority_weight
        fastest_ms = work_hint_ms * self._latencies.fastest_work_rate()
        if fastest_ms > self._late_work_threshold * request_class.latency_objective_ms:
            weight *= self._late_work_weight_factor
        if not self.quotas.try_consume_token(now, tenant):
            weight *= self._over_quota_weight
        return 1 + sum(weight < min_weight for min_weight in LEVEL_WEIGHTS)

    def should_shed(self, now: float, level: int, queue: RequestQueue) -> bool:
        """Return whether to reject an arriving request of this level.

        For a level that may be shed, update the queue's overload state.
        """
        if level < HIGHEST_SHEDDABLE_LEVEL:
            return False
        detector = queue.detector
        ratio = self._overload_ratio(now, queue)
        detector.set_overloaded(now, ratio > 1)
        # Level 4 is shed as soon as the queue is overloaded and readmitted gradually: readmitted at once, it
        # would cause the next overload.
        probability = ratio / LEVEL_3_SHED_RATIO - 1
        has_long_readmission = detector.readmission_objectives > LONG_READMISSION_OBJECTIVES
        if level == LOWEST_LEVEL and (ratio > 0 or has_long_readmission):
            probability = 1 - detector.readmitted_fraction(now)
        return self._rng.random() < probability

    def retry_after_ms(self, queue: RequestQueue) -> float:
        """Return the Retry-After of a shed request: the queue's readmission period, up to the maximum."""
        return min(queue.detector.readmission_ms, self._max_retry_after_ms)

    def _overload_ratio(self, now: float, queue: RequestQueue) -> float:
        """Return a queue's overload ratio; the queue is overloaded if it is above 1."""
        ratio = queue.overload_ratio(now)
        if not self._is_sparse:
            return ratio
        # A sparse proxy's queue is mostly empty and has few wait samples, so the expected wait counts too.
        # Its excess requests wait inside the backends, where only overload samples reveal them.
        expected_ratio = self._in_flight_limit.expected_wait_ms(now) / queue.threshold_ms()
        return max(ratio, expected_ratio, self._in_flight_limit.overload_fraction / MAX_OVERLOAD_FRACTION)
