"""The settings of a deployment. Durations are in milliseconds."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from dunecove.policy.models import DeduplicationScope, Idempotency

# A tier is the set of proxies that share the load; with more proxies than this it is sparse.
MAX_DENSE_PROXIES = 4
# Assumed time until an action has taken effect, in units of `Settings.step_interval_ms`.
ACTION_DELAY_STEPS = 2


class InvalidSettingError(ValueError):
    """A setting has an invalid value."""

    def __init__(self, setting: str, problem: str, class_index: int | None = None) -> None:
        """Initialize the error.

        `setting` is a field of `Settings`, or of the request class at `class_index` if that is given.
        """
        self.setting = setting
        self.problem = problem
        self.class_index = class_index
        super().__init__(self.describe(setting))

    def describe(self, key: str) -> str:
        """Return the error message with `key` as the name of the setting."""
        prefix = "" if self.class_index is None else f"class {self.class_index}: "
        return f"{prefix}{key} {self.problem}"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The settings of one request class."""

    # A response within this time of the request's arrival earns the full priority weight. If late responses
    # have no value, the time counts from the arrival of the client's original request.
    latency_objective_ms: float
    deadline_ms: float  # time for which the client waits, including its own retries
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: DeduplicationScope = DeduplicationScope.ALL  # of `Idempotency.KEYED` requests
    dedup_window_ms: float = 0.0  # of KEYED requests: time for which backends remember a key
    priority_weight: float = 1.0  # relative value of a response within the objective, for equal backend work
    late_weight: float = 0.0  # fraction of the priority weight earned by a response after the objective
    streams_response: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a proxy and its tier; `check` validates them."""

    classes: tuple[RequestClass, ...]
    proxy_count: int = 1  # proxies in this tier, including this one
    proxy_index: int = 0  # index of this proxy in the tier
    zone: int = 0
    zone_count: int = 1  # number of zones; clients use the proxies of their own zone
    tenant_quotas: tuple[float, ...] = ()  # requests per second of each tenant, over all proxies
    over_quota_weight: float = 1.0  # factor on the priority weight of requests over their tenant's quota
    step_interval_ms: float = 1.0  # minimum time between two calls of `Balancer.step`
    polls_discovery: bool = False  # whether the endpoint list is polled rather than pushed
    max_poll_interval_ms: float = 10000.0  # maximum time without a poll or an open watch (long polls)
    may_cancel: bool = False  # whether open attempts are cancelled when the client disconnects
    may_hedge: bool = False  # whether a request may have several open attempts at once
    may_health_check: bool = False  # not used by `Balancer`
    may_gossip: bool = False
    sends_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1  # per request
    key_affinity: bool = False  # whether a backend needs less work for a key that it has recently handled
    slow_start_capacity: float = 1.0  # minimum fraction of its capacity that a backend has at its start
    slow_start_ms: float = 0.0  # maximum time from the start of a backend until it is warm
    # A cold backend fails if its load exceeds this multiple of its current capacity throughout the window.
    slow_start_overload_factor: float = 2.0
    slow_start_window_ms: float = 1000.0

    @property
    def is_sparse_tier(self) -> bool:
        """Whether the tier has more than `MAX_DENSE_PROXIES` proxies.

        A proxy's share of a backend's initial concurrency limit is then less than one request in flight, too
        few to judge the backend from this proxy's own requests.
        """
        return self.proxy_count > MAX_DENSE_PROXIES

    def check(self) -> None:
        """Raise `InvalidSettingError` if a setting is invalid."""
        if not self.classes:
            raise InvalidSettingError("classes", "contains no request class")
        for class_index, request_class in enumerate(self.classes):
            _check_class(request_class, class_index)
        if not any(request_class.priority_weight > 0 for request_class in self.classes):
            raise InvalidSettingError("priority_weight", "must be above 0 for at least one class")
        for name in ("proxy_count", "max_attempts", "zone_count"):
            if not getattr(self, name) >= 1:
                raise InvalidSettingError(name, f"must be at least 1: {getattr(self, name)!r}")
        _check_positive(self, _POSITIVE_FIELDS)
        _check_non_negative(self, _NON_NEGATIVE_FIELDS)
        for quota in self.tenant_quotas:
            if not 0 <= quota < inf:
                raise InvalidSettingError("tenant_quotas", f"must be at least 0 and finite: {quota!r}")


_POSITIVE_FIELDS = (
    "step_interval_ms",
    "max_poll_interval_ms",
    "slow_start_window_ms",
    "slow_start_overload_factor",
)
_NON_NEGATIVE_FIELDS = (
    "proxy_index",
    "slow_start_ms",
    "max_retry_after_ms",
    "over_quota_weight",
    "slow_start_capacity",
)


def _check_class(request_class: RequestClass, class_index: int) -> None:
    _check_positive(request_class, ("latency_objective_ms", "deadline_ms"), class_index)
    _check_non_negative(request_class, ("priority_weight", "late_weight", "dedup_window_ms"), class_index)
    if not isinstance(request_class.idempotency, Idempotency):
        problem = f"has an unknown value: {request_class.idempotency!r}"
        raise InvalidSettingError("idempotency", problem, class_index)
    if not isinstance(request_class.dedup_scope, DeduplicationScope):
        problem = f"has an unknown value: {request_class.dedup_scope!r}"
        raise InvalidSettingError("dedup_scope", problem, class_index)


def _check_positive(
    owner: RequestClass | Settings, fields: Iterable[str], class_index: int | None = None
) -> None:
    for field in fields:
        value = getattr(owner, field)
        if not 0 < value < inf:
            raise InvalidSettingError(field, f"must be above 0 and finite: {value!r}", class_index)


def _check_non_negative(
    owner: RequestClass | Settings, fields: Iterable[str], class_index: int | None = None
) -> None:
    for field in fields:
        value = getattr(owner, field)
        if not 0 <= value < inf:
            raise InvalidSettingError(field, f"must be at least 0 and finite: {value!r}", class_index)
