"""The limit on the total number of requests that a sparse proxy has in flight.

A sparse proxy has on average less than one request in flight at each backend: only a limit over all backends
can follow the load, and only the outcomes of all backends together are enough samples to learn it from.
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

RAISE_STEP = 0.1  # a response that is no overload sample raises the limit by RAISE_STEP * sqrt(limit)
# An overload sample reduces the limit by this fraction of it. A limit of 1 is in equilibrium while a third of
# the outcomes are overload samples.
REDUCE_FRACTION = 0.2
BURST_REQUESTS = 4.0  # requests above the limit that may be in flight at once after an idle time
MIN_IN_FLIGHT_LIMIT = 0.05  # one request per 20 mean latencies still gives outcomes to learn from
# Maximum time charged to the budget for one attempt, in mean latencies: a longer attempt hangs because of its
# own backend, not because of the load.
MAX_CHARGED_LATENCIES = 4.0
# Overload samples are rejections, timeouts and responses that take more than this fraction of the objective,
# which leave too little time for the client's network.
OVERLOAD_OBJECTIVE_FRACTION = 0.85
INITIAL_LATENCY_FRACTION = 1 / 4  # of the shortest objective: the mean latency assumed before any response
# The limit is raised only while it is below this factor times (attempts in flight + 1): a larger limit is not
# in use, so responses do not confirm it.
MAX_LIMIT_TO_IN_FLIGHT_RATIO = 2


class InFlightLimit:
    """The limit on attempts in flight, enforced by a budget of time in flight.

    The budget grows by `limit` ms per ms, and each ended attempt is charged its latency.
    """

    def __init__(self, proxy_count: int, shortest_objective_ms: float, latencies: LatencyTracker) -> None:
        self.limit = 1.0  # maximum mean number of attempts in flight
        self.count = 0  # attempts in flight
        self.overload_fraction = 0.0  # smoothed fraction of outcomes that are overload samples
        self._proxy_count = proxy_count
        self._initial_latency_ms = INITIAL_LATENCY_FRACTION * shortest_objective_ms
        self._latencies = latencies
        self._budget_ms = inf  # remaining time in flight; negative if overdrawn
        self._refilled_at = 0.0  # time of the last refill, in ms

    def start(self, now: float) -> None:
        """Start refilling the budget at `now`."""
        self._refilled_at = now

    def reset(self, listed_count: int) -> None:
        """Set the limit to this proxy's share of the initial limits of `listed_count` backends."""
        self.limit = max(MIN_IN_FLIGHT_LIMIT, INITIAL_LIMIT * listed_count / self._proxy_count)

    def available_sends(self, now: float) -> float:
        """Refill the budget and return how many requests may be sent now.

        The result is negative if the attempts in flight are expected to use more than the budget. The limit
        holds on average rather than at each moment: with a limit near 1, two requests that arrive together
        must not wait for each other.
        """
        mean_latency_ms = self._latencies.overall_ms or self._initial_latency_ms
        max_budget_ms = (BURST_REQUESTS + self.limit) * mean_latency_ms
        self._budget_ms = min(self._budget_ms + self.limit * (now - self._refilled_at), max_budget_ms)
        self._refilled_at = now
        return self._budget_ms / mean_latency_ms - self.count

    def expected_wait_ms(self, now: float) -> float:
        """Return how long a request that arrives now will wait for budget; negative if it will not wait."""
        return -self.available_sends(now) * self._latencies.overall_ms / self.limit

    def begin_attempt(self) -> None:
        """Count a started attempt."""
        self.count += 1

    def end_attempt(self, event: AttemptEnded) -> None:
        """Charge the latency of an ended attempt to the budget."""
        self.count -= 1
        if event.result in BACKEND_FAULTS:  # assumed to have cost the backend no work
            return
        max_charge_ms = MAX_CHARGED_LATENCIES * (self._latencies.overall_ms or event.latency_ms)
        self._budget_ms -= min(event.latency_ms, max_charge_ms)

    def record_outcome(
        self,
        result: AttemptResult,
        latency_ms: float,
        objective_ms: float,
        backend: Backend,
        subset: Sequence[Backend],
    ) -> None:
        """Adjust the limit to the outcome of an attempt.

        The latency is compared with the objective rather than a mean latency: the work of requests differs
        tenfold within a class, so a latency above the mean need not mean that the request waited.
        """
        is_overload = result in LOAD_FAILURES or latency_ms > OVERLOAD_OBJECTIVE_FRACTION * objective_ms
        self.overload_fraction = ewma(self.overload_fraction, is_overload, LATENCY_WEIGHT)
        if is_overload:
            # A bad backend gives no information about the others.
            if backend.payoff > mean_payoff(subset) / 2:
                self.limit = max(MIN_IN_FLIGHT_LIMIT, self.limit * (1 - REDUCE_FRACTION))
        elif result is AttemptResult.OK and self.limit < MAX_LIMIT_TO_IN_FLIGHT_RATIO * (self.count + 1):
            self.limit += RAISE_STEP * sqrt(self.limit)
