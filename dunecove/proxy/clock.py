"""The clock of events and deadlines: monotonic milliseconds, anchored once to Unix time for `boot_ms`."""

from __future__ import annotations

import time

_ANCHOR_MS = (time.time() - time.monotonic()) * 1000


def now_ms() -> float:
    """Return the time in ms; it never goes back."""
    return _ANCHOR_MS + time.monotonic() * 1000
