"""What is recorded while a soak runs, for the rules. Times are seconds of the tool's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from dunecove.policy.models import Idempotency


class Execution(Enum):
    """Whether an attempt was executed, by what its backend answered."""

    EXECUTED = "executed"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass
class Attempt:
    """One request as a backend read it, to its last byte."""

    request_id: str
    backend_id: str
    cell: int
    first_byte_at: float
    last_byte_at: float
    budget_ms: int  # the remaining time that the proxy named
    execution: Execution = Execution.UNKNOWN
    closed_at: float | None = None  # its connection ended, or its response was written


@dataclass
class Request:
    """One request of a client, from its last byte to its response."""

    request_id: str
    proxy: int
    incarnation: int  # of that proxy
    class_index: int  # in the record's request classes
    sent_at: float
    budget_s: float
    on_reused_connection: bool  # it had carried a request before
    disconnected_at: float | None = None  # the client closed the connection before the response
    answered_at: float | None = None
    status: int = 0
    body: bytes = b""
    connection_lost_at: float | None = None  # the proxy closed the connection before the response


@dataclass
class MisbehavingClient:
    """A connection that sends what can't be read, or half of a request, and stays."""

    proxy: int
    incarnation: int
    opened_at: float
    behaviour: str
    ended_at: float | None = None  # with an error or a close


@dataclass
class Incarnation:
    """One process of a proxy."""

    proxy: int
    number: int  # from 1 on
    started_at: float
    ready_at: float | None = None
    stopping_at: float | None = None  # SIGTERM
    killed_at: float | None = None  # SIGKILL
    ended_at: float | None = None
    exit_code: int | None = None
    log: list[str] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The name in reports."""
        return f"proxy {self.proxy}.{self.number}"


@dataclass
class ListNotification:
    """A list that discovery wrote to a proxy."""

    proxy: int
    sent_at: float
    ended_backends: tuple[str, ...]  # the ids that it names as draining or removed, or leaves out


@dataclass
class ReachableSpan:
    """A span of time in which an agent could be reached; open while `ended_at` is None."""

    started_at: float
    ended_at: float | None = None

    def lasts_beyond(self, time: float) -> bool:
        """Whether the agent could still be reached after `time`."""
        return self.ended_at is None or self.ended_at > time


@dataclass(frozen=True)
class RequestClass:
    """A class of requests, as the settings of the run name it."""

    name: str
    idempotency: Idempotency
    objective_s: float
    deadline_s: float
    deduplication_window_s: float = 0.0  # keyed: how long the backends of one cell drop repeats


@dataclass(frozen=True)
class ColdStartLimits:
    """What a backend has to bear while it is cold."""

    cold_s: float = 0.0
    start_capacity: float = 1.0  # of a warm backend's, in the moment of the start
    overload_multiple: float = 3.0
    overload_window_s: float = 1.0
    warm_rate: float = 0.0  # requests a second that a warm backend can do


@dataclass
class RunRecord:
    """All of a run."""

    classes: tuple[RequestClass, ...]
    drain_grace_s: float
    cold_start: ColdStartLimits = field(default_factory=ColdStartLimits)
    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    misbehaving_clients: list[MisbehavingClient] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    notifications: list[ListNotification] = field(default_factory=list)
    drained_at: dict[str, float] = field(default_factory=dict)  # when discovery knew of it, by backend
    reachable: dict[int, list[ReachableSpan]] = field(default_factory=dict)  # the agent of each proxy
    # When a SIGHUP named another discovery address, by proxy.
    relocated_at: dict[int, list[float]] = field(default_factory=dict)
    cold_started_at: dict[str, float] = field(default_factory=dict)  # of each cold backend
    max_lag_s: float = 0.0  # by which the tool's own loop was late

    def incarnation_of(self, request: Request) -> Incarnation:
        """Return the process that was sent a request."""
        wanted = (request.proxy, request.incarnation)
        return next(one for one in self.incarnations if (one.proxy, one.number) == wanted)
