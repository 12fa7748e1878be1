"""What a run of the fleet is to do."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MIN_SECONDS = 30  # of a run: the event comes after a third, and half of that is given to the start


class FleetEvent(StrEnum):
    """What happens after a third of a run; the values are those of the command line and the JSON."""

    STEADY = "steady"  # nothing
    RACK = "rack"
    ZONE = "zone"
    RELEASE = "release"
    SPLIT = "split"
    RESTART = "restart"
    DOWN = "down"


class InvalidPlanError(Exception):
    """A plan that can't be run here; the message is for a person."""


@dataclass(frozen=True)
class Plan:
    """The options of the command line, by the same names.

    Sizes are whole numbers, times seconds of the virtual clock, rates a second.
    """

    backends: int = 1000
    proxies: int = 100
    seconds: int = 60
    event: str = FleetEvent.STEADY
    seed: int = 1
    pushed: bool = False
    weights: bool = False
    rate: float = 3.0  # requests to each proxy
    churn: float = 1.0  # times the ordinary day's
    services: int = 1  # into which the backends fall; a release replaces a tenth of one
    tier: int = 0  # proxies that the settings name; 0 for as many as there are
    lasting: float = 0.0  # of a lost zone or a cut; 0 for a third of the run
    grace_ms: float = 1000.0
    frozen: int = 0  # proxies with the planted fault
    memory_mb: float = 0.0  # to end the run at; 0 for half of the machine's

    def check(self) -> None:
        """Raise InvalidPlanError for what can't be run."""
        for name in ("backends", "proxies", "services"):
            if getattr(self, name) < 1:
                raise InvalidPlanError(f"{name} must be at least 1")
        if self.seconds < MIN_SECONDS:
            raise InvalidPlanError(f"seconds must be at least {MIN_SECONDS}")
        if self.event not in list(FleetEvent):
            raise InvalidPlanError(f"event is unknown: {self.event!r}")
        for name in ("rate", "churn", "tier", "lasting", "frozen", "memory_mb"):
            if not 0 <= getattr(self, name) < float("inf"):
                raise InvalidPlanError(f"{name} must not be negative or infinite")
        if not 0 < self.grace_ms < float("inf"):
            raise InvalidPlanError("grace_ms must be above 0 and finite")
        if self.frozen > self.proxies:
            raise InvalidPlanError("frozen must be at most the number of proxies")

    @property
    def event_at(self) -> int:
        """The second in which the event begins."""
        return self.seconds // 3

    @property
    def started_at(self) -> int:
        """The second in which the start is over."""
        return self.event_at // 2

    @property
    def event_duration_s(self) -> float:
        """How long a lost zone or a cut lasts."""
        return self.lasting or self.seconds / 3

    @property
    def configured_proxies(self) -> int:
        """The number of proxies that the settings name."""
        return self.tier or self.proxies
