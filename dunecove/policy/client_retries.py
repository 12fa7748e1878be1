"""Recognises clients' retries by their remaining time, since not all clients mark their retries."""

from __future__ import annotations

from dunecove.policy.events import RequestArrived

# An unmarked request is treated as a retry only if its client has waited longer than this fraction of the
# latency objective: the network may take as much of an original request's time.
MIN_WAIT_FRACTION = 0.1
# Expected retries at this proxy for each rejection or disconnect here; assumed to include the retries after
# those at other proxies.
RETRIES_PER_REJECTION = 2.0
MAX_EXPECTED_RETRIES = 200.0
INITIAL_EXPECTED_RETRIES = 10.0
EXPECTED_RETRIES_DECAY = 0.8  # factor per second


class ClientRetries:
    """Distinguishes clients' retries from original requests by their remaining time. Times are in ms."""

    def __init__(self, class_count: int) -> None:
        self.expected_retries = INITIAL_EXPECTED_RETRIES  # retries that have not arrived yet
        self._max_remaining_ms = [0.0] * class_count  # longest remaining time of a request, by class

    def previous_wait_ms(self, now: float, event: RequestArrived, objective_ms: float) -> float:
        """Return how long the client of an arriving request has waited since its original request.

        The deadline is the time at which the client stops waiting, for the original request and all its
        retries: a request with less remaining time than others of its class may be a retry. An unmarked
        request that is treated as a retry is deducted from the expected retries.
        """
        remaining_ms = event.deadline - now
        max_remaining_ms = max(self._max_remaining_ms[event.class_index], remaining_ms)
        self._max_remaining_ms[event.class_index] = max_remaining_ms
        previous_wait_ms = max_remaining_ms - remaining_ms
        if previous_wait_ms <= MIN_WAIT_FRACTION * objective_ms or event.is_retry:
            return previous_wait_ms
        # Only as many requests are retries as are expected after rejections. The others have shorter
        # deadlines: treated as retries past their objective, they would fail without an attempt although
        # backends are idle.
        is_original_request = self.expected_retries < 1
        self.expected_retries = max(self.expected_retries - 1, 0.0)
        return 0.0 if is_original_request else previous_wait_ms

    def expect_retries(self) -> None:
        """Record that a client was rejected or has disconnected."""
        self.expected_retries = min(self.expected_retries + RETRIES_PER_REJECTION, MAX_EXPECTED_RETRIES)

    def decay(self) -> None:
        """Decay the expected retries; called once per second."""
        self.expected_retries *= EXPECTED_RETRIES_DECAY
