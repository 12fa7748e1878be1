"""The record of a soak run, which the rules check. Times are seconds on the tool's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from dunecove.policy.models import Idempotency


class Execution(Enum):
    """Whether a backend executed an attempt, according to its response."""

    EXECUTED = "executed"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass
class Attempt:
    """A request that a backend has read in full."""

    request_id: str
    backend_id: str
    cell: int
    first_byte_at: float
    last_byte_at: float
    budget_ms: int  # remaining time that the proxy forwarded
    execution: Execution = Execution.UNKNOWN
    closed_at: float | None = None  # when its connection ended or its response was written


@dataclass
class Request:
    """A request that a client has sent in full, and its response."""

    request_id: str
    proxy: int
    incarnation: int  # number of the proxy's process
    class_index: int  # in RunRecord.classes
    sent_at: float
    budget_s: float
    on_reused_connection: bool  # whether the connection had carried a request before
    disconnected_at: float | None = None  # when the client closed the connection before the response
    answered_at: float | None = None
    status: int = 0
    body: bytes = b""
    connection_lost_at: float | None = None  # when the proxy closed the connection before the response


@dataclass
class MisbehavingClient:
    """A connection on which a client sends no well-formed, complete request and which it keeps open."""

    proxy: int
    incarnation: int
    opened_at: float
    behaviour: str
    ended_at: float | None = None  # when the proxy sent an error response or closed


@dataclass
class Incarnation:
    """One process of a proxy."""

    proxy: int
    number: int  # 1 for the first process of the proxy
    started_at: float
    ready_at: float | None = None
    stopping_at: float | None = None  # when SIGTERM was sent
    killed_at: float | None = None  # when SIGKILL was sent
    ended_at: float | None = None
    exit_code: int | None = None
    log: list[str] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The name of the process in reports."""
        return f"proxy {self.proxy}.{self.number}"


@dataclass
class ListNotification:
    """An endpoint list that discovery wrote to a proxy."""

    proxy: int
    sent_at: float
    ended_backends: tuple[str, ...]  # ids listed as draining or removed, or missing from a snapshot


@dataclass
class ReachableSpan:
    """A span of time in which a discovery agent was reachable; it lasts while `ended_at` is None."""

    started_at: float
    ended_at: float | None = None

    def lasts_beyond(self, time: float) -> bool:
        """Return whether the agent was still reachable after `time`."""
        return self.ended_at is None or self.ended_at > time


@dataclass(frozen=True)
class RequestClass:
    """A request class as configured for the run."""

    name: str
    idempotency: Idempotency
    objective_s: float
    deadline_s: float
    deduplication_window_s: float = 0.0  # for keyed requests: time in which a cell drops repeats


@dataclass(frozen=True)
class ColdStartLimits:
    """Limits on the load of a cold backend."""

    cold_s: float = 0.0  # time from the start of a backend until it is warm
    start_capacity: float = 1.0  # at the start, as a fraction of a warm backend's capacity
    overload_multiple: float = 3.0  # maximum requests per second, as a multiple of warm_rate * capacity
    overload_window_s: float = 1.0  # period over which requests are counted
    warm_rate: float = 0.0  # mean requests per second of a warm backend


@dataclass
class RunRecord:
    """Everything that a run recorded."""

    classes: tuple[RequestClass, ...]
    drain_grace_s: float
    cold_start: ColdStartLimits = field(default_factory=ColdStartLimits)
    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    misbehaving_clients: list[MisbehavingClient] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    notifications: list[ListNotification] = field(default_factory=list)
    # When the drain or removal of a backend was first published, by backend id.
    drained_at: dict[str, float] = field(default_factory=dict)
    # When the discovery agent of a proxy was reachable, by proxy.
    reachable: dict[int, list[ReachableSpan]] = field(default_factory=dict)
    # When a SIGHUP told a proxy of a new discovery address, by proxy.
    relocated_at: dict[int, list[float]] = field(default_factory=dict)
    cold_started_at: dict[str, float] = field(default_factory=dict)  # by backend id; cold backends only
    max_lag_s: float = 0.0  # largest delay of the tool's own event loop

    def incarnation_of(self, request: Request) -> Incarnation:
        """Return the process to which a request was sent."""
        wanted = (request.proxy, request.incarnation)
        return next(process for process in self.incarnations if (process.proxy, process.number) == wanted)
