"""When this proxy polls discovery, whose service takes only so many calls of all proxies."""

from __future__ import annotations

from math import inf
from random import Random

from dunecove.policy.settings import Settings

FIRST_POLL_TURN_MS = 100.0  # of each proxy, for its first poll
FIRST_POLL_MAX_FRACTION = 0.7  # part of the longest poll interval within which all proxies have polled first
FIRST_POLL_MAX_MS = 2500.0
RETRY_TURN_MS = 10.0  # of each proxy, after a failed poll
FIRST_RETRY_MS = 500.0  # after the first failure, doubled at each further one
MAX_COUNTED_FAILURES = 6  # after which the wait is no longer doubled
RETRY_SOON = 2  # the first so many failures, after which it may always wait for RETRY_SOON_MS
RETRY_SOON_MS = 750.0
# Between the starts of two polls. An update counts as notified after 6 s; a poll may hang for 2 s, and before
# it 2 s more are gone if a watch had become unresponsive unseen.
MAX_POLL_GAP_MS = 3500.0
MOVED_MS = 4000.0  # after a move to another service, in which its updates count as notified
RETRY_MOVED_MS = 100.0  # at most, after a failed poll then, or where lists are pushed: the service is free
RETRY_JITTER = (0.5, 1.0)


class DiscoveryPolling:
    """The time of the next poll. Times are in ms."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self.rng = rng
        self._poll_at: float | None = None
        self._polled_at = -inf
        self._moved_at = -inf
        self._failures = 0  # in a row

    def start(self, now: float) -> None:
        """Choose the time of the first poll.

        Proxies that are restarted together must not poll in the same moment: each has its turn. Past the
        longest poll interval a proxy counts as notified of drains that it never heard of.
        """
        settings = self._settings
        if not settings.polls_discovery:
            return
        proxy_count = settings.proxy_count
        span_ms = min(
            FIRST_POLL_TURN_MS * proxy_count,
            FIRST_POLL_MAX_FRACTION * settings.max_poll_interval_ms,
            FIRST_POLL_MAX_MS,
        )
        turn = settings.proxy_index % proxy_count + self.rng.random()
        self._poll_at = now + span_ms * turn / proxy_count

    def start_poll_if_due(self, now: float) -> bool:
        """Whether to poll now; the next poll is then made even if nothing is heard of this one."""
        if self._poll_at is None or now < self._poll_at:
            return False
        self._polled_at = now
        self._poll_at = now + self._settings.max_poll_interval_ms / 2
        return True

    def on_update(self) -> None:
        """Discovery has answered, and its watch stands."""
        self._failures = 0
        self._poll_at = None
        self._moved_at = -inf

    def on_failure(self, now: float) -> None:
        """A poll or a watch has failed."""
        self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)
        if now < self._moved_at + MOVED_MS or not self._settings.polls_discovery:
            wait_ms = RETRY_MOVED_MS
        else:
            wait_ms = self._retry_wait_ms(now)
        self._poll_at = now + wait_ms * self.rng.uniform(*RETRY_JITTER)

    def _retry_wait_ms(self, now: float) -> float:
        turns_ms = RETRY_TURN_MS * self._settings.proxy_count  # hundreds at once would keep discovery down
        gap_left_ms = 0.0 if self._failures <= RETRY_SOON else MAX_POLL_GAP_MS - (now - self._polled_at)
        return min(
            max(FIRST_RETRY_MS * (1 << (self._failures - 1)), turns_ms),
            max(RETRY_SOON_MS, gap_left_ms),
            self._settings.max_poll_interval_ms / 2,
        )

    def on_moved(self, now: float) -> None:
        """Another service is polled from now on, at once; failures of the old one say nothing of it."""
        self._failures = 0
        self._moved_at = now
        self._poll_at = now + self._settings.max_poll_interval_ms / 2  # should nothing be heard
