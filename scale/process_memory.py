"""The resident memory of a process, as reported by the kernel."""

from __future__ import annotations

import os
from pathlib import Path


def resident_bytes(pid: int | None = None) -> int:
    """Return the current resident bytes of a process; `pid` None means this process."""
    pages = Path(f"/proc/{pid or 'self'}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")
