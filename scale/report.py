"""Description of the machine, plain-text tables and output files of a report."""

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


def describe_machine() -> dict[str, Any]:
    """Return the hardware, the Python version, the program's revision, and the load before the measurement.

    The load is the kernel's load average over 1 and 15 minutes.
    """
    load_1_min, _, load_15_min = os.getloadavg()
    return {
        "cpu": _proc_value("/proc/cpuinfo", "model name") or "?",
        "cores": os.cpu_count(),
        "memory_mb": int((_proc_value("/proc/meminfo", "MemTotal") or "0").split()[0]) // 1024,
        "system": f"{platform.system()} {platform.release()}",
        "python": platform.python_version(),
        "revision": program_revision(),
        "load_1_min": round(load_1_min, 2),
        "load_15_min": round(load_15_min, 2),
        "time": datetime.now(UTC).isoformat(timespec="seconds"),
    }


def _proc_value(path: str, key: str) -> str | None:
    try:
        lines = Path(path).read_text().splitlines()
    except OSError:
        return None
    return next((line.split(":", 1)[1].strip() for line in lines if line.startswith(key)), None)


def program_revision() -> str:
    """Return the Git revision, with `+` if dunecove/ has uncommitted changes; `?` outside a checkout."""
    try:
        head = subprocess.run(["git", "rev-parse", "--short=12", "HEAD"], cwd=ROOT, capture_output=True)
        status = subprocess.run(["git", "status", "--porcelain", "dunecove"], cwd=ROOT, capture_output=True)
    except OSError:
        return "?"
    return (head.stdout.decode().strip() or "?") + ("+" if status.stdout.strip() else "")


def describe_run(data: dict[str, Any]) -> str:
    """Return the start of a report: the revision, the machine, its load and the seed."""
    machine = data["machine"]
    return (
        f"revision {machine['revision']}, Python {machine['python']}, {machine['cpu']}, {machine['cores']} "
        f"cores, load {machine['load_1_min']} at the start; seed {data['arguments']['seed']}, "
    )


def format_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table with two spaces between columns, the first left-aligned, the others right-aligned."""
    widths = [max(map(len, column)) for column in zip(head, *rows, strict=True)]
    lines = []
    for row in [head, *rows]:
        cells = [cell.rjust(width) for cell, width in zip(row, widths, strict=True)]
        cells[0] = row[0].ljust(widths[0])
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def format_figure(value: float | None) -> str:
    """Return a value with four significant digits, or `-` for one that was not measured."""
    if value is None:
        return "-"
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    text = f"{value:.4g}"
    return f"{value:.3e}" if "e" in text else text


def save_text(path: str | None, text: str) -> None:
    """Write a text file unless `path` is empty; raise OSError if it can't be written."""
    if path:
        Path(path).write_text(text)


def save_json(path: str | None, data: dict[str, Any]) -> None:
    """Write a JSON file unless `path` is empty; raise OSError if it can't be written."""
    save_text(path, json.dumps(data, indent=1) + "\n")


def check_writable(*paths: str | None) -> None:
    """Truncate the output files; raise OSError for an unwritable one before a long measurement starts."""
    for path in paths:
        save_text(path, "")
