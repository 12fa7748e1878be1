"""The one place that says whether something may be sent, repeated, refused or taken now.

It has no sockets and no clock: whoever asks brings the time, in milliseconds. The decision module asks it
before it decides, and the network code asks it again just before the first byte of an attempt is written,
since a list, a client or the time may have moved between the two. The rules are those of the operators'
pages.
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
    BACKEND_REMOVED = "backend_removed"  # it drains or is gone
    DEADLINE_EXCEEDED = "deadline_exceeded"  # of the attempt or of the request
    SHUTTING_DOWN = "shutting_down"  # the program ends, and could not answer it any more
    DEDUP_WINDOW_OVER = "dedup_window_over"  # repeats of a keyed request are not remembered any longer
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    CONCURRENT_ATTEMPT = "concurrent_attempt"  # another attempt is still out
    MAY_HAVE_EXECUTED = "may_have_executed"
    OUTSIDE_DEDUP_SCOPE = "outside_dedup_scope"  # backends there don't know the repeats of this request


# Those that the world may bring about between a decision and its first byte. The others mean that the
# decision itself broke a rule, and are counted as violations.
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
    """A rule that was broken, or would have been, had the rules not been asked."""

    FORBIDDEN_ATTEMPT = "forbidden_attempt"  # a decision that the rules denied
    FORBIDDEN_REJECTION = "forbidden_rejection"  # a refusal of what may have run
    LATE_RESPONSE = "late_response"  # more than `LATE_MS` after the request's time
    UNANSWERED = "unanswered"  # the program ended, or closed a connection, with a request open


RESPONSE_GRACE_MS = (
    500.0  # after a request's time: its answer earns nothing before that, and is lost from then on
)


class Location(Protocol):
    """Where a backend stands."""

    @property
    def zone(self) -> int: ...

    @property
    def cell(self) -> int: ...


class PreviousAttempt(Location, Protocol):
    """An attempt that was made before."""

    @property
    def sent_at(self) -> float: ...  # when its first byte was written, or earlier

    @property
    def is_open(self) -> bool: ...  # it has not ended

    @property
    def may_have_executed(self) -> bool: ...


E = TypeVar("E", bound=PreviousAttempt)


def first_executed_attempt(earlier: Sequence[E]) -> E | None:
    """The earliest attempt that may have run: what a class allows counts from it."""
    return next((attempt for attempt in earlier if attempt.may_have_executed), None)


def in_dedup_scope(scope: DeduplicationScope, place: Location, ran: Location) -> bool:
    """Whether a backend at `place` drops repeats of what ran at the other place."""
    if scope is DeduplicationScope.ALL:
        return True
    return place.zone == ran.zone if scope is DeduplicationScope.ZONE else place.cell == ran.cell


def retry_denial(
    settings: Settings, spec: RequestClass, earlier: Sequence[PreviousAttempt], now: float
) -> Denial | None:
    """Whether a request of this class may be sent once more, wherever; None if it may."""
    if not earlier:
        return None
    if len(earlier) >= settings.max_attempts:
        return Denial.TOO_MANY_ATTEMPTS
    if not settings.may_hedge and any(attempt.is_open for attempt in earlier):
        return Denial.CONCURRENT_ATTEMPT
    ran = first_executed_attempt(earlier)
    if ran is None or spec.idempotency is Idempotency.IDEMPOTENT:
        return None
    if spec.idempotency is Idempotency.NON_IDEMPOTENT:
        return Denial.MAY_HAVE_EXECUTED
    return Denial.DEDUP_WINDOW_OVER if now >= ran.sent_at + spec.dedup_window_ms else None


def attempt_denial(
    settings: Settings, spec: RequestClass, earlier: Sequence[PreviousAttempt], place: Location, now: float
) -> Denial | None:
    """Whether it may be sent to a backend at `place`; None if it may."""
    denial = retry_denial(settings, spec, earlier, now)
    ran = first_executed_attempt(earlier)
    if denial is not None or ran is None or spec.idempotency is not Idempotency.KEYED:
        return denial
    return None if in_dedup_scope(spec.dedup_scope, place, ran) else Denial.OUTSIDE_DEDUP_SCOPE


def may_close_connection(requests_open: bool, asked: bool) -> bool:
    """Whether this proxy may end a client's connection; `asked`: bytes of the client lie there unread."""
    return not requests_open and not asked


def may_reject(spec: RequestClass, earlier: Sequence[PreviousAttempt]) -> bool:
    """Whether it may be answered with the promise that another try does no harm."""
    if spec.idempotency is Idempotency.IDEMPOTENT or first_executed_attempt(earlier) is None:
        return True
    return spec.idempotency is Idempotency.KEYED and spec.dedup_scope is DeduplicationScope.ALL
