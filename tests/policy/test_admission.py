"""Priority levels, and which of them are shed under overload."""

from __future__ import annotations

import pytest

from dunecove.policy.actions import (
    Reject,
)
from dunecove.policy.balancer import Balancer
from dunecove.policy.settings import RequestClass
from tests.policy.helpers import (
    SPARSE_TIER,
    driver_with_queued_request,
    run_successful_requests,
    run_timed_out_requests,
    send_request_with_hint,
)
from tests.support import Driver, actions_of_type, make_backends, make_settings


def test_levels_come_from_priority_weight_and_quota() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=w) for w in (12.0, 7.0, 4.0, 1.0))
    balancer = Balancer(
        make_settings(*classes, tenant_quotas=(2.0,), over_quota_weight=0.05, proxy_count=2), 1
    )
    assert [balancer.admission.priority_level(0.0, c, 5) for c in classes] == [1, 2, 3, 4]
    assert [balancer.admission.priority_level(1.0, classes[0], 0) for _ in range(3)] == [1, 4, 4]
    assert balancer.admission.priority_level(2001.0, classes[0], 0) == 1  # a second's quota has come in


@pytest.mark.parametrize(("cls", "answer"), [(0, None), (1, None), (3, Reject)])
def test_under_overload_only_low_levels_are_shed(cls: int, answer: type | None) -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=w) for w in (12.0, 7.0, 4.0, 1.0))
    driver = driver_with_queued_request(*classes, sends_retry_after=True, max_retry_after_ms=500)
    driver.now += 160  # stuck for longer than a window
    driver.send_request(cls)
    rejected = actions_of_type(Reject, driver.last_actions)
    assert bool(rejected) == (answer is Reject)
    if rejected:
        assert 0 < rejected[0].retry_after_ms <= 500


def rejections_after_waits(classes: tuple[RequestClass, ...], class_index: int, wait_ms: float) -> int:
    """Return how many of 20 arrivals of a class are rejected while all requests wait as long."""
    driver = driver_with_queued_request(*classes)
    detector = driver.balancer.queues[0].detector
    for _ in range(9):
        driver.now += 20
        detector.record_send(driver.now, wait_ms)
    return sum(
        bool(actions_of_type(Reject, driver.last_actions))
        for _ in range(20)
        if driver.send_request(class_index)
    )


def test_level_three_is_shed_less_readily_than_four() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=w) for w in (12.0, 4.0, 1.0))
    counts = {cls: rejections_after_waits(classes, cls, 1.5 * 0.08 * 300) for cls in (1, 2)}
    assert counts == {1: 0, 2: 20}


def test_half_the_best_weight_is_shed_under_a_long_wait_and_the_best_is_not() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=w) for w in (10.0, 5.0))
    counts = {cls: rejections_after_waits(classes, cls, 6.5 * 0.08 * 300) for cls in (0, 1)}
    assert counts == {0: 0, 1: 20}


def test_overload_of_one_queue_sheds_nothing_of_another() -> None:
    classes = (
        RequestClass(300.0, 900.0, priority_weight=12.0),
        RequestClass(500.0, 900.0, priority_weight=1.0),
    )
    driver = driver_with_queued_request(*classes)
    driver.now += 160
    driver.send_request(1)
    assert not actions_of_type(Reject, driver.last_actions)


def test_level_four_is_admitted_to_an_empty_queue_unless_overload_keeps_returning() -> None:
    classes = (
        RequestClass(300.0, 900.0, priority_weight=12.0),
        RequestClass(300.0, 900.0, priority_weight=1.0),
    )
    for release, rejected in ((0.5, False), (4.0, True)):
        driver = Driver(make_settings(*classes), *make_backends(40))
        driver.balancer.queues[0].detector.last_overloaded_at = driver.now
        driver.balancer.queues[0].detector.readmission_objectives = release
        driver.send_request(1)
        assert bool(actions_of_type(Reject, driver.last_actions)) is rejected


def test_level_four_is_admitted_again_by_degrees_after_overload() -> None:
    classes = (
        RequestClass(300.0, 900.0, priority_weight=12.0),
        RequestClass(300.0, 900.0, priority_weight=1.0),
    )
    rejected = []
    for since in (1.0, 600.0, 1201.0):
        driver = Driver(make_settings(*classes), *make_backends(40))
        driver.balancer.queues[0].detector.last_overloaded_at = driver.now
        driver.balancer.queues[0].detector.readmission_objectives = 4.0
        driver.now += since
        rejected.append(
            sum(
                bool(actions_of_type(Reject, driver.last_actions))
                for _ in range(40)
                if driver.send_request(1)
            )
        )
    assert rejected[0] >= 38 and 8 < rejected[1] < 32 and rejected[2] == 0


def test_work_that_is_late_even_on_the_fastest_kind_is_of_a_lower_level() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=w) for w in (10.0, 5.0))
    balancer = Balancer(make_settings(*classes), 1)

    def levels(work: float) -> list[int]:
        return [balancer.admission.priority_level(0.0, spec, 0, work) for spec in classes]

    assert levels(5000.0) == [1, 3]  # before any kind's work rate is known
    balancer.latencies.work_rates = {0: 1.5, 1: 3.0}
    assert levels(190.0) == [1, 3]
    assert levels(210.0) == [3, 4]
    assert levels(0.0) == [1, 3]


@pytest.mark.parametrize(("weight", "level"), [(5.0, 4), (10.0, 4)])
def test_after_many_timeouts_work_that_will_be_late_is_shed_first(weight: float, level: int) -> None:
    """A sparse proxy's queue is empty while the backends that all proxies share are full: work that none of
    them could finish in time went on being sent, and kept others from finishing."""
    classes = (
        RequestClass(300.0, 2000.0, priority_weight=weight),
        RequestClass(300.0, 2000.0, priority_weight=10.0),
    )
    driver = Driver(make_settings(*classes, **SPARSE_TIER), *make_backends(40))
    run_successful_requests(driver, 20, 10.0, 2.0)
    assert driver.balancer.admission.priority_level(driver.now, classes[0], 0, 400.0) == level
    assert send_request_with_hint(driver, 400.0) in driver.forwards  # no overload: why not try
    run_timed_out_requests(driver, 8, 10.0)
    late = send_request_with_hint(driver, 400.0)
    assert late not in driver.forwards and actions_of_type(Reject, driver.last_actions)
    assert send_request_with_hint(driver, 10.0) in driver.forwards


def test_overload_is_over_once_responses_are_in_time_again() -> None:
    driver = Driver(make_settings(RequestClass(300.0, 2000.0), **SPARSE_TIER), *make_backends(40))
    run_successful_requests(driver, 20, 10.0, 2.0)
    run_timed_out_requests(driver, 8, 10.0)
    run_successful_requests(driver, 40, 10.0, 2.0)
    assert send_request_with_hint(driver, 400.0) in driver.forwards


def test_work_that_takes_most_of_its_objective_counts_as_late_at_a_sparse_proxy_only() -> None:
    spec = RequestClass(300.0, 2000.0)
    for proxies, level in ((300, 4), (3, 1)):
        driver = Driver(make_settings(spec, proxy_count=proxies), *make_backends(40))
        run_successful_requests(driver, 60, 40.0, 1.0)
        assert driver.balancer.admission.priority_level(driver.now, spec, 0, 220.0) == level
        assert driver.balancer.admission.priority_level(driver.now, spec, 0, 120.0) == 1
