"""The times at which this proxy polls discovery, which can serve only a limited rate of polls in total."""

from __future__ import annotations

from math import inf
from random import Random

from dunecove.policy.settings import Settings

FIRST_POLL_SLOT_MS = 100.0  # time slot of each proxy for its first poll, unless the maxima below are shorter
# Maximum time in which the first polls of all proxies are spread, as a fraction of the maximum poll interval.
FIRST_POLL_MAX_FRACTION = 0.7
FIRST_POLL_MAX_MS = 2500.0  # the same as a time; the shorter one applies
# Delay after a failed poll, per proxy of the tier, unless the doubled delay below is longer; the maxima and
# the jitter apply to both.
RETRY_SLOT_MS = 10.0
FIRST_RETRY_MS = 500.0  # delay after the first failure, doubled with each further one
MAX_COUNTED_FAILURES = 6  # consecutive failures after which the delay is no longer doubled
FAST_RETRIES = 2  # consecutive failures up to which the maximum delay is `FAST_RETRY_MAX_MS`
FAST_RETRY_MAX_MS = 750.0  # after more failures, the rest of `MAX_POLL_GAP_MS` if that is longer
# Maximum time from the start of a failed poll, which may hang for 2 s, to the next poll. A proxy counts as
# notified of an update after 6 s, of which the detection of an unresponsive watch may take 2 s beforehand.
MAX_POLL_GAP_MS = 3500.0
MOVE_WINDOW_MS = 4000.0  # a proxy counts as notified of a new service's updates this long after the move
# Maximum delay after a failure in that window, or if the list is pushed: the service is assumed to have the
# capacity for frequent retries.
MOVE_RETRY_MS = 100.0
RETRY_JITTER = (0.5, 1.0)  # range of the random factor on the delay


class DiscoveryPolling:
    """The time of the next poll. Times are in ms."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self.rng = rng
        self._poll_at: float | None = None  # time of the next poll; None: no poll is needed
        self._polled_at = -inf  # time of the last poll
        self._moved_at = -inf
        self._failures = 0  # consecutive failed polls

    def start(self, now: float) -> None:
        """Schedule the first poll.

        Proxies that restart together must not poll at the same moment, so each has a slot. All slots
        end within the maximum poll interval: after that interval a proxy counts as notified of drains
        even if it has not received them.
        """
        settings = self._settings
        if not settings.polls_discovery:
            return
        proxy_count = settings.proxy_count
        span_ms = min(
            FIRST_POLL_SLOT_MS * proxy_count,
            FIRST_POLL_MAX_FRACTION * settings.max_poll_interval_ms,
            FIRST_POLL_MAX_MS,
        )
        slot = settings.proxy_index % proxy_count + self.rng.random()
        self._poll_at = now + span_ms * slot / proxy_count

    def start_poll_if_due(self, now: float) -> bool:
        """Return whether to poll now; if so, schedule the next poll in case this one gets no result."""
        if self._poll_at is None or now < self._poll_at:
            return False
        self._polled_at = now
        self._poll_at = now + self._settings.max_poll_interval_ms / 2
        return True

    def on_update(self) -> None:
        """Record a list update: the watch is open, and no poll is needed until it fails."""
        self._failures = 0
        self._poll_at = None
        self._moved_at = -inf

    def on_failure(self, now: float) -> None:
        """Schedule a retry after a poll or a watch has failed."""
        self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)
        if now < self._moved_at + MOVE_WINDOW_MS or not self._settings.polls_discovery:
            delay_ms = MOVE_RETRY_MS
        else:
            delay_ms = self._retry_delay_ms(now)
        self._poll_at = now + delay_ms * self.rng.uniform(*RETRY_JITTER)

    def _retry_delay_ms(self, now: float) -> float:
        # Retries of hundreds of proxies at once would keep discovery overloaded.
        tier_delay_ms = RETRY_SLOT_MS * self._settings.proxy_count
        gap_left_ms = 0.0 if self._failures <= FAST_RETRIES else MAX_POLL_GAP_MS - (now - self._polled_at)
        return min(
            max(FIRST_RETRY_MS * (1 << (self._failures - 1)), tier_delay_ms),
            max(FAST_RETRY_MAX_MS, gap_left_ms),
            self._settings.max_poll_interval_ms / 2,
        )

    def on_moved(self, now: float) -> None:
        """Record a move to another service, which the caller polls at once.

        Earlier failures are cleared, as they were those of the previous service.
        """
        self._failures = 0
        self._moved_at = now
        self._poll_at = now + self._settings.max_poll_interval_ms / 2  # if that poll gets no result
