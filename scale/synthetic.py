"""Synthetic surroundings of a proxy: settings, configurations, and endpoint lists in discovery's form.

All addresses are on loopback, so that whatever goes wrong, nothing leaves the machine.
"""

from __future__ import annotations

from typing import Any

import orjson

from dunecove.policy.models import BackendInfo

ZONE_COUNT = 11
KIND_COUNT = 4
CELL_COUNT = 97
LONG_DEADLINE_MS = 60000  # beyond any run
BACKEND_PORT = 3000


def loopback_address(number: int, port: int = BACKEND_PORT) -> str:
    """Return `host:port` on loopback, different for each number below 2**16 * 254."""
    return f"127.{1 + (number >> 16) % 254}.{number >> 8 & 255}.{number & 255}:{port}"


def backend_id(number: int) -> str:
    """Return the id of the backend with this number."""
    return f"s-{number:08x}"


def list_entry(number: int, state: str = "active", weight: float = 1.0, address: str = "") -> dict[str, Any]:
    """Return one backend as an entry of discovery's list."""
    return {
        "uid": backend_id(number),
        "endpoint": address or loopback_address(number),
        "az": f"z{number % ZONE_COUNT}",
        "model": f"m{number % KIND_COUNT}",
        "pod_group": number % CELL_COUNT,
        "state": state,
        "capacity_hint": weight,
        "boot_ms": 0,
    }


def endpoint_list(revision: int, entries: list[dict[str, Any]], is_snapshot: bool = True) -> dict[str, Any]:
    """Return discovery's answer: a whole list, or the changes since an earlier revision."""
    return {"rev": revision, "all": is_snapshot, "targets": entries}


def snapshot_body(revision: int, count: int) -> bytes:
    """Return the body of discovery's answer with a whole list of `count` backends."""
    return orjson.dumps(endpoint_list(revision, [list_entry(number) for number in range(count)]))


def delta_body(revision: int, count: int) -> bytes:
    """Return the body of a change of `count` entries, by turns one that drains and a new one."""
    entries = [
        list_entry(number, "leaving") if number % 2 == 0 else list_entry(200_000 + revision * 100 + number)
        for number in range(count)
    ]
    return orjson.dumps(endpoint_list(revision, entries, is_snapshot=False))


def empty_delta_body(revision: int) -> bytes:
    """Return the body of discovery's answer when nothing has changed since `revision`."""
    return b'{"rev":%d,"all":false,"targets":[]}' % revision


def backend_infos(count: int, weight: float = 1.0) -> tuple[BackendInfo, ...]:
    """Return the list of `snapshot_body` in the form that the balancer takes."""
    return tuple(
        BackendInfo(
            backend_id(number),
            zone=number % ZONE_COUNT,
            kind=number % KIND_COUNT,
            cell=number % CELL_COUNT,
            weight=weight,
        )
        for number in range(count)
    )


def settings(
    proxies: int, classes: int = 1, tenants: int = 0, deadline_ms: int = LONG_DEADLINE_MS
) -> dict[str, Any]:
    """Return settings in the form of the configuration; the first class is `lookup`, which is idempotent."""
    request_classes = [
        {
            "Name": f"lookup{number or ''}",
            "AimMs": deadline_ms // 2 - number % 10,
            "HardLimitMs": deadline_ms,
            "Effect": "read_like",
            "Points": 1,
        }
        for number in range(classes)
    ]
    return {
        "Lanes": request_classes,
        "Projects": [{"Name": f"tenant-{number:06d}", "QuotaPerS": 5.0} for number in range(tenants)],
        "Balancers": proxies,
        "Dcs": [f"z{number}" for number in range(ZONE_COUNT)],
        "Kinds": [f"m{number}" for number in range(KIND_COUNT)],
        "Discovery": "ask",
        "TickMs": 1.0,
        "Limits": {"MayCancel": True, "MostTries": 3, "Peers": True},
    }


def configuration(
    discovery: str, listen: str, proxy_settings: dict[str, Any], cached_entries: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a proxy's configuration file as an object; `discovery` and `listen` are `host:port`."""
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": endpoint_list(1, cached_entries),
        "settings": proxy_settings,
    }
