"""How long a request may wait for a backend, and the timers that enforce it."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

from dunecove.policy.latency_tracker import LatencyTracker
from dunecove.policy.request import Attempt, Request
from dunecove.policy.request_rules import dedup_window_end
from dunecove.policy.settings import ACTION_DELAY_STEPS, Settings

TICK_MS = 25.0  # interval of housekeeping ticks; timeouts and recovery need no finer resolution
# A request without any attempt fails after this fraction of the time from its arrival to its deadline, so
# that its client has time left for a retry.
MAX_UNSENT_WAIT_FRACTION = 0.45
# Checks of finished requests are removed once there are more checks than this, and twice as many as were left
# after the last removal.
MIN_REMOVAL_COUNT = 256


class QueueTimeouts:
    """A timer queue of waiting requests, ordered by the time of their next check. Times are in ms."""

    def __init__(self, settings: Settings, latencies: LatencyTracker) -> None:
        self._step_interval_ms = settings.step_interval_ms
        self._latencies = latencies
        self._timers: list[tuple[float, int, Request]] = []  # heap of (due time, sequence number, request)
        self._timer_count = 0
        self._removal_count = MIN_REMOVAL_COUNT  # number of timers at which to remove those not needed

    def schedule(self, due_at: float, request: Request) -> None:
        """Schedule the next check of a request."""
        self._timer_count += 1
        heappush(self._timers, (due_at, self._timer_count, request))
        if len(self._timers) > self._removal_count:
            self._remove_finished()

    def _remove_finished(self) -> None:
        """Remove the checks of finished requests, which would keep them in memory until their deadlines."""
        self._timers = [timer for timer in self._timers if not timer[2].is_finished]
        heapify(self._timers)
        self._removal_count = max(2 * len(self._timers), MIN_REMOVAL_COUNT)

    def pop_due(self, now: float) -> Request | None:
        """Remove and return a request whose check is due; None if there is none."""
        if self._timers and self._timers[0][0] <= now:
            return heappop(self._timers)[2]
        return None

    def is_deadline_too_close(self, now: float, request: Request) -> bool:
        """Whether an arriving request must fail now, since a response in a later step would come too late."""
        return (
            min(request.deadline, request.value_expires_at)
            <= now + ACTION_DELAY_STEPS * self._step_interval_ms
        )

    def schedule_queued(self, request: Request) -> None:
        """Set the send deadline of a request that was just queued, and schedule its check."""
        # An attempt with less time than the expected maximum latency is unlikely to complete in time.
        max_latency_ms = self._latencies.expected_max_latency_ms(request)
        # Time to send an error response before the client disconnects.
        response_margin_ms = TICK_MS + ACTION_DELAY_STEPS * self._step_interval_ms
        request.send_deadline = min(
            request.value_expires_at - max_latency_ms, request.deadline - response_margin_ms
        )
        if not request.attempts:
            wait_ms = request.deadline - request.arrived_at
            request.send_deadline = min(
                request.send_deadline, request.arrived_at + MAX_UNSENT_WAIT_FRACTION * wait_ms
            )
        self.schedule(min(request.send_deadline, request.objective_end - max_latency_ms), request)

    def schedule_pinned_retry(self, request: Request, executed: Attempt) -> None:
        """Set the send deadline of a retry pinned to its deduplication scope, and schedule its check.

        `executed` is the earliest attempt that may have executed.
        """
        window_end = dedup_window_end(request.request_class, executed)
        latency_ms = self._latencies.capped_class_latency_ms(request)
        request.send_deadline = min(request.value_expires_at - latency_ms, window_end - TICK_MS)
        self.schedule(request.send_deadline, request)

    def try_extend(self, now: float, request: Request) -> bool:
        """Schedule another check of a request and return True; return False if it must not wait longer.

        A response after the objective, if it has a value, is worth waiting for only with spare capacity:
        under overload it takes capacity from a request that can still meet its objective.
        """
        if request.queue.overload_ratio(now) > 1 or now >= request.send_deadline:
            return False
        self.schedule(min(now + 2 * TICK_MS, request.send_deadline), request)
        return True
