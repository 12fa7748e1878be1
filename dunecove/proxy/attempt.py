"""One attempt of a request, or a health check, at one backend."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING

from dunecove.policy.models import NEVER_EXECUTED, AttemptResult
from dunecove.policy.request_rules import Denial
from dunecove.proxy.clock import now_ms
from dunecove.proxy.http_exchange import Response

if TYPE_CHECKING:
    from dunecove.proxy.backend_connection import BackendConnection


def _never_denied() -> Denial | None:
    return None


def _ignore_end(_: Attempt, result: AttemptResult, response: Response | None) -> None:
    pass


class Attempt:
    """One attempt at one backend; `on_end` is called exactly once, at its end. Times are ms of `now_ms`."""

    def __init__(
        self,
        backend_id: str,
        head: bytes,
        body: bytes,
        timeout_ms: float,
        on_end: Callable[[Attempt, AttemptResult, Response | None], None],
        write_timeout_ms: float = inf,
        check_denial: Callable[[], Denial | None] = _never_denied,
    ) -> None:
        """Create an attempt that ends within `timeout_ms` and is written within `write_timeout_ms`.

        `head` is the request line and the headers, without the empty line at the end. `check_denial`
        returns why the rules forbid writing the request now, and records it; None if they allow it.
        """
        self.backend_id = backend_id
        self.head = head
        self.body = body
        self.on_end = on_end
        self.check_denial = check_denial
        self.started_at = now_ms()
        self.sent_at = self.started_at  # not later than the time at which its first byte is written
        self.deadline = self.started_at + timeout_ms
        self.write_deadline = self.started_at + write_timeout_ms
        self.zone = 0  # zone and cell of the backend at the start of the attempt
        self.cell = 0
        self.may_have_executed = True
        self.has_ended = False
        self.connection: BackendConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Whether the attempt has not ended."""
        return not self.has_ended

    @property
    def next_deadline(self) -> float:
        """The earlier of the write deadline and the deadline."""
        return min(self.deadline, self.write_deadline)

    def has_expired(self) -> bool:
        """Return whether it is too late to write the request."""
        return now_ms() >= self.next_deadline

    def is_request_incomplete(self) -> bool:
        """Return whether a part of the request has certainly not been written."""
        return self.connection is None or self.connection.is_request_incomplete()

    def end(self, result: AttemptResult, response: Response | None = None) -> None:
        """End the attempt and report its result; do nothing if it has already ended."""
        if self.has_ended:
            return
        self.has_ended = True
        self.may_have_executed = result not in NEVER_EXECUTED
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is not None:
            self.connection.attempt = None
        self.connection = None
        on_end = self.on_end
        # These refer to the request, which refers to this attempt: its memory would be freed only by the
        # garbage collector.
        self.on_end = _ignore_end
        self.check_denial = _never_denied
        self.release_content()
        on_end(self, result, response)

    def release_content(self) -> None:
        """Drop the request's text, which has been written or never will be."""
        self.head = b""
        self.body = b""
