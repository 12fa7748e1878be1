"""What one hollow proxy used, was told and did, second by second."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from contextvars import ContextVar


class Series:
    """Amounts by whole second of the run; seconds without any are 0."""

    def __init__(self) -> None:
        self.values: list[float] = []

    def add(self, second: int, amount: float) -> None:
        if second >= len(self.values):
            self.values.extend([0.0] * (second + 1 - len(self.values)))
        self.values[second] += amount

    def at(self, second: int) -> float:
        return self.values[second] if second < len(self.values) else 0.0


class Versions:
    """Versions of the list with the time (s) at which each came, both rising."""

    def __init__(self) -> None:
        self.revs: list[int] = []
        self.times: list[float] = []

    def add(self, now: float, rev: int) -> None:
        if not self.revs or rev > self.revs[-1]:
            self.revs.append(rev)
            self.times.append(now)

    def since(self, rev: int) -> float | None:
        """When that version or a later one came first; None if none has."""
        place = bisect_left(self.revs, rev)
        return self.times[place] if place < len(self.times) else None


class Account:
    """One proxy's figures. Processor time is in seconds; bytes are those of HTTP, with no TCP/IP headers."""

    def __init__(self) -> None:
        self.cpu, self.bytes = Series(), Series()
        self.started = 0.0  # time (s) of its latest start
        self.told, self.held = Versions(), Versions()  # by the list service; by the module
        self.counts: Counter[str] = Counter()

    def start(self, now: float) -> None:
        """A new process has been told nothing and holds nothing."""
        self.started = now
        self.told, self.held = Versions(), Versions()


ACCOUNT: ContextVar[Account | None] = ContextVar("ACCOUNT", default=None)
"""Whose callbacks run: tasks, timers and connections inherit it; None is the world's own."""
