"""How long a client has waited before this try: clients don't mark their retries everywhere."""

from __future__ import annotations

from dunecove.policy.events import RequestArrived

MIN_WAIT_FRACTION = 0.1  # of the objective: a first try may lack as much, which the network takes
# Retries to expect for one client that was rejected or left, here or at another proxy; and in all.
RETRIES_PER_REJECTION = 2.0
MAX_EXPECTED_RETRIES = 200.0
INITIAL_EXPECTED_RETRIES = 10.0
EXPECTED_RETRIES_DECAY = 0.8  # part kept each second


class ClientRetries:
    """Tells retries from first tries by the time their clients have left. Times are in ms."""

    def __init__(self, class_count: int) -> None:
        self.expected_retries = INITIAL_EXPECTED_RETRIES  # retries still to come
        self._max_remaining_ms = [0.0] * class_count  # longest time left to an arrival, by class

    def previous_wait_ms(self, now: float, event: RequestArrived, objective_ms: float) -> float:
        """Return how long the client of an arrival has waited before, over its earlier tries.

        A deadline is the time at which the client stops waiting, for this try and all others: a try that has
        less time left than others had is a retry.
        """
        remaining_ms = event.deadline - now
        max_remaining_ms = max(self._max_remaining_ms[event.class_index], remaining_ms)
        self._max_remaining_ms[event.class_index] = max_remaining_ms
        previous_wait_ms = max_remaining_ms - remaining_ms
        if previous_wait_ms <= MIN_WAIT_FRACTION * objective_ms or event.is_retry:
            return previous_wait_ms
        # Only as many are retries as were rejected. Others just come with less time: taken for retries whose
        # objective has passed they would fail unsent beside idle backends.
        is_original_request = self.expected_retries < 1
        self.expected_retries = max(self.expected_retries - 1, 0.0)
        return 0.0 if is_original_request else previous_wait_ms

    def expect_retries(self) -> None:
        """A client was rejected, or has left."""
        self.expected_retries = min(self.expected_retries + RETRIES_PER_REJECTION, MAX_EXPECTED_RETRIES)

    def decay(self) -> None:
        """Let expectations age by a second."""
        self.expected_retries *= EXPECTED_RETRIES_DECAY
