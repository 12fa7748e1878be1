"""Reads the settings of a deployment from JSON, for the proxy and the simulator's adapter."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from dunecove.errors import InvalidFieldError
from dunecove.policy.models import DeduplicationScope, Idempotency
from dunecove.policy.settings import InvalidSettingError, RequestClass, Settings
from dunecove.wire.fields import (
    JsonObject,
    as_array,
    as_choice,
    as_integer,
    as_number,
    as_object,
    as_objects,
    as_string,
    default_if_none,
    required,
)

_IDEMPOTENCY = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
_DEDUPLICATION_SCOPES = {scope.value: scope for scope in DeduplicationScope}
# The JSON key of each field of `Settings` and `RequestClass` that an error message may name.
_SETTING_KEYS = {
    "classes": "Lanes",
    "latency_objective_ms": "AimMs",
    "deadline_ms": "HardLimitMs",
    "idempotency": "Effect",
    "dedup_scope": "KeyScope",
    "dedup_window_ms": "KeyTtlMs",
    "priority_weight": "Points",
    "late_weight": "LateWorth",
    "proxy_count": "Balancers",
    "proxy_index": "Me",
    "zone_count": "Dcs",
    "tenant_quotas": "QuotaPerS",
    "over_quota_weight": "OverShareWorth",
    "step_interval_ms": "TickMs",
    "max_poll_interval_ms": "MustAskInMs",
    "max_retry_after_ms": "MaxRetryAfterMs",
    "max_attempts": "MostTries",
    "slow_start_capacity": "StartCapacity",
    "slow_start_ms": "ColdMs",
    "slow_start_overload_factor": "FallMultiple",
    "slow_start_window_ms": "OverloadForMs",
}


def read_settings(info: JsonObject) -> Settings:
    """Return the validated settings; raise MalformedInputError, which names the invalid key."""
    limits = as_object(info.get("Limits") or {}, "Limits")
    obligations = as_object(info.get("Obligations") or {}, "Obligations")
    domain = as_object(info.get("Domain") or {}, "Domain")
    tenants = as_objects(info.get("Projects") or [], "Projects")
    settings = Settings(
        classes=tuple(_read_class(entry) for entry in as_objects(required(info, "Lanes"), "Lanes")),
        proxy_count=as_integer(default_if_none(info, "Balancers", 1), "Balancers"),
        proxy_index=as_integer(default_if_none(info, "Me", 0), "Me"),
        zone=as_integer(info.get("Az") or 0, "Az"),
        zone_count=max(1, len(as_array(info.get("Dcs") or [], "Dcs"))),
        tenant_quotas=tuple(as_number(required(tenant, "QuotaPerS"), "QuotaPerS") for tenant in tenants),
        over_quota_weight=as_number(default_if_none(info, "OverShareWorth", 1), "OverShareWorth"),
        step_interval_ms=as_number(default_if_none(info, "TickMs", 1), "TickMs"),
        polls_discovery=info.get("Discovery") == "ask",
        max_poll_interval_ms=as_number(default_if_none(obligations, "MustAskInMs", 10000), "MustAskInMs"),
        may_cancel=bool(limits.get("MayCancel")),
        may_hedge=bool(limits.get("MayDuplicate")),
        may_health_check=bool(limits.get("Probes")),
        may_gossip=bool(limits.get("Peers")),
        sends_retry_after=bool(limits.get("RetryAfter")),
        max_retry_after_ms=as_number(limits.get("MaxRetryAfterMs") or 0, "MaxRetryAfterMs"),
        max_attempts=as_integer(default_if_none(limits, "MostTries", 1), "MostTries"),
        key_affinity=bool(domain.get("WarmKeys")),
        slow_start_capacity=as_number(default_if_none(obligations, "StartCapacity", 1), "StartCapacity"),
        slow_start_ms=as_number(obligations.get("ColdMs") or 0, "ColdMs"),
        slow_start_overload_factor=as_number(default_if_none(obligations, "FallMultiple", 2), "FallMultiple"),
        slow_start_window_ms=as_number(default_if_none(obligations, "OverloadForMs", 1000), "OverloadForMs"),
    )
    try:
        settings.check()
    except InvalidSettingError as error:
        raise InvalidFieldError(error.describe(_SETTING_KEYS[error.setting])) from None
    return settings


def _read_class(entry: JsonObject) -> RequestClass:
    return RequestClass(
        latency_objective_ms=as_number(required(entry, "AimMs"), "AimMs"),
        deadline_ms=as_number(required(entry, "HardLimitMs"), "HardLimitMs"),
        idempotency=as_choice(_IDEMPOTENCY, required(entry, "Effect"), "Effect"),
        dedup_scope=as_choice(_DEDUPLICATION_SCOPES, entry.get("KeyScope") or "all", "KeyScope"),
        dedup_window_ms=as_number(entry.get("KeyTtlMs") or 0, "KeyTtlMs"),
        priority_weight=as_number(default_if_none(entry, "Points", 1), "Points"),
        late_weight=as_number(entry.get("LateWorth") or 0, "LateWorth"),
        streams_response=bool(entry.get("Stream")),
    )


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """The settings that the proxy needs besides `Settings`: names, and timeouts of connections.

    The names that clients and discovery use are mapped to the indexes in `Settings`, events and actions.
    """

    class_indexes: dict[str, int]
    tenant_indexes: dict[str, int]
    zone_indexes: dict[str, int]
    kind_indexes: dict[str, int]
    connect_timeout_ms: float
    backend_idle_timeout_ms: float
    drain_grace_ms: float = inf  # time after the notification of a drain in which attempts may be written


def read_proxy_settings(info: JsonObject) -> ProxySettings:
    """Return the proxy's own settings; raise MalformedInputError, which names the invalid key."""
    limits = as_object(info.get("Limits") or {}, "Limits")
    obligations = as_object(info.get("Obligations") or {}, "Obligations")
    classes = as_objects(required(info, "Lanes"), "Lanes")
    tenants = as_objects(info.get("Projects") or [], "Projects")
    return ProxySettings(
        class_indexes=_index_by_name([required(entry, "Name") for entry in classes], "Name"),
        tenant_indexes=_index_by_name([required(entry, "Name") for entry in tenants], "Name"),
        zone_indexes=_index_by_name(as_array(info.get("Dcs") or [], "Dcs"), "Dcs"),
        kind_indexes=_index_by_name(as_array(info.get("Kinds") or [], "Kinds"), "Kinds"),
        connect_timeout_ms=_as_duration_ms(limits, "ConnectTimeoutMs", 250),
        backend_idle_timeout_ms=_as_duration_ms(limits, "ConnIdleMs", 15000),
        drain_grace_ms=as_number(default_if_none(obligations, "DrainGraceMs", inf), "DrainGraceMs"),
    )


def _index_by_name(names: list[object], key: str) -> dict[str, int]:
    return {as_string(name, key): index for index, name in enumerate(names)}


def _as_duration_ms(limits: JsonObject, key: str, default_ms: float) -> float:
    duration_ms = as_number(default_if_none(limits, key, default_ms), key)
    if not 0 < duration_ms < inf:
        raise InvalidFieldError(f"{key} must be above 0 and finite: {duration_ms}")
    return duration_ms
