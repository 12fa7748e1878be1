"""One attempt of a request, or a health check, on one backend."""

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


class Attempt:
    """One attempt on one backend. It ends once, by a call of `on_end`. All times are ms of `now_ms`."""

    def __init__(
        self,
        backend_id: str,
        head: bytes,
        body: bytes,
        timeout_ms: float,
        on_end: Callable[[Attempt, AttemptResult, Response | None], None],
        write_timeout_ms: float = inf,
        record_denial: Callable[[], Denial | None] = _never_denied,
    ) -> None:
        """Begin an attempt that ends after `timeout_ms` and must be written within `write_timeout_ms`.

        `head` is the request line and the headers, without the empty line at the end. `record_denial`
        returns why the rules forbid to write the request now, and records it; None if they allow it.
        """
        self.backend_id = backend_id
        self.head = head
        self.body = body
        self.on_end = on_end
        self.record_denial = record_denial
        self.started_at = now_ms()
        self.sent_at = self.started_at  # when its first byte was written, or earlier
        self.deadline = self.started_at + timeout_ms
        self.write_deadline = self.started_at + write_timeout_ms
        self.zone = 0  # of its backend as it began, as is the cell
        self.cell = 0
        self.may_have_executed = True
        self.has_ended = False
        self.connection: BackendConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Whether it has not ended."""
        return not self.has_ended

    @property
    def next_deadline(self) -> float:
        """The earlier one of the times by which it must be written and by which it ends."""
        return min(self.deadline, self.write_deadline)

    def has_expired(self) -> bool:
        """Whether it is too late to write it."""
        return now_ms() >= self.next_deadline

    def is_request_incomplete(self) -> bool:
        """Whether the last byte of the request has surely not been written."""
        return self.connection is None or self.connection.is_request_incomplete()

    def end(self, result: AttemptResult, response: Response | None = None) -> None:
        """End it and report the result; does nothing if it has ended before."""
        if self.has_ended:
            return
        self.has_ended = True
        self.may_have_executed = result not in NEVER_EXECUTED
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is not None:
            self.connection.attempt = None
        self.connection = None
        self.on_end(self, result, response)
