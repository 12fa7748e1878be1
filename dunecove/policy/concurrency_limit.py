"""The limit on requests in flight at one backend, learned from the latency of its responses.

As in TCP Vegas, the number of requests that wait inside the backend is estimated from the difference between
its latency and its base latency. A limit applies to this proxy alone: each of N proxies uses 1/N of the
backend's capacity.
"""

from __future__ import annotations

from collections.abc import Sequence

from dunecove.policy.settings import MAX_DENSE_PROXIES
from dunecove.policy.smoothing import LATENCY_WEIGHT, MIN_RESPONSES, ewma

# Numbers of requests of all proxies together at one backend.
INITIAL_LIMIT = float(MAX_DENSE_PROXIES)  # one request in flight for each proxy of the largest dense tier
MIN_LIMIT = 2.0  # one in process and one waiting; with a single one the backend would idle between requests
RAISE_BELOW_WAITING = 2.0  # the limit is raised while fewer requests wait inside the backend
TOTAL_RAISE = 2.0  # increase of the sum of all proxies' limits in one adjustment
MAX_RAISE_PER_PROXY = 1.0  # maximum increase of one proxy's limit in one adjustment
REDUCE_ABOVE_WAITING = 4.0  # the limit is reduced while more requests wait inside the backend

# Weight of one response when the base latency rises toward the smoothed latency: a backend that stays slow
# eventually gets a higher base latency.
BASE_LATENCY_DRIFT = 1 / 400
MAX_SATURATION = 1 / 5  # fraction of the objective; limits are reduced if the smoothed latency is above it
SATURATION_REDUCE_FACTOR = 0.75  # on the limit if too many requests wait or the saturation is too high
FAILURE_REDUCE_FACTOR = 0.8  # on the limit after a rejection or timeout
MIN_WINDOW_RESPONSES = 8  # minimum number of responses between two adjustments


class LearnedLimit:
    """The concurrency limit of one backend, and the statistics that it is learned from."""

    __slots__ = (
        "base_latency_ms",
        "in_flight",
        "latency_ms",
        "limit",
        "peak_in_flight",
        "proxy_count",
        "response_count",
        "saturation",
        "window_responses",
    )

    def __init__(self, proxy_count: int) -> None:
        self.proxy_count = proxy_count
        self.in_flight = 0  # attempts of this proxy
        self.reset_limit()

    def reset_limit(self) -> None:
        """Discard the learned limit and statistics; `in_flight` stays."""
        self.limit = INITIAL_LIMIT / self.proxy_count
        self.peak_in_flight = 0  # since the last adjustment
        self.window_responses = 0  # since the last adjustment
        self.latency_ms = 0.0  # smoothed
        self.base_latency_ms = 0.0  # estimated latency without waiting
        self.response_count = 0
        self.saturation = 0.0  # smoothed latency as a fraction of the objective

    def record_latency(self, latency_ms: float, saturation: float) -> None:
        """Update the statistics with a response; `saturation` is its latency as a fraction of the objective.

        Adjust the limit once per window of responses.
        """
        self.response_count += 1
        weight = max(LATENCY_WEIGHT, 1 / self.response_count)
        capped_ms = min(latency_ms, 2 * (self.latency_ms or latency_ms))
        self.latency_ms = ewma(self.latency_ms, capped_ms, weight)
        self.saturation = ewma(self.saturation, saturation, weight)
        if self.response_count <= MIN_RESPONSES:  # a base latency from one quick response would persist
            self.base_latency_ms = self.latency_ms
        drifted_ms = ewma(self.base_latency_ms, self.latency_ms, BASE_LATENCY_DRIFT)
        self.base_latency_ms = min(drifted_ms, self.latency_ms)
        self.window_responses += 1
        if self.window_responses >= max(MIN_WINDOW_RESPONSES, self.limit):
            self._adjust_limit()

    def _adjust_limit(self) -> None:
        used = min(self.peak_in_flight, self.limit)
        waiting = used * (1 - self.base_latency_ms / self.latency_ms) * self.proxy_count
        if waiting > REDUCE_ABOVE_WAITING or self.saturation > MAX_SATURATION:
            self.reduce_limit(SATURATION_REDUCE_FACTOR)
        elif waiting < RAISE_BELOW_WAITING and self.peak_in_flight + 1 > self.limit:
            self.limit += min(MAX_RAISE_PER_PROXY, TOTAL_RAISE / self.proxy_count)
        self.window_responses = 0
        self.peak_in_flight = self.in_flight

    def reduce_limit(self, factor: float) -> None:
        """Multiply the limit by `factor`, to no less than this proxy's share of `MIN_LIMIT`."""
        self.limit = min(self.limit, max(MIN_LIMIT / self.proxy_count, self.limit * factor))


class SharedSaturation:
    """The mean saturation of all backends.

    With several proxies, each receives few responses of a single backend, so the saturation of that backend
    alone (`LearnedLimit.saturation`) is judged late.
    """

    def __init__(self) -> None:
        self._saturation = 0.0
        self._window_responses = 0

    def record(self, saturation: float, backends: Sequence[LearnedLimit]) -> None:
        """Record one backend's response; reduce the limits of all backends if they are saturated."""
        self._saturation = ewma(self._saturation, saturation, LATENCY_WEIGHT)
        self._window_responses += 1
        if self._window_responses < max(MIN_RESPONSES, sum(backend.limit for backend in backends)):
            return
        self._window_responses = 0
        if self._saturation > MAX_SATURATION:
            for backend in backends:
                backend.reduce_limit(SATURATION_REDUCE_FACTOR)
