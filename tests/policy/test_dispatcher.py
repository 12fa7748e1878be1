"""Which queued request goes next, and whether there is capacity for it."""

from __future__ import annotations

from dunecove.policy.actions import (
    Forward,
)
from dunecove.policy.settings import RequestClass
from tests.support import Driver, fleet, of_type, settings


def test_nothing_waits_beside_an_idle_warm_backend() -> None:
    driver = Driver(settings(), *fleet(1))
    driver.arrive()
    assert [s.backend_id for s in of_type(Forward, driver.last)] == ["10.0.0.0:80"]


def test_requests_over_the_limit_wait_and_the_head_goes_when_one_ends() -> None:
    driver = Driver(settings(proxy_count=4), *fleet(1))
    first, second, third = driver.arrive(), driver.arrive(), driver.arrive()
    assert list(driver.forwards) == [first]
    assert [s.request_id for s in of_type(Forward, driver.end(first))] == [second]
    assert third not in driver.forwards


def test_the_head_that_waited_the_largest_part_of_its_objective_goes_first() -> None:
    classes = (RequestClass(1000.0, 3000.0), RequestClass(200.0, 3000.0))
    driver = Driver(settings(*classes, proxy_count=4), *fleet(1))
    first = driver.arrive(0)
    driver.now += 5
    older = driver.arrive(0, wait=3000)
    driver.now += 10
    pressed = driver.arrive(1, wait=3000)
    assert [s.request_id for s in of_type(Forward, driver.end(first))] == [pressed]
    assert older not in driver.forwards


def test_limits_below_one_add_up_to_a_limit_on_all_in_flight() -> None:
    driver = Driver(settings(proxy_count=4), *fleet(8))
    for backend in driver.balancer.backends.active:
        backend.limit = 0.25
    for _ in range(8):
        driver.arrive()
    assert len(driver.forwards) == 2
    driver.end("r0")
    assert len(driver.forwards) == 3


def test_backends_that_hang_do_not_use_up_the_sum_of_limits() -> None:
    driver = Driver(settings(proxy_count=4), *fleet(8))
    for _ in range(20):
        driver.end(driver.arrive(), after=20)
    for backend in driver.balancer.backends.active:
        backend.limit = 0.25
    queued = [driver.arrive() for _ in range(3)]
    assert [name in driver.forwards for name in queued] == [True, True, False]
    driver.step(after=30)
    assert queued[2] not in driver.forwards  # a response may still be on its way
    driver.step(after=30)
    assert queued[2] in driver.forwards


def test_arrival_order_is_kept_within_a_queue() -> None:
    driver = Driver(settings(proxy_count=4), *fleet(1))
    names = [driver.arrive(wait=5000) for _ in range(3)]
    driver.end(names[0])
    driver.end(names[1])
    assert list(driver.forwards) == names
