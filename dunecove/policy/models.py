"""Types shared by events, actions and settings."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may be retried after an attempt that may have executed."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"  # has an idempotency key, valid in its class's deduplication scope and window
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(Enum):
    """The set of backends that share their record of an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptResult(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # by the backend, which guarantees that nothing was executed
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # also: the request was not written completely
    RESET = "reset"
    CANCELLED = "cancelled"
    WITHDRAWN = "withdrawn"  # before it was written completely: no longer needed, or no longer allowed
    # This proxy had no connection or file descriptor left, or delayed the attempt beyond its deadline.
    NO_LOCAL_RESOURCE = "no_local_resource"
    BAD_REQUEST = "bad_request"  # the request is invalid; any other backend would report the same


NEVER_EXECUTED = frozenset(
    {
        AttemptResult.REJECTED,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.WITHDRAWN,
        AttemptResult.NO_LOCAL_RESOURCE,
    }
)


class BackendState(Enum):
    """The state of a backend in the endpoint list."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "removed"


class BackendInfo(NamedTuple):
    """One entry of the endpoint list."""

    backend_id: str
    state: BackendState = BackendState.ACTIVE
    zone: int = 0
    kind: int = 0  # kind of hardware
    cell: int = 0  # rack
    started_at: float | None = None  # latest start, in ms of the proxy's clock; None: long ago
    weight: float = 1.0  # capacity relative to other backends; 1 if unknown
