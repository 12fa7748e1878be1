"""Entries of long endpoint lists."""

from __future__ import annotations

from typing import Any

from tests.loopback import make_list_entry


def make_entries(
    count: int, first_index: int = 0, state: str = "active", weight: float = 1.0
) -> list[dict[str, Any]]:
    return [
        make_list_entry(f"s-{i:08x}", f"127.1.{i // 250}.{i % 250}:9", state) | {"capacity_hint": weight}
        for i in range(first_index, first_index + count)
    ]
