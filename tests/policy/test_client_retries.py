"""Tests of the recognition of clients' retries by their remaining time."""

from __future__ import annotations

from dunecove.policy.actions import (
    Fail,
    Forward,
)
from dunecove.policy.settings import RequestClass
from tests.support import Driver, actions_of_type, make_backends, make_settings


def test_retry_past_the_objective_of_its_original_request_is_sent_only_if_late_responses_have_value() -> None:
    for late_weight, sent in ((0.0, False), (0.3, True)):
        driver = Driver(
            make_settings(RequestClass(300.0, 1000.0, late_weight=late_weight)), *make_backends(2)
        )
        driver.end_attempt(driver.send_request(timeout_ms=1000))
        driver.send_request(timeout_ms=690)  # its client has already waited for 310 ms
        assert bool(actions_of_type(Forward, driver.last_actions)) is sent
        assert bool(actions_of_type(Fail, driver.last_actions)) is not sent
        driver.send_request(timeout_ms=900)
        assert actions_of_type(Forward, driver.last_actions)


def test_requests_with_less_time_are_treated_as_retries_only_if_retries_are_expected() -> None:
    # Guards against treating requests with a short deadline as retries past their objective: three of four
    # had an eighth of the usual time, and failed without an attempt although backends were idle.
    for expected_retries, min_sent, max_sent in ((0.0, 30, 30), (100.0, 0, 0)):
        driver = Driver(make_settings(RequestClass(80.0, 400.0)), *make_backends(4))
        sent = 0
        for number in range(40):
            driver.balancer.client_retries.expected_retries = expected_retries
            request_id = driver.send_request(timeout_ms=45 if number % 4 else 398)
            if request_id in driver.forwards:
                sent += number % 4 > 0
                driver.end_attempt(request_id, elapsed_ms=10.0)
        assert min_sent <= sent <= max_sent
