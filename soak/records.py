"""What is written down while a soak runs, for the judge. Times are seconds of the tool's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from dunecove.policy.models import Idempotency


class Ran(Enum):
    """Whether an attempt has run, by what its backend answered."""

    SERVED = "served"
    REJECTED = "rejected"  # turned away: it never ran
    MAYBE = "maybe"


@dataclass
class Attempt:
    """One request as a backend read it, to its last byte."""

    request: str
    backend: str
    cell: int
    first_byte: float
    last_byte: float
    budget_ms: int  # what it was told of the time that is left
    ran: Ran = Ran.MAYBE
    closed: float | None = None  # when its connection ended, or its answer was out


@dataclass
class Request:
    """One request of a client, from its last byte to its answer."""

    id: str
    proxy: int
    life: int  # of that proxy: which of its processes
    lane: int
    sent: float
    budget_s: float
    kept: bool  # its connection had carried a request before
    left: float | None = None  # when its client closed the connection without an answer
    answered: float | None = None
    status: int = 0
    body: bytes = b""
    broken: float | None = None  # when the connection ended without an answer


@dataclass
class BadClient:
    """A connection that sends what can't be read, or half of a request, and stays."""

    proxy: int
    life: int
    opened: float
    manner: str
    ended: float | None = None  # with an error or a close


@dataclass
class Life:
    """One process of a proxy."""

    proxy: int
    life: int
    started: float
    ready: float | None = None
    stopping: float | None = None  # SIGTERM
    killed: float | None = None  # SIGKILL
    ended: float | None = None
    code: int | None = None
    log: list[str] = field(default_factory=list)


@dataclass
class Told:
    """A list that discovery wrote to a proxy."""

    proxy: int
    at: float
    drains: tuple[str, ...]  # the uids that it names as draining or gone, or leaves out


@dataclass
class Agent:
    """Spans in which a proxy's agent could be reached; the last one may be open."""

    proxy: int
    spans: list[tuple[float, float | None]] = field(default_factory=list)


@dataclass(frozen=True)
class Lane:
    """A class of requests, as the settings of the run name it."""

    name: str
    effect: Idempotency
    aim_s: float
    deadline_s: float
    window_s: float = 0.0  # keyed: how long the backends of one cell drop repeats


@dataclass
class Journal:
    """All of a run."""

    lanes: tuple[Lane, ...]
    drain_grace_s: float
    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    bad_clients: list[BadClient] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    drains: dict[str, float] = field(default_factory=dict)  # when discovery knew of each
    agents: dict[int, Agent] = field(default_factory=dict)
    moved: dict[int, list[float]] = field(
        default_factory=dict
    )  # SIGHUPs that name another discovery, by proxy
    cold: dict[str, float] = field(default_factory=dict)  # when each cold backend started
    cold_s: float = 0.0
    start_part: float = 1.0
    fall_multiple: float = 3.0
    fall_s: float = 1.0
    warm_rate: float = 0.0  # requests a second that a warm backend can do
    lag_s: float = 0.0  # the longest that the tool's own loop was late
