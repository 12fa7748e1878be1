"""The rules on attempts, retries, rejections and closes that depend on a request and its class.

Whether the client has gone, the backend was removed or a deadline has passed is checked by `RequestLifecycle`
and `ConnectionPool`; `Denial` names these reasons too.

This module has no sockets and no clock: the caller brings the time, in milliseconds. The balancer asks
before it decides, and the network code asks again just before the first byte of an attempt is written, since
the endpoint list, the client or the time may have moved between the two.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Protocol, TypeVar

from dunecove.policy.models import DeduplicationScope, Idempotency
from dunecove.policy.settings import RequestClass, Settings


class Denial(Enum):
    """Why something may not be done now."""

    CLIENT_DISCONNECTED = "client_disconnected"
    ANSWERED = "answered"  # the request has its final answer
    BACKEND_REMOVED = "backend_removed"  # or it drains
    DEADLINE_EXCEEDED = "deadline_exceeded"  # the attempt's or the request's
    SHUTTING_DOWN = "shutting_down"  # the program could not answer it any more
    DEDUP_WINDOW_OVER = "dedup_window_over"  # backends have forgotten the key
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    CONCURRENT_ATTEMPT = "concurrent_attempt"  # another attempt is open
    MAY_HAVE_EXECUTED = "may_have_executed"
    OUTSIDE_DEDUP_SCOPE = "outside_dedup_scope"  # the backend does not know the key


# Those that may come about between a decision and its first byte. The others mean that the decision itself
# broke a rule, and are counted as violations.
EXPECTED_DENIALS = frozenset(
    (
        Denial.CLIENT_DISCONNECTED,
        Denial.ANSWERED,
        Denial.BACKEND_REMOVED,
        Denial.DEADLINE_EXCEEDED,
        Denial.SHUTTING_DOWN,
        Denial.DEDUP_WINDOW_OVER,
    )
)


class Violation(Enum):
    """A rule that was broken, or would have been without a check here."""

    FORBIDDEN_ATTEMPT = "forbidden_attempt"  # decided, but denied
    FORBIDDEN_REJECTION = "forbidden_rejection"  # of what may have executed
    LATE_RESPONSE = "late_response"  # more than `RESPONSE_GRACE_MS` after the deadline
    UNANSWERED = "unanswered"  # the program ended, or closed a connection, with a request open


RESPONSE_GRACE_MS = 500.0  # after the deadline: a response earns nothing any more, but still counts as given


class Location(Protocol):
    """Where a backend is."""

    @property
    def zone(self) -> int:
        """Its zone."""

    @property
    def cell(self) -> int:
        """Its rack."""


class PreviousAttempt(Location, Protocol):
    """An earlier attempt of the same request."""

    @property
    def sent_at(self) -> float:
        """When its first byte was written, or earlier."""

    @property
    def is_open(self) -> bool:
        """Whether it has not ended."""

    @property
    def may_have_executed(self) -> bool:
        """Whether a backend may have executed the request."""


AnyAttempt = TypeVar("AnyAttempt", bound=PreviousAttempt)


def first_executed_attempt(attempts: Sequence[AnyAttempt]) -> AnyAttempt | None:
    """Return the earliest attempt that may have executed; what a class allows counts from it."""
    return next((attempt for attempt in attempts if attempt.may_have_executed), None)


def in_dedup_scope(scope: DeduplicationScope, location: Location, executed: Location) -> bool:
    """Whether a backend at `location` recognises a repeat of what was executed at the other location."""
    if scope is DeduplicationScope.ALL:
        return True
    if scope is DeduplicationScope.ZONE:
        return location.zone == executed.zone
    return location.cell == executed.cell


def dedup_window_end(request_class: RequestClass, executed: PreviousAttempt) -> float:
    """Return when backends forget the key of a request that `executed` may have executed, in ms."""
    return executed.sent_at + request_class.dedup_window_ms


def retry_denial(
    settings: Settings, request_class: RequestClass, previous: Sequence[PreviousAttempt], now: float
) -> Denial | None:
    """Return why a request may not be sent now, to whichever backend; None if it may.

    The first attempt, without previous ones, may always be sent.
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
    """Return why a request may not be sent to a backend at this location now; None if it may."""
    denial = retry_denial(settings, request_class, previous, now)
    executed = first_executed_attempt(previous)
    if denial is not None or executed is None or request_class.idempotency is not Idempotency.KEYED:
        return denial
    if in_dedup_scope(request_class.dedup_scope, location, executed):
        return None
    return Denial.OUTSIDE_DEDUP_SCOPE


def may_close_connection(has_open_requests: bool, has_unread_bytes: bool) -> bool:
    """Whether this proxy may end a client's connection; unread bytes of the client may be a request."""
    return not has_open_requests and not has_unread_bytes


def may_reject(request_class: RequestClass, attempts: Sequence[PreviousAttempt]) -> bool:
    """Whether a request may get a rejection, which promises that a retry is safe."""
    if request_class.idempotency is Idempotency.IDEMPOTENT or first_executed_attempt(attempts) is None:
        return True
    return (
        request_class.idempotency is Idempotency.KEYED and request_class.dedup_scope is DeduplicationScope.ALL
    )
