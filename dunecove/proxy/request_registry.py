"""Open requests and the ids of ended requests that may have been executed."""

from __future__ import annotations

import asyncio
from collections import deque
from math import inf

from dunecove.policy.request_rules import first_executed_attempt
from dunecove.proxy.attempt import Attempt
from dunecove.proxy.client_messages import ParsedRequest
from dunecove.proxy.clock import now_ms

MIN_ID_RETENTION_MS = 4000.0  # assumed longest wait of a client, unless a class has a longer deadline
MAX_EXECUTED_IDS = 20_000
GENERATIONS = 8  # in which the ids of one retention time are kept


class OpenRequest:
    """A request that has not been answered or has attempts that have not ended. Times are ms of `now_ms`."""

    def __init__(self, parsed: ParsedRequest) -> None:
        """Create the request, whose client waits for another `parsed.budget_ms`."""
        self.parsed = parsed
        self.deadline = now_ms() + parsed.budget_ms  # time at which the client stops waiting
        # Earlier if a pipelined request behind this one has less time; not capped by the class's deadline.
        self.response_deadline = self.deadline
        self.attempts: list[Attempt] = []
        self.is_finished = False  # answered, or the client has disconnected
        self.deadline_timer: asyncio.TimerHandle | None = None

    def release_content(self) -> None:
        """Drop the request's text, which no further attempt will need; open attempts have been written."""
        self.parsed = self.parsed._replace(head=b"", body=b"")
        for attempt in self.attempts:
            attempt.release_content()

    def has_open_attempts(self) -> bool:
        """Return whether any attempt has no result yet."""
        return not all(attempt.has_ended for attempt in self.attempts)

    def may_have_executed(self) -> bool:
        """Return whether a backend may have executed the request."""
        return first_executed_attempt(self.attempts) is not None


class ExecutedIds:
    """The ids of ended requests that a backend may have executed, so that none of them is executed again.

    They are kept in generations of equal length, so that expiry costs little.
    """

    def __init__(self, max_deadline_ms: float, max_count: float = inf) -> None:
        """Keep each id for at least the longest deadline, in ms, after its request has ended.

        `max_count` and `MAX_EXECUTED_IDS` are the number of ids at which the table is full.
        """
        self._max_count = max_count
        self._retention_ms = max(MIN_ID_RETENTION_MS, max_deadline_ms)
        self._generations: deque[_Generation] = deque()  # oldest first

    def __contains__(self, request_id: str) -> bool:
        key = hash(request_id)
        return any(key in generation.keys for generation in self._generations)

    def __len__(self) -> int:
        return sum(len(generation.keys) for generation in self._generations)

    def is_full(self) -> bool:
        """Return whether no id may be added, since none that is kept may be forgotten yet."""
        return len(self) >= min(self._max_count, MAX_EXECUTED_IDS)

    def add(self, request_id: str) -> None:
        """Add the id of a request that has just ended."""
        now = now_ms()
        if not self._generations or now >= self._generations[-1].began_at + self._generation_ms():
            self._generations.append(_Generation(now))
        self._generations[-1].keys.add(hash(request_id))

    def expire(self) -> None:
        """Remove ids past their retention time."""
        expired_before = now_ms() - self._retention_ms - self._generation_ms()
        while self._generations and self._generations[0].began_at < expired_before:
            self._generations.popleft()

    def _generation_ms(self) -> float:
        return self._retention_ms / GENERATIONS


class _Generation:
    """The ids of requests that ended within one part of the retention time."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at  # ms of `now_ms`
        self.keys: set[int] = set()  # hashes of ids: their text would take several times the memory
