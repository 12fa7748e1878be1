"""What a measurement was made on, tables as plain text, and files."""

from __future__ import annotations

import json
import os
import platform
import subprocess
from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent


def machine() -> dict[str, Any]:
    """The machine, its load as others made it (processes that wanted a core, over 1 and 15 minutes), the
    Python and the revision of the program."""
    model = next(
        (x.split(":", 1)[1].strip() for x in read("/proc/cpuinfo") if x.startswith("model name")), "?"
    )
    memory = next((int(x.split()[1]) // 1024 for x in read("/proc/meminfo") if x.startswith("MemTotal")), 0)
    one, _, fifteen = os.getloadavg()
    return {
        "cpu": model,
        "cores": os.cpu_count(),
        "memory_mb": memory,
        "system": f"{platform.system()} {platform.release()}",
        "python": platform.python_version(),
        "revision": revision(),
        "load_1_min": round(one, 2),
        "load_15_min": round(fifteen, 2),
        "time": datetime.now(UTC).isoformat(timespec="seconds"),
    }


def read(path: str) -> list[str]:
    try:
        return Path(path).read_text().splitlines()
    except OSError:
        return []


def revision() -> str:
    """Of the checkout, with `+` where dunecove/ differs from it; `?` outside a checkout."""
    try:
        head = subprocess.run(["git", "rev-parse", "--short=12", "HEAD"], cwd=ROOT, capture_output=True)
        dirty = subprocess.run(["git", "status", "--porcelain", "dunecove"], cwd=ROOT, capture_output=True)
    except OSError:
        return "?"
    return (head.stdout.decode().strip() or "?") + ("+" if dirty.stdout.strip() else "")


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Columns with two spaces between them; the first to the left, the others to the right."""
    widths = [max(len(row[place]) for row in [head, *rows]) for place in range(len(head))]
    lines = []
    for row in [head, *rows]:
        cells = [cell.rjust(width) for cell, width in zip(row, widths, strict=True)]
        cells[0] = row[0].ljust(widths[0])
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def figure(value: float | None) -> str:
    """Four digits that count; `-` for what was not measured."""
    if value is None:
        return "-"
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    text = f"{value:.4g}"
    return f"{value:.3e}" if "e" in text else text


def save(path: str | None, text: str) -> None:
    """OSError if it can't be written."""
    if path:
        Path(path).write_text(text)


def as_json(data: dict[str, Any]) -> str:
    return json.dumps(data, indent=1) + "\n"
