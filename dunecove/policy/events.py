"""Events: the input of `Balancer.step`. Times and durations are in ms."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from dunecove.policy.models import AttemptResult, BackendInfo


class RequestArrived(NamedTuple):
    """A client's request has been received in full."""

    request_id: str
    class_index: int  # index in `Settings.classes`
    tenant: int  # index in `Settings.tenant_quotas`
    affinity_key: int | None
    deadline: float  # time at which the client stops waiting, also for its own retries
    is_retry: bool = False  # whether the client marked it as a retry
    work_hint_ms: float = 0.0  # the client's estimate of the work on a standard core; 0: no estimate


class AttemptEnded(NamedTuple):
    """An attempt has ended."""

    request_id: str
    attempt_index: int  # 0 for the first `Forward` action of this request
    result: AttemptResult
    latency_ms: float
    request_finished: bool  # whether the request has its final response, from this attempt or earlier


class ResponseStarted(NamedTuple):
    """The first part of a streamed response has been received (only the simulator sends this event).

    A retry of the request that is still queued is dropped.
    """

    request_id: str
    attempt_index: int
    latency_ms: float


class ClientDisconnected(NamedTuple):
    """The client has disconnected and no longer waits for the response."""

    request_id: str


class ListUpdateKind(Enum):
    """The content of an endpoint list update."""

    DELTA = "delta"  # only the entries that changed
    SNAPSHOT = "snapshot"  # all entries
    CACHED = "cached"  # a list from before this process started, of unknown age
    CACHED_CONTINUED = "cached_continued"  # further entries of a long cached list
    FAILED = "failed"  # no entries: a poll or a watch failed


class BackendListUpdate(NamedTuple):
    """Discovery has returned an endpoint list update, or a poll or a watch has failed."""

    kind: ListUpdateKind
    entries: tuple[BackendInfo, ...] = ()


class DiscoveryMoved(NamedTuple):
    """The proxy now uses another discovery service, which has not been polled yet."""


class HealthCheckResult(NamedTuple):
    """A health check has ended. Part of the simulator's wire format; `Balancer` ignores it."""

    backend_id: str
    result: AttemptResult
    latency_ms: float


class GossipReceived(NamedTuple):
    """A message from another proxy of this tier; it may be delayed, duplicated or lost."""

    sender_index: int  # the sender's `Settings.proxy_index`
    payload: bytes


class TimerFired(NamedTuple):
    """The timer of a `SetTimer` action has expired."""

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
