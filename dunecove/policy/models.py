"""The values that events, actions and settings are made of."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may be attempted again once it may have executed."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"  # by an idempotency key, within the class's deduplication scope and window
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(Enum):
    """The backends that share what they know of an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptResult(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # by the backend: it promises that nothing was executed
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # or the request was not written whole
    RESET = "reset"
    CANCELLED = "cancelled"
    WITHDRAWN = "withdrawn"  # before it was written: nobody waits for it any more
    NO_LOCAL_RESOURCE = "no_local_resource"  # this proxy lacked a connection, a descriptor or the time
    BAD_REQUEST = "bad_request"  # the request itself is at fault, another backend would say so too


NEVER_EXECUTED = frozenset(
    {
        AttemptResult.REJECTED,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.WITHDRAWN,
        AttemptResult.NO_LOCAL_RESOURCE,
    }
)


class BackendState(Enum):
    """What the endpoint list says of a backend."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "removed"


class BackendInfo(NamedTuple):
    """One entry of the endpoint list."""

    backend_id: str
    state: BackendState = BackendState.ACTIVE
    zone: int = 0
    kind: int = 0  # of hardware
    cell: int = 0  # the rack
    started_at: float | None = None  # ms on the proxy's clock, its latest start; None: long ago
    weight: float = 1.0  # capacity relative to other backends; 1 where unknown
