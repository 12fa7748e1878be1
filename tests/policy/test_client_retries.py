"""Retries of clients, recognised by the time that is left to them."""

from __future__ import annotations

from dunecove.policy.actions import (
    Fail,
    Forward,
)
from dunecove.policy.settings import RequestClass
from tests.support import Driver, actions_of_type, make_backends, make_settings


def test_a_retry_past_the_objective_of_its_first_try_is_not_sent() -> None:
    for late_worth, sent in ((0.0, False), (0.3, True)):
        driver = Driver(make_settings(RequestClass(300.0, 1000.0, late_weight=late_worth)), *make_backends(2))
        driver.end_attempt(driver.send_request(timeout_ms=1000))
        driver.send_request(timeout_ms=690)  # its client has waited 310 ms already
        assert bool(actions_of_type(Forward, driver.last_actions)) is sent
        assert bool(actions_of_type(Fail, driver.last_actions)) is not sent
        driver.send_request(timeout_ms=900)
        assert actions_of_type(Forward, driver.last_actions)


def test_arrivals_with_less_time_are_no_retries_unless_some_were_rejected() -> None:
    # For a while three of four came with an eighth of the usual wait. Each looked like a retry whose
    # objective had long passed, and failed unsent beside idle backends.
    for away, low, high in ((0.0, 30, 30), (100.0, 0, 0)):
        driver = Driver(make_settings(RequestClass(80.0, 400.0)), *make_backends(4))
        sent = 0
        for number in range(40):
            driver.balancer.client_retries.expected_retries = away
            request = driver.send_request(timeout_ms=45 if number % 4 else 398)
            if request in driver.forwards:
                sent += number % 4 > 0
                driver.end_attempt(request, elapsed_ms=10.0)
        assert low <= sent <= high
