"""The verdict on a queue by the minimum wait of a window."""

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


def test_the_ratio_follows_the_minimum_wait_of_the_window() -> None:
    queue, now = queue_with_waits(*[60.0] * 20)
    assert queue.overload_ratio(now) > 1
    queue.detector.record_send(now + 1, 0.0)  # one immediate send is enough: no standing queue
    assert queue.overload_ratio(now + 1) == 0


def test_a_window_of_few_sends_does_not_change_the_verdict() -> None:
    queue, now = queue_with_waits(0.0, 60.0, 60.0)
    assert queue.overload_ratio(now) < 1


def test_a_stuck_queue_counts_by_the_age_of_its_head() -> None:
    queue, now = queue_with_waits(*[0.0] * 20)
    assert queue.overload_ratio(now + 200) > 1


def test_an_empty_queue_is_not_overloaded_whatever_an_old_window_says() -> None:
    queue, now = queue_with_waits(*[60.0] * 20)
    head = queue.head()
    assert head is not None
    head.is_queued = False
    assert queue.overload_ratio(now + 5) == 0


def test_the_release_is_longer_only_where_overload_returns_soon() -> None:
    # After each short spike it was shed for four objectives, and backends stood idle meanwhile.
    detector = OverloadDetector(300.0, 1.0)

    def flags(every: float, times: int) -> float:
        for number in range(times):
            detector.set_overloaded(1e6 + number * every, True)
            detector.set_overloaded(1e6 + number * every + 1, False)
        return detector.readmission_objectives

    assert flags(200.0, 1) == 0.5
    assert flags(200.0, 6) == 4.0
    detector.last_overloaded_at = -1e9
    assert flags(5000.0, 3) == 0.5
