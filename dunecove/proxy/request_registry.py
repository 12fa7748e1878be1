"""Open requests, and the ids of recent ones."""

from __future__ import annotations

import asyncio

from dunecove.proxy.attempt import Attempt
from dunecove.proxy.client_messages import ParsedRequest
from dunecove.proxy.clock import now_ms

MIN_ID_RETENTION_MS = 4000.0  # no client waits longer for its request
MAX_RECENT_IDS = 20_000


class OpenRequest:
    """A request until it is answered and its last attempt has ended."""

    def __init__(self, parsed: ParsedRequest) -> None:
        """Begin now: the client's budget runs from here on."""
        self.parsed = parsed
        self.deadline = now_ms() + parsed.budget_ms  # when its client stops waiting
        self.response_deadline = self.deadline  # earlier where a pipelined request behind it has less time
        self.attempts: list[Attempt] = []
        self.is_finished = False  # answered, or nobody waits for the answer
        self.deadline_timer: asyncio.TimerHandle | None = None

    def has_open_attempts(self) -> bool:
        """Tell whether an attempt has no result yet."""
        return not all(attempt.has_ended for attempt in self.attempts)


class RecentIds:
    """The ids that requests had of late, so that none is used again while its first request may be open."""

    def __init__(self, max_deadline_ms: float) -> None:
        """Keep each id at least for the longest deadline, in ms, unless there are over `MAX_RECENT_IDS`."""
        self._retention_ms = max(MIN_ID_RETENTION_MS, max_deadline_ms)
        self._arrivals: dict[str, float] = {}  # time of arrival by id, oldest first

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._arrivals

    def __len__(self) -> int:
        return len(self._arrivals)

    def add(self, request_id: str) -> None:
        """Remember an id from now on."""
        self._arrivals[request_id] = now_ms()

    def expire(self) -> None:
        """Forget ids that are old or too many."""
        expired_before = now_ms() - self._retention_ms
        while self._arrivals:
            oldest = next(iter(self._arrivals))
            is_kept = self._arrivals[oldest] > expired_before
            if is_kept and len(self._arrivals) < MAX_RECENT_IDS:
                break
            del self._arrivals[oldest]
