"""The clock of events and deadlines: monotonic ms, anchored once to Unix time to compare with `boot_ms`."""

from __future__ import annotations

import time

_ANCHOR_MS = (time.time() - time.monotonic()) * 1000


def now_ms() -> float:
    """Return the current time in ms; it never decreases."""
    return _ANCHOR_MS + time.monotonic() * 1000
