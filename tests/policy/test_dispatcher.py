"""Which queued request goes next, and whether there is capacity for it."""

from __future__ import annotations

from dunecove.policy.actions import (
    Forward,
)
from dunecove.policy.settings import RequestClass
from tests.support import Driver, actions_of_type, make_backends, make_settings


def test_nothing_waits_beside_an_idle_warm_backend() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    driver.send_request()
    assert [s.backend_id for s in actions_of_type(Forward, driver.last_actions)] == ["10.0.0.0:80"]


def test_requests_over_the_limit_wait_and_the_head_goes_when_one_ends() -> None:
    driver = Driver(make_settings(proxy_count=4), *make_backends(1))
    first, second, third = driver.send_request(), driver.send_request(), driver.send_request()
    assert list(driver.forwards) == [first]
    assert [s.request_id for s in actions_of_type(Forward, driver.end_attempt(first))] == [second]
    assert third not in driver.forwards


def test_the_head_that_waited_the_largest_part_of_its_objective_goes_first() -> None:
    classes = (RequestClass(1000.0, 3000.0), RequestClass(200.0, 3000.0))
    driver = Driver(make_settings(*classes, proxy_count=4), *make_backends(1))
    first = driver.send_request(0)
    driver.now += 5
    older = driver.send_request(0, timeout_ms=3000)
    driver.now += 10
    pressed = driver.send_request(1, timeout_ms=3000)
    assert [s.request_id for s in actions_of_type(Forward, driver.end_attempt(first))] == [pressed]
    assert older not in driver.forwards


def test_limits_below_one_add_up_to_a_limit_on_all_in_flight() -> None:
    driver = Driver(make_settings(proxy_count=4), *make_backends(8))
    for backend in driver.balancer.backends.active:
        backend.limit = 0.25
    for _ in range(8):
        driver.send_request()
    assert len(driver.forwards) == 2
    driver.end_attempt("r0")
    assert len(driver.forwards) == 3


def test_backends_that_hang_do_not_use_up_the_sum_of_limits() -> None:
    driver = Driver(make_settings(proxy_count=4), *make_backends(8))
    for _ in range(20):
        driver.end_attempt(driver.send_request(), elapsed_ms=20)
    for backend in driver.balancer.backends.active:
        backend.limit = 0.25
    queued = [driver.send_request() for _ in range(3)]
    assert [name in driver.forwards for name in queued] == [True, True, False]
    driver.step(elapsed_ms=30)
    assert queued[2] not in driver.forwards  # a response may still be on its way
    driver.step(elapsed_ms=30)
    assert queued[2] in driver.forwards


def test_arrival_order_is_kept_within_a_queue() -> None:
    driver = Driver(make_settings(proxy_count=4), *make_backends(1))
    names = [driver.send_request(timeout_ms=5000) for _ in range(3)]
    driver.end_attempt(names[0])
    driver.end_attempt(names[1])
    assert list(driver.forwards) == names
