"""How long a backend is to be taken for cold, in spans of real time.

A list dates the start of each backend by a wall clock. That clock, or the one by which this proxy was
started, may be off by seconds or an hour, so a date alone proves nothing. What proves a start is that its
date is new to a process that held a list before. What stands in the first lists can only be compared,
date with date. Times are milliseconds of the proxy's own clock, which runs evenly.
"""

from __future__ import annotations

from math import inf

# A list may be so late: a start that it has just told of is no older by a clock that is right.
LIST_LATE_MS = 15_000.0


class SlowStart:
    """The cold backends by name, each with the time at which it is warm."""

    def __init__(self, cold_ms: float) -> None:
        self.cold_ms = cold_ms
        self.ends: dict[str, float] = {}
        # Backends of the first lists that by this proxy's clock are warm, or have not started yet, with the
        # dates of their start. The newest of these is in the past for sure, so the others have a least age.
        self.undated: dict[str, float] = {}
        self.newest, self.heard = -inf, 0.0
        self.clock_is_right = False  # a start was heard of that was neither in the future nor long past

    def end(self, name: str) -> float:
        """When it is warm; 0 for one that is not known to be cold."""
        started = self.undated.get(name)
        if started is None:
            return self.ends.get(name, 0.0)
        if self.clock_is_right and started <= self.heard:
            return 0.0  # long past by a clock that can be believed
        return self.heard + self.cold_ms - (self.newest - started)

    def restarted(self, now: float, name: str, started: float | None) -> None:
        """The date of its start is new to a process that held a list without it."""
        self.forget(name)
        if started is None or self.cold_ms <= 0:
            return
        plausible = now - min(LIST_LATE_MS, self.cold_ms) <= started <= now
        self.clock_is_right = self.clock_is_right or plausible
        self.ends[name] = (started if plausible else now) + self.cold_ms

    def first_told(self, now: float, name: str, started: float | None) -> None:
        """The saved list did not have this date, and discovery has now been heard for the first time. How old
        the saved list was is not known."""
        if started is not None and now - self.cold_ms < started <= now:
            self.restarted(now, name, started)
        else:
            self.found(now, name, started)

    def found(self, now: float, name: str, started: float | None) -> None:
        """It stood in the list that this process began with."""
        self.forget(name)
        if started is None or self.cold_ms <= 0:
            return
        if now - self.cold_ms < started <= now:
            self.clock_is_right = True
            self.ends[name] = started + self.cold_ms
            return
        self.undated[name] = started
        if started > self.newest:
            self.newest, self.heard = started, now

    def forget(self, name: str) -> None:
        self.ends.pop(name, None)
        self.undated.pop(name, None)

    def prune(self, now: float) -> None:
        """Drop those that are warm by now."""
        for name in [name for name in (*self.ends, *self.undated) if self.end(name) <= now]:
            self.forget(name)
