"""Made-up surroundings of a proxy: settings, and lists of backends in discovery's form. The addresses are all
on loopback, so that whatever goes wrong, nothing leaves the machine."""

from __future__ import annotations

from typing import Any

import orjson

from dunecove.policy.models import BackendInfo

ZONES, KINDS = 11, 4
LONG_MS = 60000  # a deadline beyond any run


def address(number: int, port: int = 3000) -> str:
    return f"127.{1 + (number >> 16) % 254}.{number >> 8 & 255}.{number & 255}:{port}"


def uid(number: int) -> str:
    return f"s-{number:08x}"


def entry(number: int, state: str = "active", weight: float = 1.0, endpoint: str = "") -> dict[str, Any]:
    return {
        "uid": uid(number),
        "endpoint": endpoint or address(number),
        "az": f"z{number % ZONES}",
        "model": f"m{number % KINDS}",
        "pod_group": number % 97,
        "state": state,
        "capacity_hint": weight,
        "boot_ms": 0,
    }


def listing(rev: int, entries: list[dict[str, Any]], whole: bool = True) -> dict[str, Any]:
    return {"rev": rev, "all": whole, "targets": entries}


def list_bytes(rev: int, count: int) -> bytes:
    """The body of discovery's answer with the whole list."""
    return orjson.dumps(listing(rev, [entry(number) for number in range(count)]))


def infos(count: int, weight: float = 1.0) -> tuple[BackendInfo, ...]:
    """The same list as the module is told it."""
    return tuple(
        BackendInfo(uid(n), zone=n % ZONES, kind=n % KINDS, cell=n % 97, weight=weight) for n in range(count)
    )


def settings(proxies: int, classes: int = 1, tenants: int = 0, deadline_ms: int = LONG_MS) -> dict[str, Any]:
    """Settings in the form of the configuration. The first class is `lookup`, safe to repeat."""
    lanes = [
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
        "Lanes": lanes,
        "Projects": [{"Name": f"tenant-{number:06d}", "QuotaPerS": 5.0} for number in range(tenants)],
        "Balancers": proxies,
        "Dcs": [f"z{number}" for number in range(ZONES)],
        "Kinds": [f"m{number}" for number in range(KINDS)],
        "Discovery": "ask",
        "TickMs": 1.0,
        "Limits": {"MayCancel": True, "MostTries": 3, "Peers": True},
    }


def configuration(
    discovery: str, listen: str, info: dict[str, Any], known: list[dict[str, Any]]
) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": listing(1, known),
        "settings": info,
    }
