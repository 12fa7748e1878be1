"""For how long a request may wait for a backend, and the timers for that."""

from __future__ import annotations

from heapq import heappop, heappush

from dunecove.policy.latency_tracker import LatencyTracker
from dunecove.policy.request import Attempt, Request
from dunecove.policy.request_rules import dedup_window_end
from dunecove.policy.settings import ACTION_DELAY_STEPS, Settings

TICK_MS = 25.0  # between two housekeeping ticks: timeouts and recovery need no finer grain
# Part of its wait after which a request never sent is failed: its client can still try again.
MAX_UNSENT_WAIT_FRACTION = 0.45


class QueueTimeouts:
    """The requests that wait, by the time at which to look at them again. Times are in ms."""

    def __init__(self, settings: Settings, latencies: LatencyTracker) -> None:
        self._step_interval_ms = settings.step_interval_ms
        self._latencies = latencies
        self._timers: list[tuple[float, int, Request]] = []  # a heap
        self._timer_count = 0

    def schedule(self, when: float, request: Request) -> None:
        """Look at a request again at this time."""
        self._timer_count += 1
        heappush(self._timers, (when, self._timer_count, request))

    def pop_due(self, now: float) -> Request | None:
        """Remove and return a request to look at now; None if there is none."""
        if self._timers and self._timers[0][0] <= now:
            return heappop(self._timers)[2]
        return None

    def is_deadline_too_close(self, now: float, request: Request) -> bool:
        """Whether a request that has just come has to be answered now, since no later step could."""
        return (
            min(request.deadline, request.value_expires_at)
            <= now + ACTION_DELAY_STEPS * self._step_interval_ms
        )

    def schedule_queued(self, request: Request) -> None:
        """Set when a request that has just been queued has to be sent at the latest."""
        # An attempt that gets less than an ordinary one's time can't be useful.
        expected_max_latency_ms = self._latencies.expected_max_latency_ms(request)
        answer_ms = (
            TICK_MS + ACTION_DELAY_STEPS * self._step_interval_ms
        )  # to answer the client before it leaves
        request.send_deadline = min(
            request.value_expires_at - expected_max_latency_ms, request.deadline - answer_ms
        )
        if not request.attempts:
            wait_ms = request.deadline - request.arrived_at
            request.send_deadline = min(
                request.send_deadline, request.arrived_at + MAX_UNSENT_WAIT_FRACTION * wait_ms
            )
        self.schedule(min(request.send_deadline, request.objective_end - expected_max_latency_ms), request)

    def schedule_pinned_retry(self, request: Request, executed: Attempt) -> None:
        """Set when a retry that waits for its deduplication scope has to be sent at the latest."""
        window_end = dedup_window_end(request.request_class, executed)
        usual_ms = self._latencies.capped_class_latency_ms(request)
        request.send_deadline = min(request.value_expires_at - usual_ms, window_end - TICK_MS)
        self.schedule(request.send_deadline, request)

    def try_extend(self, now: float, request: Request) -> bool:
        """Whether a request whose time is up may wait on; if so its timer is set anew.

        A late response, if it earns something, is only for times with capacity to spare: under overload it
        costs a request that is still in time.
        """
        if request.queue.overload_ratio(now) > 1 or now >= request.send_deadline:
            return False
        self.schedule(min(now + 2 * TICK_MS, request.send_deadline), request)
        return True
