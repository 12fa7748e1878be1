"""The settings of a deployment, as the decisions use them. Durations are in milliseconds."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from dunecove.policy.models import DeduplicationScope, Idempotency

MAX_DENSE_PROXIES = 4  # a larger tier is sparse
ACTION_DELAY_STEPS = 2  # step intervals within which a decision takes effect


class InvalidSettingError(ValueError):
    """A setting has a value that no deployment can have."""

    def __init__(self, setting: str, problem: str, class_index: int | None = None) -> None:
        """Name the field of `Settings`, or that of the request class at `class_index`."""
        self.setting = setting
        self.problem = problem
        self.class_index = class_index
        super().__init__(self.describe(setting))

    def describe(self, key: str) -> str:
        """Return the error's text with `key` as the setting's name."""
        prefix = "" if self.class_index is None else f"class {self.class_index}: "
        return f"{prefix}{key} {self.problem}"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What holds for all requests of one class."""

    latency_objective_ms: float  # a response within it earns the full priority weight
    deadline_ms: float  # after this long the client stops waiting, for its first try and all others
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: DeduplicationScope = DeduplicationScope.ALL  # KEYED only
    dedup_window_ms: float = 0.0  # KEYED only: for how long backends remember a key
    priority_weight: float = 1.0  # value of a response in time for each unit of work
    late_weight: float = 0.0  # part of the priority weight that a response past the objective earns
    streams_response: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """What the operator configures. `check` says whether it is consistent."""

    classes: tuple[RequestClass, ...]
    proxy_count: int = 1  # proxies of this tier, this one included
    proxy_index: int = 0  # of this one
    zone: int = 0
    zone_count: int = 1  # each zone's clients come to the proxies of their own zone
    tenant_quotas: tuple[float, ...] = ()  # requests a second by tenant, over all proxies
    over_quota_weight: float = 1.0  # factor on the priority weight of a request over its tenant's quota
    step_interval_ms: float = 1.0  # shortest time between two calls of `Balancer.step`
    polls_discovery: bool = False  # the endpoint list has to be polled; otherwise it is pushed
    max_poll_interval_ms: float = 10000.0  # longest time without a poll or an open watch
    may_cancel: bool = False
    may_hedge: bool = False  # a second attempt may be open beside the first
    may_health_check: bool = False  # not used by the decisions so far
    may_gossip: bool = False
    sends_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1  # for one request
    key_affinity: bool = False  # a backend has less work with a key that it met lately
    slow_start_capacity: float = 1.0  # part of its capacity that a backend starts with, at least
    slow_start_ms: float = 0.0  # a backend has warmed up no later than this after its start
    slow_start_overload_factor: float = (
        2.0  # a cold backend fails when sent more than this times its capacity
    )
    slow_start_window_ms: float = 1000.0  # for this long

    @property
    def is_sparse_tier(self) -> bool:
        """Whether this is one of so many proxies that its share of a backend is under one request.

        Such a proxy meets each backend too seldom to judge it alone.
        """
        return self.proxy_count > MAX_DENSE_PROXIES

    def check(self) -> None:
        """Raise InvalidSettingError for settings that no deployment can have."""
        if not self.classes:
            raise InvalidSettingError("classes", "names no request class")
        for class_index, request_class in enumerate(self.classes):
            _check_class(request_class, class_index)
        if not any(request_class.priority_weight > 0 for request_class in self.classes):
            raise InvalidSettingError("priority_weight", "must be above 0 for at least one class")
        for name in ("proxy_count", "max_attempts", "zone_count"):
            if not getattr(self, name) >= 1:
                raise InvalidSettingError(name, f"must be at least 1: {getattr(self, name)!r}")
        _check_positive(self, _POSITIVE)
        _check_not_negative(self, _NOT_NEGATIVE)
        for quota in self.tenant_quotas:
            if not 0 <= quota < inf:
                raise InvalidSettingError("tenant_quotas", f"must not be negative or infinite: {quota!r}")


_POSITIVE = (
    "step_interval_ms",
    "max_poll_interval_ms",
    "slow_start_window_ms",
    "slow_start_overload_factor",
)
_NOT_NEGATIVE = (
    "proxy_index",
    "slow_start_ms",
    "max_retry_after_ms",
    "over_quota_weight",
    "slow_start_capacity",
)


def _check_class(request_class: RequestClass, class_index: int) -> None:
    _check_positive(request_class, ("latency_objective_ms", "deadline_ms"), class_index)
    _check_not_negative(request_class, ("priority_weight", "late_weight", "dedup_window_ms"), class_index)
    if not isinstance(request_class.idempotency, Idempotency):
        problem = f"is unknown: {request_class.idempotency!r}"
        raise InvalidSettingError("idempotency", problem, class_index)
    if not isinstance(request_class.dedup_scope, DeduplicationScope):
        problem = f"is unknown: {request_class.dedup_scope!r}"
        raise InvalidSettingError("dedup_scope", problem, class_index)


def _check_positive(
    checked: RequestClass | Settings, names: Iterable[str], class_index: int | None = None
) -> None:
    for name in names:
        value = getattr(checked, name)
        if not 0 < value < inf:
            raise InvalidSettingError(name, f"must be above 0 and finite: {value!r}", class_index)


def _check_not_negative(
    checked: RequestClass | Settings, names: Iterable[str], class_index: int | None = None
) -> None:
    for name in names:
        value = getattr(checked, name)
        if not 0 <= value < inf:
            raise InvalidSettingError(name, f"must not be negative or infinite: {value!r}", class_index)
