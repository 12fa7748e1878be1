"""The configuration of the proxies in a soak run, and the limits that the rules check."""

from __future__ import annotations

from typing import Any

from dunecove.policy.models import Idempotency
from soak.backends import Backend
from soak.records import RequestClass

REQUEST_CLASSES = (
    RequestClass("ficha", Idempotency.IDEMPOTENT, 0.4, 1.2),
    RequestClass("cargo", Idempotency.NON_IDEMPOTENT, 0.6, 1.6),
    RequestClass("cuota", Idempotency.KEYED, 0.8, 2.0, 1.0),
)
IDEMPOTENCY_NAMES = {
    Idempotency.IDEMPOTENT: "read_like",
    Idempotency.NON_IDEMPOTENT: "non_idempotent",
    Idempotency.KEYED: "idempotency_key",
}
DRAIN_GRACE_S = 2.5
COLD_S = 6.0
START_CAPACITY = 0.16
OVERLOAD_MULTIPLE = 3.0
OVERLOAD_WINDOW_S = 1.0
CONNECT_TIMEOUT_MS = 250
IDLE_TIMEOUT_MS = 4000
SOCKET_LIMITS = (96, 512)  # file descriptor limits, assigned to the proxies in rotation


def list_entry(backend: Backend, state: str) -> dict[str, Any]:
    """Return a backend's entry in the endpoint list."""
    return {
        "uid": backend.backend_id,
        "endpoint": backend.address,
        "az": "a",
        "model": "m",
        "pod_group": backend.cell,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": backend.boot_ms,
    }


def class_settings(request_class: RequestClass) -> dict[str, Any]:
    """Return the settings of a request class."""
    return {
        "Name": request_class.name,
        "AimMs": request_class.objective_s * 1000,
        "HardLimitMs": request_class.deadline_s * 1000,
        "Effect": IDEMPOTENCY_NAMES[request_class.idempotency],
        "KeyScope": "cell",
        "KeyTtlMs": request_class.deduplication_window_s * 1000,
        "Points": 5,
    }


def proxy_settings(proxy_index: int, proxy_count: int, uses_push: bool) -> dict[str, Any]:
    """Return the settings of one proxy; with `uses_push`, discovery pushes the endpoint list."""
    return {
        "Balancers": proxy_count,
        "Me": proxy_index,
        "Lanes": [class_settings(request_class) for request_class in REQUEST_CLASSES],
        "Projects": [{"Name": "all", "Share": 1.0, "QuotaPerS": 1000.0}],
        "Dcs": ["a"],
        "Kinds": ["m"],
        "Discovery": "push" if uses_push else "ask",
        "TickMs": 5.0,
        "Limits": {
            "MayCancel": True,
            "MostTries": 5,
            "Peers": True,
            "RetryAfter": True,
            "MaxRetryAfterMs": 2000.0,
            "ConnectTimeoutMs": CONNECT_TIMEOUT_MS,
            "ConnIdleMs": IDLE_TIMEOUT_MS,
        },
        "Obligations": {
            "ColdMs": COLD_S * 1000,
            "StartCapacity": START_CAPACITY,
            "FallMultiple": OVERLOAD_MULTIPLE,
            "OverloadForMs": OVERLOAD_WINDOW_S * 1000,
            "DrainGraceMs": DRAIN_GRACE_S * 1000,
            "MustAskInMs": 10_000,
        },
    }
