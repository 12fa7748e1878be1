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


def describe_machine() -> dict[str, Any]:
    """Return the machine, its load as others made it, the Python and the revision of the program.

    The load is the number of processes that wanted a core, over 1 and 15 minutes.
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
    """Return the checkout's revision, with `+` where dunecove/ differs from it; `?` outside a checkout."""
    try:
        head = subprocess.run(["git", "rev-parse", "--short=12", "HEAD"], cwd=ROOT, capture_output=True)
        status = subprocess.run(["git", "status", "--porcelain", "dunecove"], cwd=ROOT, capture_output=True)
    except OSError:
        return "?"
    return (head.stdout.decode().strip() or "?") + ("+" if status.stdout.strip() else "")


def describe_run(data: dict[str, Any]) -> str:
    """Return the line on the machine, the load and the seed with which a report begins."""
    machine = data["machine"]
    return (
        f"revision {machine['revision']}, Python {machine['python']}, {machine['cpu']}, {machine['cores']} "
        f"cores, load {machine['load_1_min']} at the start; seed {data['arguments']['seed']}, "
    )


def format_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Align columns with two spaces between them; the first to the left, the others to the right."""
    widths = [max(map(len, column)) for column in zip(head, *rows, strict=True)]
    lines = []
    for row in [head, *rows]:
        cells = [cell.rjust(width) for cell, width in zip(row, widths, strict=True)]
        cells[0] = row[0].ljust(widths[0])
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def format_figure(value: float | None) -> str:
    """Format with four significant digits; `-` for what was not measured."""
    if value is None:
        return "-"
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    text = f"{value:.4g}"
    return f"{value:.3e}" if "e" in text else text


def save_text(path: str | None, text: str) -> None:
    """Write a file if one was asked for. OSError if it can't be written."""
    if path:
        Path(path).write_text(text)


def save_json(path: str | None, data: dict[str, Any]) -> None:
    """Write a JSON file if one was asked for. OSError if it can't be written."""
    save_text(path, json.dumps(data, indent=1) + "\n")


def check_writable(*paths: str | None) -> None:
    """Empty the files to be written, so that one that can't be is found before a long measurement."""
    for path in paths:
        save_text(path, "")
