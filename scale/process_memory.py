"""The resident memory of a process, as the kernel tells it."""

from __future__ import annotations

import os
from pathlib import Path


def resident_bytes(pid: int | None = None) -> int:
    """Return the bytes of a process that are in memory now; of this process where `pid` is None."""
    pages = Path(f"/proc/{pid or 'self'}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")
