"""Tests of overload detection by the minimum wait over a time window."""

from __future__ import annotations

from dunecove.policy.overload_detector import OverloadDetector
from dunecove.policy.request_queue import RequestQueue
from tests.policy.helpers import driver_with_queued_request


def queue_with_waits(*waits: float) -> tuple[RequestQueue, float]:
    driver = driver_with_queued_request()
    queue, now = driver.balancer.queues[0], driver.now
    detector = queue.detector
    detector.min_wait_ms, detector.previous_min_wait_ms, detector.send_count = 0.0, 0.0, 0
    for wait in waits:
        now += 20
        queue.detector.record_send(now, wait)
    return queue, now


def test_overload_ratio_follows_the_minimum_wait_of_the_window() -> None:
    queue, now = queue_with_waits(*[60.0] * 20)
    assert queue.overload_ratio(now) > 1
    queue.detector.record_send(now + 1, 0.0)  # one request without a wait disproves a standing queue
    assert queue.overload_ratio(now + 1) == 0


def test_window_with_few_samples_does_not_cause_overload() -> None:
    queue, now = queue_with_waits(0.0, 60.0, 60.0)
    assert queue.overload_ratio(now) < 1


def test_overload_ratio_of_a_stuck_queue_follows_the_wait_of_its_head() -> None:
    queue, now = queue_with_waits(*[0.0] * 20)
    assert queue.overload_ratio(now + 200) > 1


def test_empty_queue_is_not_overloaded_after_a_window_of_long_waits() -> None:
    queue, now = queue_with_waits(*[60.0] * 20)
    head = queue.head()
    assert head is not None
    head.is_queued = False
    assert queue.overload_ratio(now + 5) == 0


def test_readmission_period_grows_only_if_overload_recurs_soon() -> None:
    # Guards against a long readmission period after each short load peak, which left backends idle.
    detector = OverloadDetector(300.0, 1.0)

    def readmission_objectives_after(interval_ms: float, overload_count: int) -> float:
        for number in range(overload_count):
            detector.set_overloaded(1e6 + number * interval_ms, True)
            detector.set_overloaded(1e6 + number * interval_ms + 1, False)
        return detector.readmission_objectives

    assert readmission_objectives_after(200.0, 1) == 0.5
    assert readmission_objectives_after(200.0, 6) == 4.0
    detector.last_overloaded_at = -1e9
    assert readmission_objectives_after(5000.0, 3) == 0.5
