"""The clock of events and deadlines: monotonic Unix time in ms, comparable with a backend's `boot_ms`."""

from __future__ import annotations

import time

_UNIX_OFFSET_MS = (time.time() - time.monotonic()) * 1000


def now_ms() -> float:
    """Return the current time in ms; it never decreases, even if the system clock is set back."""
    return _UNIX_OFFSET_MS + time.monotonic() * 1000
