"""Detects overload of a queue by its minimum wait over a time window, as CoDel does."""

from __future__ import annotations

from math import inf

from dunecove.policy.settings import ACTION_DELAY_STEPS

WINDOW_OBJECTIVES = 0.5  # window in latency objectives; short enough to react before requests miss theirs
MIN_WINDOW_SENDS = 8  # each half window is extended until it has half as many: fewer are not significant
# The queue is overloaded if its minimum wait exceeds this fraction of (latency objective - mean latency).
MAX_WAIT_SLACK_FRACTION = 0.08
# Readmission period: time after an overload over which the lowest priority level is gradually admitted again,
# in latency objectives.
MIN_READMISSION_OBJECTIVES = 0.5
MAX_READMISSION_OBJECTIVES = 4.0
# An overload that begins within RECURRENCE_FACTOR * (readmission_objectives + 1) latency objectives after the
# end of the previous one doubles the readmission period.
RECURRENCE_FACTOR = 0.5


class OverloadDetector:
    """The overload state of one queue. Times are in ms."""

    def __init__(self, objective_ms: float, step_interval_ms: float) -> None:
        self.objective_ms = objective_ms
        self.step_interval_ms = step_interval_ms
        self.half_window_started_at = 0.0  # the window consists of the previous and the current half window
        self.send_count = 0  # in the current half window
        self.min_wait_ms = 0.0  # in the current half window
        self.previous_min_wait_ms = 0.0  # in the previous half window
        self.last_send_at = 0.0
        self.overloaded = False
        self.last_overloaded_at = -inf
        self.readmission_objectives = MIN_READMISSION_OBJECTIVES

    def record_send(self, now: float, wait_ms: float) -> None:
        """Record the first attempt of a request that waited for `wait_ms`."""
        half_window_ms = self.objective_ms * WINDOW_OBJECTIVES / 2
        if self.send_count >= MIN_WINDOW_SENDS / 2 and now - self.half_window_started_at >= half_window_ms:
            self.previous_min_wait_ms = self.min_wait_ms
            self.send_count = 0
            self.half_window_started_at = now
        self.min_wait_ms = wait_ms if self.send_count == 0 else min(self.min_wait_ms, wait_ms)
        self.send_count += 1
        self.last_send_at = now

    def set_overloaded(self, now: float, overloaded: bool) -> None:
        """Set whether the queue is overloaded; at the start of an overload, choose its readmission period.

        A single overload may be chance, so its readmission period is short. If another follows soon, the
        offered load exceeds the capacity: with the same period, readmission would cause overload repeatedly.
        """
        if overloaded and not self.overloaded:
            recent_ms = RECURRENCE_FACTOR * (self.readmission_objectives + 1) * self.objective_ms
            if now - self.last_overloaded_at < recent_ms:
                self.readmission_objectives = min(2 * self.readmission_objectives, MAX_READMISSION_OBJECTIVES)
            else:
                self.readmission_objectives = MIN_READMISSION_OBJECTIVES
        self.overloaded = overloaded
        if overloaded:
            self.last_overloaded_at = now

    def wait_ratio(self, now: float, head_arrived_at: float, mean_latency_ms: float) -> float:
        """Return the ratio of the window's minimum wait to its threshold, for a queue that is not empty."""
        wait_ms = min(self.min_wait_ms, self.previous_min_wait_ms)
        if now - self.last_send_at > self.objective_ms * WINDOW_OBJECTIVES:
            wait_ms = now - head_arrived_at  # nothing was sent: an old minimum wait would hide a stuck queue
        return wait_ms / self.threshold_ms(mean_latency_ms)

    def threshold_ms(self, mean_latency_ms: float) -> float:
        """Return the threshold of the minimum wait above which the queue is overloaded."""
        slack_ms = self.objective_ms - mean_latency_ms
        return max(MAX_WAIT_SLACK_FRACTION * slack_ms, ACTION_DELAY_STEPS * self.step_interval_ms)

    @property
    def readmission_ms(self) -> float:
        """The readmission period after an overload."""
        return self.readmission_objectives * self.objective_ms

    def readmitted_fraction(self, now: float) -> float:
        """Return the elapsed fraction of the readmission period; at least 1 once it has passed."""
        return (now - self.last_overloaded_at) / self.readmission_ms
