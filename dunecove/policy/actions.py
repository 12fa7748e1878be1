"""What the decisions want done: the output of `Balancer.step`. Durations are in milliseconds."""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import NamedTuple


class EndReason(Enum):
    """Why a request ends without a backend's response."""

    UNSPECIFIED = "unspecified"
    LOAD_SHED = "load_shed"  # on arrival
    DEADLINE_TOO_CLOSE = "deadline_too_close"  # on arrival: too little time for a response
    QUEUE_TIMEOUT = "queue_timeout"  # no backend had capacity for it in its time
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    RETRY_NOT_ALLOWED = "retry_not_allowed"  # by its class, its deadline or its number of attempts
    ATTEMPT_WITHDRAWN = "attempt_withdrawn"  # the attempt lost its purpose before it was written
    BAD_REQUEST = "bad_request"  # its backend said so


class Forward(NamedTuple):
    """Begin an attempt of a request at a backend."""

    request_id: str
    backend_id: str
    timeout_ms: float
    write_timeout_ms: float = inf  # its last byte is written within this time, or no byte is


class Reject(NamedTuple):
    """Final response: nothing was executed, and a retry is safe."""

    request_id: str
    retry_after_ms: float  # 0: not said
    reason: EndReason = EndReason.UNSPECIFIED


class Fail(NamedTuple):
    """Final response: the request may have been executed."""

    request_id: str
    reason: EndReason = EndReason.UNSPECIFIED


class CancelAttempt(NamedTuple):
    """Abandon an open attempt."""

    request_id: str
    attempt_index: int


class SendHealthCheck(NamedTuple):
    """Check a backend's health. Part of the wire; not used by the decisions so far."""

    backend_id: str


class PollDiscovery(NamedTuple):
    """Open a watch on the endpoint list."""


class SendGossip(NamedTuple):
    """Send a message of at most 256 bytes to all other proxies of this tier."""

    payload: bytes


class SetTimer(NamedTuple):
    """Raise `TimerFired` with this token after a delay."""

    delay_ms: float
    token: int


class BackendEjected(NamedTuple):
    """To be logged: this proxy's own failure count ejected a backend.

    Ejections by gossip reports are not logged.
    """

    backend_id: str
    consecutive_failures: int

    def __str__(self) -> str:
        return f"ejected backend {self.backend_id}: {self.consecutive_failures} consecutive failures"


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
