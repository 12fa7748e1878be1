"""Open requests and the ids of recent requests."""

from __future__ import annotations

import asyncio
from math import inf

from dunecove.proxy.attempt import Attempt
from dunecove.proxy.client_messages import ParsedRequest
from dunecove.proxy.clock import now_ms

MIN_ID_RETENTION_MS = 4000.0  # assumed longest wait of a client, unless a class has a longer deadline
MAX_RECENT_IDS = 20_000


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


class RecentIds:
    """The ids of recent requests, so that an id is not reused while its first request may be open."""

    def __init__(self, max_deadline_ms: float, max_count: float = inf) -> None:
        """Keep each id for at least the longest deadline, in ms, unless there are too many.

        That is over `max_count` or `MAX_RECENT_IDS`.
        """
        self._max_count = max_count
        self._retention_ms = max(MIN_ID_RETENTION_MS, max_deadline_ms)
        self._arrivals: dict[str, float] = {}  # arrival time by request id, oldest first

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._arrivals

    def __len__(self) -> int:
        return len(self._arrivals)

    def add(self, request_id: str) -> None:
        """Add the id of a request that has just arrived."""
        self._arrivals[request_id] = now_ms()

    def expire(self) -> None:
        """Remove ids past their retention time, and the oldest ones if there are too many."""
        max_count = min(self._max_count, MAX_RECENT_IDS)
        expired_before = now_ms() - self._retention_ms
        while self._arrivals:
            oldest = next(iter(self._arrivals))
            is_recent = self._arrivals[oldest] > expired_before
            if is_recent and len(self._arrivals) < max_count:
                break
            del self._arrivals[oldest]
