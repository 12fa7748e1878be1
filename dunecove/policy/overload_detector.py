"""Overload of a queue, by the minimum wait over a window, as CoDel judges it."""

from __future__ import annotations

from math import inf

from dunecove.policy.settings import ACTION_DELAY_STEPS

WINDOW_OBJECTIVES = 0.5  # the window as a part of the objective: a verdict must come while it still helps
MIN_WINDOW_SENDS = 8  # fewer say nothing: a window with fewer is stretched
MAX_WAIT_SLACK_FRACTION = 0.08  # part of (objective - usual latency) that the minimum wait may take
# Objectives after an overload over which the lowest priority level is admitted again.
MIN_READMISSION_OBJECTIVES = 0.5
MAX_READMISSION_OBJECTIVES = 4.0
RECURRENCE_FACTOR = 0.5  # of (release + 1) objectives, within which another overload prolongs the release


class OverloadDetector:
    """The verdict on one queue. Times are in ms."""

    def __init__(self, objective_ms: float, step_interval_ms: float) -> None:
        self.objective_ms = objective_ms
        self.step_interval_ms = step_interval_ms
        self.half_window_started_at = 0.0  # when the current half of the window began
        self.send_count = 0  # in the current half
        self.min_wait_ms = 0.0  # in the current half
        self.previous_min_wait_ms = 0.0  # in the half before
        self.last_send_at = 0.0
        self.overloaded = False
        self.last_overloaded_at = -inf  # last time
        self.readmission_objectives = MIN_READMISSION_OBJECTIVES

    def record_send(self, now: float, wait_ms: float) -> None:
        """Learn that a request left the queue for the first time, after `wait_ms`."""
        half_window_ms = self.objective_ms * WINDOW_OBJECTIVES / 2
        if self.send_count >= MIN_WINDOW_SENDS / 2 and now - self.half_window_started_at >= half_window_ms:
            self.previous_min_wait_ms = self.min_wait_ms
            self.send_count = 0
            self.half_window_started_at = now
        self.min_wait_ms = wait_ms if self.send_count == 0 else min(self.min_wait_ms, wait_ms)
        self.send_count += 1
        self.last_send_at = now

    def set_overloaded(self, now: float, overloaded: bool) -> None:
        """Record the verdict that holds from now on.

        One overload may be chance, and its release is short. Where the next follows at once, clients send
        more than there is capacity for: admitted as fast as before, they would bring it back again and again.
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
        """Return the windowed minimum wait over its threshold, for a queue that isn't empty."""
        wait_ms = min(self.min_wait_ms, self.previous_min_wait_ms)
        if now - self.last_send_at > self.objective_ms * WINDOW_OBJECTIVES:
            wait_ms = now - head_arrived_at  # nothing leaves: a stuck queue must not look like a calm one
        return wait_ms / self.threshold_ms(mean_latency_ms)

    def threshold_ms(self, mean_latency_ms: float) -> float:
        """Return the minimum wait above which the queue is overloaded."""
        slack_ms = self.objective_ms - mean_latency_ms
        return max(MAX_WAIT_SLACK_FRACTION * slack_ms, ACTION_DELAY_STEPS * self.step_interval_ms)

    @property
    def readmission_ms(self) -> float:
        """The time after an overload over which the lowest level is admitted again."""
        return self.readmission_objectives * self.objective_ms

    def readmitted_fraction(self, now: float) -> float:
        """Return the part of the release that has passed; 1 and more: all of it."""
        return (now - self.last_overloaded_at) / self.readmission_ms
