"""Actions: the output of `Balancer.step`. Durations are in milliseconds."""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import NamedTuple


class EndReason(Enum):
    """Why a request ends without a response from a backend."""

    UNSPECIFIED = "unspecified"
    LOAD_SHED = "load_shed"  # rejected on arrival, because of overload
    DEADLINE_TOO_CLOSE = "deadline_too_close"  # failed on arrival: too little time left for a response
    QUEUE_TIMEOUT = "queue_timeout"  # no backend had capacity by the send deadline; earlier under overload
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    RETRY_NOT_ALLOWED = "retry_not_allowed"  # because of the request's class, deadline or number of attempts
    ATTEMPT_WITHDRAWN = "attempt_withdrawn"  # withdrawn before it was written completely
    BAD_REQUEST = "bad_request"  # the backend reported that the request is invalid


class Forward(NamedTuple):
    """Start an attempt of a request at a backend."""

    request_id: str
    backend_id: str
    timeout_ms: float
    write_timeout_ms: float = inf  # an attempt that is not completely written after this time is aborted


class Reject(NamedTuple):
    """Send a final response that promises that a retry is safe."""

    request_id: str
    retry_after_ms: float  # 0: no Retry-After
    reason: EndReason = EndReason.UNSPECIFIED


class Fail(NamedTuple):
    """Send a final error response; the request may have been executed."""

    request_id: str
    reason: EndReason = EndReason.UNSPECIFIED


class CancelAttempt(NamedTuple):
    """Cancel an open attempt."""

    request_id: str
    attempt_index: int


class SendHealthCheck(NamedTuple):
    """Check a backend's health. Part of the simulator's wire format; `Balancer` never returns it."""

    backend_id: str


class PollDiscovery(NamedTuple):
    """Poll discovery: open a watch (long polls of the endpoint list) unless there is one."""


class SendGossip(NamedTuple):
    """Send a message of at most 256 bytes to all other proxies of this tier."""

    payload: bytes


class SetTimer(NamedTuple):
    """Deliver a `TimerFired` event with this token after a delay."""

    delay_ms: float
    token: int


class BackendEjected(NamedTuple):
    """Log that a backend was ejected because of failures that this proxy observed.

    Ejections caused by gossiped failure reports are not logged.
    """

    backend_id: str
    consecutive_failures: int

    def __str__(self) -> str:
        return f"ejected backend {self.backend_id}: outlier, {self.consecutive_failures} consecutive failures"


Action = (
    Forward
    | Reject
    | Fail
    | CancelAttempt
    | SendHealthCheck
    | PollDiscovery
    | SendGossip
    | SetTimer
    | BackendEjected
)
