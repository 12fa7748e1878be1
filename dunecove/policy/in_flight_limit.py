"""The limit on all requests that a sparse proxy has in flight.

Such a proxy has less than one request at each backend: only a limit over all of them can follow the load,
and only the outcomes of all backends together are enough to learn it from.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf, sqrt

from dunecove.policy.backend import BACKEND_FAULTS, LOAD_FAILURES, Backend
from dunecove.policy.bandit import mean_payoff
from dunecove.policy.concurrency_limit import INITIAL_LIMIT
from dunecove.policy.events import AttemptEnded
from dunecove.policy.latency_tracker import LatencyTracker
from dunecove.policy.models import AttemptResult
from dunecove.policy.smoothing import LATENCY_WEIGHT, ewma

RAISE_STEP = 0.1  # times the limit's root
REDUCE_FRACTION = 0.2  # part of the limit; in balance where a third of the outcomes are overload samples
BURST_REQUESTS = 4.0  # requests beyond the limit that may be in flight at once after idling
MIN_IN_FLIGHT_LIMIT = 0.05  # one request in twenty usual latencies still shows how things are
MAX_CHARGED_LATENCIES = 4.0  # usual latencies beyond which an attempt hangs at its own backend
# Of the objective: a longer response leaves too little of it for the client's network.
OVERLOAD_OBJECTIVE_FRACTION = 0.85
INITIAL_LATENCY_FRACTION = 1 / 4  # of the shortest objective, taken for the usual latency before a response
MAX_LIMIT_TO_IN_FLIGHT_RATIO = (
    2  # times the attempts in flight and one more: a larger limit isn't used, nor raised
)


class InFlightLimit:
    """The limit, the requests in flight, and the budget of time in flight that the limit grants."""

    def __init__(self, proxy_count: int, shortest_objective_ms: float, latencies: LatencyTracker) -> None:
        self.limit = 1.0  # requests in flight, on average
        self.count = 0  # attempts in flight
        self.overload_fraction = 0.0  # smoothed share of outcomes that are overload samples
        self._proxy_count = proxy_count
        self._initial_latency_ms = INITIAL_LATENCY_FRACTION * shortest_objective_ms
        self._latencies = latencies
        self._budget_ms = inf  # of time in flight
        self._refilled_at = 0.0  # ms

    def start(self, now: float) -> None:
        """Begin to grant budget."""
        self._refilled_at = now

    def reset(self, listed_count: int) -> None:
        """Set the limit to this proxy's part of what so many unknown backends take."""
        self.limit = max(MIN_IN_FLIGHT_LIMIT, INITIAL_LIMIT * listed_count / self._proxy_count)

    def available_sends(self, now: float) -> float:
        """Refill the budget and return how many requests may be sent now; below 0 where they have to wait.

        The limit holds on average, not at each moment: with a limit near one, two requests that come together
        must not wait for one another.
        """
        usual_ms = self._latencies.overall_ms or self._initial_latency_ms
        full_ms = (BURST_REQUESTS + self.limit) * usual_ms
        self._budget_ms = min(self._budget_ms + self.limit * (now - self._refilled_at), full_ms)
        self._refilled_at = now
        return self._budget_ms / usual_ms - self.count

    def expected_wait_ms(self, now: float) -> float:
        """Return how long a request that comes now waits for budget; below 0 if it doesn't."""
        return -self.available_sends(now) * self._latencies.overall_ms / self.limit

    def begin_attempt(self) -> None:
        """Count an attempt that is sent."""
        self.count += 1

    def end_attempt(self, event: AttemptEnded) -> None:
        """Take the time of an attempt that has ended from the budget."""
        self.count -= 1
        if event.result in BACKEND_FAULTS:  # no work was in flight there
            return
        longest_ms = MAX_CHARGED_LATENCIES * (self._latencies.overall_ms or event.latency_ms)
        self._budget_ms -= min(event.latency_ms, longest_ms)

    def record_outcome(
        self,
        result: AttemptResult,
        latency_ms: float,
        objective_ms: float,
        backend: Backend,
        subset: Sequence[Backend],
    ) -> None:
        """Adjust the limit.

        Work differs tenfold within a class, so only the objective, not a usual latency, tells a response that
        was long from one that waited.
        """
        is_overload = result in LOAD_FAILURES or latency_ms > OVERLOAD_OBJECTIVE_FRACTION * objective_ms
        self.overload_fraction = ewma(self.overload_fraction, is_overload, LATENCY_WEIGHT)
        if is_overload:
            if backend.payoff > mean_payoff(subset) / 2:  # a bad backend says nothing of the others
                self.limit = max(MIN_IN_FLIGHT_LIMIT, self.limit * (1 - REDUCE_FRACTION))
        elif result is AttemptResult.OK and self.limit < MAX_LIMIT_TO_IN_FLIGHT_RATIO * (self.count + 1):
            self.limit += RAISE_STEP * sqrt(self.limit)
