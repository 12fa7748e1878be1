"""The plan of a fleet run: its options and their validation."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MIN_SECONDS = 30  # minimum duration: the event begins after a third, and the start-up phase is half of that


class FleetEvent(StrEnum):
    """The event after a third of a run; the values are used on the command line and in the JSON output."""

    STEADY = "steady"  # no event
    RACK = "rack"
    ZONE = "zone"
    RELEASE = "release"
    SPLIT = "split"
    RESTART = "restart"
    DOWN = "down"


class InvalidPlanError(Exception):
    """A plan that can't be run; the message is for the user."""


@dataclass(frozen=True)
class Plan:
    """The command line options, under the same names.

    Times are in seconds of the virtual clock unless named otherwise, rates are per second.
    """

    backends: int = 1000
    proxies: int = 100
    seconds: int = 60
    event: str = FleetEvent.STEADY
    seed: int = 1
    pushed: bool = False
    weights: bool = False
    rate: float = 3.0  # requests to each proxy
    churn: float = 1.0  # multiple of the churn on an ordinary day
    services: int = 1  # number of services of the backends; a release replaces a tenth of one
    tier: int = 0  # number of proxies in the settings; 0: `proxies`
    lasting: float = 0.0  # duration of a zone outage or partition; 0: a third of the run
    grace_ms: float = 1000.0
    frozen: int = 0  # number of proxies that ignore list updates, as an injected fault
    memory_mb: float = 0.0  # memory limit of the run; 0: half of the machine's memory

    def check(self) -> None:
        """Raise InvalidPlanError if the plan can't be run."""
        for name in ("backends", "proxies", "services"):
            if getattr(self, name) < 1:
                raise InvalidPlanError(f"{name} must be at least 1")
        if self.seconds < MIN_SECONDS:
            raise InvalidPlanError(f"seconds must be at least {MIN_SECONDS}")
        if self.event not in list(FleetEvent):
            raise InvalidPlanError(f"event {self.event!r} is unknown")
        for name in ("rate", "churn", "tier", "lasting", "frozen", "memory_mb"):
            if not 0 <= getattr(self, name) < float("inf"):
                raise InvalidPlanError(f"{name} must not be negative or infinite")
        if not 0 < self.grace_ms < float("inf"):
            raise InvalidPlanError("grace_ms must be above 0 and finite")
        if self.frozen > self.proxies:
            raise InvalidPlanError("frozen must be at most the number of proxies")

    @property
    def event_at(self) -> int:
        """The second at which the event begins."""
        return self.seconds // 3

    @property
    def started_at(self) -> int:
        """The second at which the start-up phase ends."""
        return self.event_at // 2

    @property
    def event_duration_s(self) -> float:
        """The duration of a zone outage or partition."""
        return self.lasting or self.seconds / 3

    @property
    def configured_proxies(self) -> int:
        """The number of proxies in the settings."""
        return self.tier or self.proxies
