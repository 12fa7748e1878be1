"""Tests of priority levels, and of load shedding under overload."""

from __future__ import annotations

import pytest

from dunecove.policy.actions import Reject
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


def test_priority_level_depends_on_priority_weight_and_tenant_quota() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=weight) for weight in (12.0, 7.0, 4.0, 1.0))
    balancer = Balancer(
        make_settings(*classes, tenant_quotas=(2.0,), over_quota_weight=0.05, proxy_count=2), 1
    )
    assert [balancer.admission.priority_level(0.0, request_class, 5) for request_class in classes] == [
        1,
        2,
        3,
        4,
    ]
    assert [balancer.admission.priority_level(1.0, classes[0], 0) for _ in range(3)] == [1, 4, 4]
    assert balancer.admission.priority_level(2001.0, classes[0], 0) == 1  # refilled with a second's quota


@pytest.mark.parametrize(("class_index", "expected_action"), [(0, None), (1, None), (3, Reject)])
def test_overload_sheds_only_low_priority_levels(class_index: int, expected_action: type | None) -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=weight) for weight in (12.0, 7.0, 4.0, 1.0))
    driver = driver_with_queued_request(*classes, sends_retry_after=True, max_retry_after_ms=500)
    driver.now += 160  # no request was sent for longer than the window
    driver.send_request(class_index)
    rejected = actions_of_type(Reject, driver.last_actions)
    assert bool(rejected) == (expected_action is Reject)
    if rejected:
        assert 0 < rejected[0].retry_after_ms <= 500


def rejections_after_waits(classes: tuple[RequestClass, ...], class_index: int, wait_ms: float) -> int:
    """Return how many of 20 requests of a class are rejected while all requests wait for `wait_ms`."""
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


def test_level_three_is_shed_at_a_higher_overload_ratio_than_level_four() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=weight) for weight in (12.0, 4.0, 1.0))
    # Overload ratio 1.5: the threshold is 0.08 (`MAX_WAIT_SLACK_FRACTION`) of the objective of 300 ms.
    counts = {
        class_index: rejections_after_waits(classes, class_index, 1.5 * 0.08 * 300) for class_index in (1, 2)
    }
    assert counts == {1: 0, 2: 20}


def test_long_wait_sheds_half_the_highest_weight_but_not_the_highest() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=weight) for weight in (10.0, 5.0))
    # Overload ratio 6.5: the threshold is 0.08 (`MAX_WAIT_SLACK_FRACTION`) of the objective of 300 ms.
    counts = {
        class_index: rejections_after_waits(classes, class_index, 6.5 * 0.08 * 300) for class_index in (0, 1)
    }
    assert counts == {0: 0, 1: 20}


def test_overload_of_one_queue_does_not_shed_requests_of_another() -> None:
    classes = (
        RequestClass(300.0, 900.0, priority_weight=12.0),
        RequestClass(500.0, 900.0, priority_weight=1.0),
    )
    driver = driver_with_queued_request(*classes)
    driver.now += 160
    driver.send_request(1)
    assert not actions_of_type(Reject, driver.last_actions)


def test_level_four_is_admitted_to_an_empty_queue_unless_overload_recurs() -> None:
    classes = (
        RequestClass(300.0, 900.0, priority_weight=12.0),
        RequestClass(300.0, 900.0, priority_weight=1.0),
    )
    for readmission_objectives, rejected in ((0.5, False), (4.0, True)):
        driver = Driver(make_settings(*classes), *make_backends(40))
        driver.balancer.queues[0].detector.last_overloaded_at = driver.now
        driver.balancer.queues[0].detector.readmission_objectives = readmission_objectives
        driver.send_request(1)
        assert bool(actions_of_type(Reject, driver.last_actions)) is rejected


def test_level_four_is_readmitted_gradually_after_overload() -> None:
    classes = (
        RequestClass(300.0, 900.0, priority_weight=12.0),
        RequestClass(300.0, 900.0, priority_weight=1.0),
    )
    rejected = []
    for elapsed_ms in (1.0, 600.0, 1201.0):
        driver = Driver(make_settings(*classes), *make_backends(40))
        driver.balancer.queues[0].detector.last_overloaded_at = driver.now
        driver.balancer.queues[0].detector.readmission_objectives = 4.0
        driver.now += elapsed_ms
        rejected.append(
            sum(
                bool(actions_of_type(Reject, driver.last_actions))
                for _ in range(40)
                if driver.send_request(1)
            )
        )
    assert rejected[0] >= 38 and 8 < rejected[1] < 32 and rejected[2] == 0


def test_work_expected_late_on_the_fastest_kind_has_a_lower_priority_level() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=weight) for weight in (10.0, 5.0))
    balancer = Balancer(make_settings(*classes), 1)

    def levels(work_hint_ms: float) -> list[int]:
        return [
            balancer.admission.priority_level(0.0, request_class, 0, work_hint_ms)
            for request_class in classes
        ]

    assert levels(5000.0) == [1, 3]  # before any kind's work rate is known
    balancer.latencies.work_rates = {0: 1.5, 1: 3.0}
    assert levels(190.0) == [1, 3]
    assert levels(210.0) == [3, 4]
    assert levels(0.0) == [1, 3]


@pytest.mark.parametrize(("weight", "level"), [(5.0, 4), (10.0, 4)])
def test_sparse_proxy_sheds_work_expected_late_after_many_timeouts(weight: float, level: int) -> None:
    """Guards against late work that delays other requests.

    A sparse proxy's queue is empty while the backends that all proxies share are overloaded. Work that none
    of them could finish in time was still sent.
    """
    classes = (
        RequestClass(300.0, 2000.0, priority_weight=weight),
        RequestClass(300.0, 2000.0, priority_weight=10.0),
    )
    driver = Driver(make_settings(*classes, **SPARSE_TIER), *make_backends(40))
    run_successful_requests(driver, 20, 10.0, 2.0)
    assert driver.balancer.admission.priority_level(driver.now, classes[0], 0, 400.0) == level
    assert send_request_with_hint(driver, 400.0) in driver.forwards  # without overload it is admitted
    run_timed_out_requests(driver, 8, 10.0)
    late_request = send_request_with_hint(driver, 400.0)
    assert late_request not in driver.forwards and actions_of_type(Reject, driver.last_actions)
    assert send_request_with_hint(driver, 10.0) in driver.forwards


def test_sparse_proxy_overload_ends_when_responses_meet_the_objective_again() -> None:
    driver = Driver(make_settings(RequestClass(300.0, 2000.0), **SPARSE_TIER), *make_backends(40))
    run_successful_requests(driver, 20, 10.0, 2.0)
    run_timed_out_requests(driver, 8, 10.0)
    run_successful_requests(driver, 40, 10.0, 2.0)
    assert send_request_with_hint(driver, 400.0) in driver.forwards


def test_work_near_its_objective_is_expected_late_only_at_a_sparse_proxy() -> None:
    request_class = RequestClass(300.0, 2000.0)
    for proxy_count, level in ((300, 4), (3, 1)):
        driver = Driver(make_settings(request_class, proxy_count=proxy_count), *make_backends(40))
        run_successful_requests(driver, 60, 40.0, 1.0)
        assert driver.balancer.admission.priority_level(driver.now, request_class, 0, 220.0) == level
        assert driver.balancer.admission.priority_level(driver.now, request_class, 0, 120.0) == 1
