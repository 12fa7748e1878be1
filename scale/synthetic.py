"""Synthetic input of a proxy: settings, configurations, and endpoint lists in the format of discovery.

All addresses are on loopback, so that no traffic can leave the machine.
"""

from __future__ import annotations

from typing import Any

import orjson

from dunecove.policy.models import BackendInfo

ZONE_COUNT = 11
KIND_COUNT = 4
CELL_COUNT = 97
LONG_DEADLINE_MS = 60000  # longer than any run
BACKEND_PORT = 3000


def loopback_address(number: int, port: int = BACKEND_PORT) -> str:
    """Return a loopback `host:port` address, which is unique for each number below 2**16 * 254."""
    return f"127.{1 + (number >> 16) % 254}.{number >> 8 & 255}.{number & 255}:{port}"


def backend_id(number: int) -> str:
    """Return the id of backend `number`."""
    return f"s-{number:08x}"


def list_entry(number: int, state: str = "active", weight: float = 1.0, address: str = "") -> dict[str, Any]:
    """Return a backend as an entry of the endpoint list."""
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
    """Return a discovery response: a snapshot, or a delta since an earlier revision."""
    return {"rev": revision, "all": is_snapshot, "targets": entries}


def snapshot_body(revision: int, count: int) -> bytes:
    """Return the body of a discovery response with a snapshot of `count` backends."""
    return orjson.dumps(endpoint_list(revision, [list_entry(number) for number in range(count)]))


def delta_body(revision: int, count: int) -> bytes:
    """Return the body of a delta of `count` entries, alternately a draining and a new backend.

    New backends are numbered from 200,000, above those of snapshots of the default sizes.
    """
    entries = [
        list_entry(number, "leaving") if number % 2 == 0 else list_entry(200_000 + revision * 100 + number)
        for number in range(count)
    ]
    return orjson.dumps(endpoint_list(revision, entries, is_snapshot=False))


def empty_delta_body(revision: int) -> bytes:
    """Return the body of a discovery response without changes since `revision`."""
    return b'{"rev":%d,"all":false,"targets":[]}' % revision


def backend_infos(count: int, weight: float = 1.0) -> tuple[BackendInfo, ...]:
    """Return the backends of `snapshot_body` as the balancer's `BackendInfo`."""
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
    """Return settings in the configuration format; the first request class, `lookup`, is idempotent."""
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
    discovery: str, listen: str, raw_settings: dict[str, Any], cached_entries: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the configuration file of a proxy as an object; `discovery` and `listen` are `host:port`."""
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": endpoint_list(1, cached_entries),
        "settings": raw_settings,
    }
