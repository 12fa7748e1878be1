"""The rules that decide whether an attempt, a retry, a rejection or the close of a connection is allowed.

Those for requests depend only on the settings, the request's class and attempts, the backend's location and
the time. `RequestLifecycle` and `ConnectionPool` check whether the client has disconnected, the backend was
removed or a deadline has passed; `Denial` includes these reasons too.

This module uses no sockets and no clock: the caller passes the time, in milliseconds. The balancer applies
the rules when it decides, and the network code applies them again just before the first byte of an attempt is
written, since the endpoint list, the client's connection or the time may have changed in between.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Protocol, TypeVar

from dunecove.policy.models import DeduplicationScope, Idempotency
from dunecove.policy.settings import RequestClass, Settings


class Denial(Enum):
    """Why an attempt is not allowed now."""

    CLIENT_DISCONNECTED = "client_disconnected"
    CLIENT_UNKNOWN = "client_unknown"  # it may have disconnected, hidden behind its unread input
    ANSWERED = "answered"  # the request has its final response
    BACKEND_REMOVED = "backend_removed"  # or it is draining
    DEADLINE_EXCEEDED = "deadline_exceeded"  # of the attempt or the request
    SHUTTING_DOWN = "shutting_down"  # the proxy could no longer send the response
    DEDUP_WINDOW_OVER = "dedup_window_over"  # backends no longer recognise the idempotency key
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    CONCURRENT_ATTEMPT = "concurrent_attempt"  # another attempt is open, and hedging is not allowed
    MAY_HAVE_EXECUTED = "may_have_executed"  # an earlier attempt, and the request is not idempotent
    OUTSIDE_DEDUP_SCOPE = "outside_dedup_scope"  # the backend does not recognise the idempotency key


# Denials whose cause may arise between the decision and the first byte of an attempt. Any other denial means
# that the decision itself broke a rule, and is counted as a violation.
EXPECTED_DENIALS = frozenset(
    (
        Denial.CLIENT_DISCONNECTED,
        Denial.CLIENT_UNKNOWN,
        Denial.ANSWERED,
        Denial.BACKEND_REMOVED,
        Denial.DEADLINE_EXCEEDED,
        Denial.SHUTTING_DOWN,
        Denial.DEDUP_WINDOW_OVER,
    )
)


class Violation(Enum):
    """A rule that was broken, or would have been broken without a check."""

    FORBIDDEN_ATTEMPT = "forbidden_attempt"  # an attempt that was decided on, and then denied
    FORBIDDEN_REJECTION = "forbidden_rejection"  # a rejection of a request that may have executed
    LATE_RESPONSE = "late_response"  # more than `RESPONSE_GRACE_MS` after the deadline
    UNANSWERED = "unanswered"  # the process exited, or closed a connection, without a final response


RESPONSE_GRACE_MS = 500.0  # a response up to this time after the deadline has no value, but is no violation


class Location(Protocol):
    """The location of a backend."""

    @property
    def zone(self) -> int:
        """The zone."""

    @property
    def cell(self) -> int:
        """The cell: a rack."""


class PreviousAttempt(Location, Protocol):
    """An earlier attempt of the same request."""

    @property
    def sent_at(self) -> float:
        """The time at which its first byte was written, or an earlier one, in ms."""

    @property
    def is_open(self) -> bool:
        """Whether it has not ended."""

    @property
    def may_have_executed(self) -> bool:
        """Whether a backend may have executed the request."""


AnyAttempt = TypeVar("AnyAttempt", bound=PreviousAttempt)


def first_executed_attempt(attempts: Sequence[AnyAttempt]) -> AnyAttempt | None:
    """Return the earliest attempt that may have executed, or None.

    The deduplication scope and window of a keyed request count from this attempt.
    """
    return next((attempt for attempt in attempts if attempt.may_have_executed), None)


def in_dedup_scope(scope: DeduplicationScope, location: Location, executed: Location) -> bool:
    """Whether a backend at `location` recognises the key of a request that was executed at `executed`."""
    if scope is DeduplicationScope.ALL:
        return True
    if scope is DeduplicationScope.ZONE:
        return location.zone == executed.zone
    return location.cell == executed.cell


def dedup_window_end(request_class: RequestClass, executed: PreviousAttempt) -> float:
    """Return the time in ms when the deduplication window of a request ends.

    `executed` is the earliest attempt of the request that may have executed.
    """
    return executed.sent_at + request_class.dedup_window_ms


def retry_denial(
    settings: Settings, request_class: RequestClass, previous: Sequence[PreviousAttempt], now: float
) -> Denial | None:
    """Return why a request must not be sent to any backend now; None if it may be sent.

    A request without previous attempts may always be sent.
    """
    if not previous:
        return None
    if len(previous) >= settings.max_attempts:
        return Denial.TOO_MANY_ATTEMPTS
    if not settings.may_hedge and any(attempt.is_open for attempt in previous):
        return Denial.CONCURRENT_ATTEMPT
    executed = first_executed_attempt(previous)
    if executed is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return Denial.MAY_HAVE_EXECUTED
    return Denial.DEDUP_WINDOW_OVER if now >= dedup_window_end(request_class, executed) else None


def attempt_denial(
    settings: Settings,
    request_class: RequestClass,
    previous: Sequence[PreviousAttempt],
    location: Location,
    now: float,
) -> Denial | None:
    """Return why a request must not be sent to a backend at this location now; None if it may be sent."""
    denial = retry_denial(settings, request_class, previous, now)
    executed = first_executed_attempt(previous)
    if denial is not None or executed is None or request_class.idempotency is not Idempotency.KEYED:
        return denial
    if in_dedup_scope(request_class.dedup_scope, location, executed):
        return None
    return Denial.OUTSIDE_DEDUP_SCOPE


def may_close_connection(has_open_requests: bool, has_unread_bytes: bool) -> bool:
    """Whether this proxy may close a client's connection; unread bytes may contain a request."""
    return not has_open_requests and not has_unread_bytes


def may_reject(request_class: RequestClass, attempts: Sequence[PreviousAttempt]) -> bool:
    """Whether a request may be rejected; a rejection promises that a retry is safe."""
    if request_class.idempotency is Idempotency.IDEMPOTENT or first_executed_attempt(attempts) is None:
        return True
    return (
        request_class.idempotency is Idempotency.KEYED and request_class.dedup_scope is DeduplicationScope.ALL
    )
