"""What happens outside the decisions: the input of `Balancer.step`. Times and durations are in ms."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from dunecove.policy.models import AttemptResult, BackendInfo


class RequestArrived(NamedTuple):
    """A client's request has been read to its last byte."""

    request_id: str
    class_index: int  # in `Settings.classes`
    tenant: int  # index in `Settings.tenant_quotas`
    affinity_key: int | None
    deadline: float  # time at which the client stops waiting, for this try and all others
    is_retry: bool = False  # marked by the client as a retry
    work_hint_ms: float = 0.0  # the client's estimate, on a standard core; 0 where it gives none


class AttemptEnded(NamedTuple):
    """An attempt has its result."""

    request_id: str
    attempt_index: int  # from 0, in the order of `Forward` actions for this request
    result: AttemptResult
    latency_ms: float
    request_finished: bool  # the request is over, by this result or before it


class ResponseStarted(NamedTuple):
    """The first part of a streamed response has come (raised by the simulator only).

    It takes a waiting retry out of its queue.
    """

    request_id: str
    attempt_index: int
    latency_ms: float


class ClientDisconnected(NamedTuple):
    """Nobody waits for the response any more."""

    request_id: str


class ListUpdateKind(Enum):
    """What an update of the endpoint list holds."""

    DELTA = "delta"  # the entries that changed
    SNAPSHOT = "snapshot"  # all entries
    CACHED = "cached"  # a list from before this process, of unknown age
    CACHED_CONTINUED = "cached_continued"  # further entries of a long cached list
    FAILED = "failed"  # nothing: the poll failed


class BackendListUpdate(NamedTuple):
    """Discovery has answered, or failed to."""

    kind: ListUpdateKind
    entries: tuple[BackendInfo, ...] = ()


class DiscoveryMoved(NamedTuple):
    """The endpoint list comes from another discovery service from now on, which has not been polled yet."""


class HealthCheckResult(NamedTuple):
    """A health check has ended. Part of the wire; not used by the decisions so far."""

    backend_id: str
    result: AttemptResult
    latency_ms: float


class GossipReceived(NamedTuple):
    """A message of another proxy of this tier; it may come late, twice or never."""

    sender_index: int  # the sender's `Settings.proxy_index`
    payload: bytes


class TimerFired(NamedTuple):
    """The timer of a `SetTimer` action has run out."""

    token: int


Event = (
    RequestArrived
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | BackendListUpdate
    | DiscoveryMoved
    | HealthCheckResult
    | GossipReceived
    | TimerFired
)
