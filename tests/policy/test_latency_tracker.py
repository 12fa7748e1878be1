"""Usual latencies and work rates."""

from __future__ import annotations

from dunecove.policy.models import AttemptResult
from dunecove.policy.settings import RequestClass
from tests.policy.helpers import SPARSE, run_responses, run_timeouts
from tests.support import Driver, fleet, settings


def test_a_sparse_proxy_learns_within_ten_outcomes_that_a_kind_has_slowed() -> None:
    driver = Driver(settings(RequestClass(300.0, 2000.0), **SPARSE), *fleet(40))
    run_responses(driver, 40, 40.0, 1.0)
    run_responses(driver, 10, 40.0, 4.0)
    assert 2.0 < driver.balancer.latencies.work_rates[0] < 4.0


def test_a_timeout_shows_that_a_kind_is_at_least_so_slow() -> None:
    driver = Driver(settings(RequestClass(300.0, 2000.0), **SPARSE), *fleet(40))
    run_responses(driver, 40, 40.0, 1.0)
    run_timeouts(driver, 10, 75.0)
    slowed = driver.balancer.latencies.work_rates[0]
    assert slowed > 2.0
    run_timeouts(driver, 3, 2000.0)  # a short wait for long work says nothing
    assert driver.balancer.latencies.work_rates[0] >= slowed


def test_a_response_without_measurable_latency_is_learned_from() -> None:
    driver = Driver(settings(), *fleet(1))
    for _ in range(20):
        driver.end(driver.arrive(), after=0.0)
    assert len(driver.forwards) == 20


def test_attempts_given_up_raise_the_usual_latency() -> None:
    driver = Driver(settings(), *fleet(2))
    for _ in range(20):
        driver.end(driver.arrive(), after=20)
    before = driver.balancer.latencies.class_latency_ms(0)
    driver.end(driver.arrive(), AttemptResult.CANCELLED, after=150)
    assert driver.balancer.latencies.class_latency_ms(0) > before
