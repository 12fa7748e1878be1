"""The FIFO queue of all request classes that share one latency objective."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from dunecove.policy.overload_detector import OverloadDetector
from dunecove.policy.smoothing import latency_ewma

if TYPE_CHECKING:
    from dunecove.policy.request import Request

# Ended requests are removed from memory once there are more entries than this, and twice as many as had a
# request after the last removal.
MIN_REMOVAL_COUNT = 256


class RequestQueue:
    """The requests that wait for a backend with capacity, their mean latency and the overload detector."""

    def __init__(self, objective_ms: float, step_interval_ms: float) -> None:
        self.objective_ms = objective_ms
        self.detector = OverloadDetector(objective_ms, step_interval_ms)
        self.mean_latency_ms = 0.0  # smoothed latency of responses; 0 before the first one
        self._requests: deque[Request | None] = deque()  # None: an ended one, removed from memory
        self._live_count = 0  # entries that had a request after the last removal
        self._pushed_count = 0  # since the last removal

    def __len__(self) -> int:
        """Return the number of entries, including ended requests that have not been removed yet."""
        return len(self._requests)

    def push(self, request: Request) -> None:
        """Append a new request."""
        request.is_queued = True
        self._requests.append(request)
        self._pushed_count += 1
        if self._pushed_count > max(self._live_count, MIN_REMOVAL_COUNT):
            self._remove_ended()

    def _remove_ended(self) -> None:
        """Remove ended requests from memory; their entries still count until they reach the head."""
        self._requests = deque(
            request if request is not None and request.is_queued else None for request in self._requests
        )
        self._live_count = sum(request is not None for request in self._requests)
        self._pushed_count = 0

    def push_front(self, request: Request) -> None:
        """Queue a request for a retry, ahead of all requests without an attempt."""
        request.is_queued = True
        self._requests.appendleft(request)

    def head(self) -> Request | None:
        """Return the first request, or None; drop ended requests ahead of it."""
        while self._requests:
            request = self._requests[0]
            if request is not None and request.is_queued:
                return request
            self._requests.popleft()
        return None

    def pop_head(self, now: float) -> Request:
        """Remove and return the request that `head` has just returned, which is about to be sent."""
        request = self._requests.popleft()
        assert request is not None
        request.is_queued = False
        if not request.attempts:
            self.detector.record_send(now, now - request.arrived_at)
        return request

    def record_latency(self, latency_ms: float) -> None:
        """Update the mean latency with a response to a request of this queue."""
        self.mean_latency_ms = latency_ewma(self.mean_latency_ms, latency_ms)

    def overload_ratio(self, now: float) -> float:
        """Return the overload ratio: above 1 if the queue is overloaded, 0 if it is empty."""
        head = self.head()
        if head is None:
            return 0.0  # the next request is sent immediately, whatever the last window's minimum wait was
        return self.detector.wait_ratio(now, head.arrived_at, self.mean_latency_ms)

    def threshold_ms(self) -> float:
        """Return the threshold of the minimum wait above which the queue is overloaded."""
        return self.detector.threshold_ms(self.mean_latency_ms)


def create_queues(objectives_ms: set[float], step_interval_ms: float) -> dict[float, RequestQueue]:
    """Return the queues by objective, in ascending order."""
    return {objective: RequestQueue(objective, step_interval_ms) for objective in sorted(objectives_ms)}
