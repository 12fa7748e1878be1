"""Tests of which queued request is sent next, and whether a backend has capacity for it."""

from __future__ import annotations

from dunecove.policy.actions import Forward
from dunecove.policy.settings import RequestClass
from tests.support import Driver, actions_of_type, make_backends, make_settings


def test_request_is_sent_immediately_to_an_idle_backend() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    driver.send_request()
    assert [forward.backend_id for forward in actions_of_type(Forward, driver.last_actions)] == [
        "10.0.0.0:80"
    ]


def test_requests_above_the_limit_are_queued_until_an_attempt_ends() -> None:
    driver = Driver(make_settings(proxy_count=4), *make_backends(1))
    first, second, third = driver.send_request(), driver.send_request(), driver.send_request()
    assert list(driver.forwards) == [first]
    assert [forward.request_id for forward in actions_of_type(Forward, driver.end_attempt(first))] == [second]
    assert third not in driver.forwards


def test_head_with_the_longest_wait_relative_to_its_objective_is_sent_first() -> None:
    classes = (RequestClass(1000.0, 3000.0), RequestClass(200.0, 3000.0))
    driver = Driver(make_settings(*classes, proxy_count=4), *make_backends(1))
    first = driver.send_request(0)
    driver.now += 5
    older = driver.send_request(0, timeout_ms=3000)
    driver.now += 10
    most_delayed = driver.send_request(1, timeout_ms=3000)
    assert [forward.request_id for forward in actions_of_type(Forward, driver.end_attempt(first))] == [
        most_delayed
    ]
    assert older not in driver.forwards


def test_limits_below_one_add_up_to_a_limit_on_all_attempts_in_flight() -> None:
    driver = Driver(make_settings(proxy_count=4), *make_backends(8))
    for backend in driver.balancer.backends.active:
        backend.limit = 0.25
    for _ in range(8):
        driver.send_request()
    assert len(driver.forwards) == 2
    driver.end_attempt("r0")
    assert len(driver.forwards) == 3


def test_unresponsive_backends_do_not_exhaust_the_sum_of_limits() -> None:
    driver = Driver(make_settings(proxy_count=4), *make_backends(8))
    for _ in range(20):
        driver.end_attempt(driver.send_request(), elapsed_ms=20)
    for backend in driver.balancer.backends.active:
        backend.limit = 0.25
    queued = [driver.send_request() for _ in range(3)]
    assert [request_id in driver.forwards for request_id in queued] == [True, True, False]
    driver.step(elapsed_ms=30)
    assert queued[2] not in driver.forwards  # the backends are not unresponsive yet
    driver.step(elapsed_ms=30)
    assert queued[2] in driver.forwards


def test_requests_of_a_queue_are_sent_in_order_of_arrival() -> None:
    driver = Driver(make_settings(proxy_count=4), *make_backends(1))
    request_ids = [driver.send_request(timeout_ms=5000) for _ in range(3)]
    driver.end_attempt(request_ids[0])
    driver.end_attempt(request_ids[1])
    assert list(driver.forwards) == request_ids
