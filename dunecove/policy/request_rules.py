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

from dunecove.policy.api import Effect, RequestClass, Scope, Settings


class Denial(Enum):
    """Why something may not be done now."""

    CLIENT_LEFT = "client_left"
    ANSWERED = "answered"  # the request has its final answer
    BACKEND_LEFT = "backend_left"  # it drains or is gone
    TIME_OVER = "time_over"  # of the attempt or of the request
    STOPPED = "stopped"  # the program ends, and could not answer it any more
    WINDOW_OVER = "window_over"  # repeats of a keyed request are not remembered any longer
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    SECOND_COPY = "second_copy"  # another attempt is still out
    MAY_HAVE_RUN = "may_have_run"
    OUTSIDE_GROUP = "outside_group"  # backends there don't know the repeats of this request


# Those that the world may bring about between a decision and its first byte. The others mean that the
# decision itself broke a rule, and are counted as violations.
EXPECTED = frozenset(
    (
        Denial.CLIENT_LEFT,
        Denial.ANSWERED,
        Denial.BACKEND_LEFT,
        Denial.TIME_OVER,
        Denial.STOPPED,
        Denial.WINDOW_OVER,
    )
)


class Violation(Enum):
    """A rule that was broken, or would have been, had the rules not been asked."""

    BAD_SEND = "bad_send"  # a decision that the rules denied
    BAD_REFUSAL = "bad_refusal"  # a refusal of what may have run
    LATE_ANSWER = "late_answer"  # more than `LATE_MS` after the request's time
    UNANSWERED = "unanswered"  # the program ended, or closed a connection, with a request open


LATE_MS = 500.0  # after a request's time: its answer earns nothing before that, and is lost from then on


class Place(Protocol):
    """Where a backend stands."""

    @property
    def zone(self) -> int: ...

    @property
    def cell(self) -> int: ...


class Earlier(Place, Protocol):
    """An attempt that was made before."""

    @property
    def sent(self) -> float: ...  # when its first byte was written, or earlier

    @property
    def open(self) -> bool: ...  # it has not ended

    @property
    def maybe_ran(self) -> bool: ...


E = TypeVar("E", bound=Earlier)


def first_run(earlier: Sequence[E]) -> E | None:
    """The earliest attempt that may have run: what a class allows counts from it."""
    return next((attempt for attempt in earlier if attempt.maybe_ran), None)


def same_group(scope: Scope, place: Place, ran: Place) -> bool:
    """Whether a backend at `place` drops repeats of what ran at the other place."""
    if scope is Scope.ALL:
        return True
    return place.zone == ran.zone if scope is Scope.ZONE else place.cell == ran.cell


def repeat_denial(
    settings: Settings, spec: RequestClass, earlier: Sequence[Earlier], now: float
) -> Denial | None:
    """Whether a request of this class may be sent once more, wherever; None if it may."""
    if not earlier:
        return None
    if len(earlier) >= settings.most_attempts:
        return Denial.TOO_MANY_ATTEMPTS
    if not settings.may_duplicate and any(attempt.open for attempt in earlier):
        return Denial.SECOND_COPY
    ran = first_run(earlier)
    if ran is None or spec.effect is Effect.SAFE:
        return None
    if spec.effect is Effect.UNSAFE:
        return Denial.MAY_HAVE_RUN
    return Denial.WINDOW_OVER if now >= ran.sent + spec.window_ms else None


def send_denial(
    settings: Settings, spec: RequestClass, earlier: Sequence[Earlier], place: Place, now: float
) -> Denial | None:
    """Whether it may be sent to a backend at `place`; None if it may."""
    denial = repeat_denial(settings, spec, earlier, now)
    ran = first_run(earlier)
    if denial is not None or ran is None or spec.effect is not Effect.KEYED:
        return denial
    return None if same_group(spec.scope, place, ran) else Denial.OUTSIDE_GROUP


def may_close(requests_open: bool, asked: bool) -> bool:
    """Whether this proxy may end a client's connection; `asked`: bytes of the client lie there unread."""
    return not requests_open and not asked


def may_refuse(spec: RequestClass, earlier: Sequence[Earlier]) -> bool:
    """Whether it may be answered with the promise that another try does no harm."""
    if spec.effect is Effect.SAFE or first_run(earlier) is None:
        return True
    return spec.effect is Effect.KEYED and spec.scope is Scope.ALL
