"""The first-come queue of the request classes that share one latency objective."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from dunecove.policy.overload_detector import OverloadDetector
from dunecove.policy.smoothing import latency_ewma

if TYPE_CHECKING:
    from dunecove.policy.request import Request


class RequestQueue:
    """Requests that wait for a backend with capacity, the queue's latency and its overload detector."""

    def __init__(self, objective_ms: float, step_interval_ms: float) -> None:
        self.objective_ms = objective_ms
        self.detector = OverloadDetector(objective_ms, step_interval_ms)
        self.mean_latency_ms = 0.0  # smoothed, of responses
        self._requests: deque[Request] = deque()

    def __len__(self) -> int:
        """Return the number of entries, with those that have ended and were not yet removed."""
        return len(self._requests)

    def push(self, request: Request) -> None:
        """Queue a new request as the last one."""
        request.is_queued = True
        self._requests.append(request)

    def push_front(self, request: Request) -> None:
        """Queue a request for its next attempt, ahead of all that were never sent."""
        request.is_queued = True
        self._requests.appendleft(request)

    def head(self) -> Request | None:
        """Return the request that is next; drop those ahead of it that have ended."""
        while self._requests and not self._requests[0].is_queued:
            self._requests.popleft()
        return self._requests[0] if self._requests else None

    def pop_head(self, now: float) -> Request:
        """Remove and return the request that `head` has just returned, to send it."""
        request = self._requests.popleft()
        request.is_queued = False
        if not request.attempts:
            self.detector.record_send(now, now - request.arrived_at)
        return request

    def record_latency(self, latency_ms: float) -> None:
        """Learn from a response to one of its requests."""
        self.mean_latency_ms = latency_ewma(self.mean_latency_ms, latency_ms)

    def overload_ratio(self, now: float) -> float:
        """Return how overloaded it is: above 1 it is overloaded, 0 while nothing waits."""
        head = self.head()
        if head is None:
            return 0.0  # whatever an old window says, the next request leaves at once
        return self.detector.wait_ratio(now, head.arrived_at, self.mean_latency_ms)

    def threshold_ms(self) -> float:
        """Return the minimum wait above which it is overloaded."""
        return self.detector.threshold_ms(self.mean_latency_ms)


def create_queues(objectives_ms: set[float], step_interval_ms: float) -> dict[float, RequestQueue]:
    """Return a queue for each objective, the shortest first."""
    return {objective: RequestQueue(objective, step_interval_ms) for objective in sorted(objectives_ms)}
