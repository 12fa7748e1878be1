"""How long a client has waited before this try: clients don't mark their retries everywhere."""

from __future__ import annotations

from dunecove.policy.events import RequestArrived

MIN_WAITED_FRACTION = 0.1  # of the objective: a first try may lack as much, which the network takes
# Retries to expect for one client that was rejected or left, here or at another proxy; and in all.
RETRIES_PER_REJECTION = 2.0
MAX_EXPECTED = 200.0
INITIAL_EXPECTED = 10.0
EXPECTED_KEPT = 0.8  # part kept each second


class ClientRetries:
    """Tells retries from first tries by the time their clients have left. Times are in ms."""

    def __init__(self, class_count: int) -> None:
        self.expected = INITIAL_EXPECTED  # retries still to come
        self._longest_left_ms = [0.0] * class_count  # longest time left to an arrival, by class

    def waited_ms(self, now: float, event: RequestArrived, objective_ms: float) -> float:
        """Return how long the client of an arrival has waited before, over its earlier tries.

        A deadline is the time at which the client stops waiting, for this try and all others: a try that has
        less time left than others had is a retry.
        """
        left_ms = event.deadline - now
        longest_ms = max(self._longest_left_ms[event.class_index], left_ms)
        self._longest_left_ms[event.class_index] = longest_ms
        waited_ms = longest_ms - left_ms
        if waited_ms <= MIN_WAITED_FRACTION * objective_ms or event.is_retry:
            return waited_ms
        # Only as many are retries as were rejected. Others just come with less time: taken for retries whose
        # objective has passed they would fail unsent beside idle backends.
        is_first_try = self.expected < 1
        self.expected = max(self.expected - 1, 0.0)
        return 0.0 if is_first_try else waited_ms

    def expect_retries(self) -> None:
        """A client was rejected, or has left."""
        self.expected = min(self.expected + RETRIES_PER_REJECTION, MAX_EXPECTED)

    def decay(self) -> None:
        """Let expectations age by a second."""
        self.expected *= EXPECTED_KEPT
