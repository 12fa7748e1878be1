"""Tests of whether and how a request is retried."""

from __future__ import annotations

import pytest

from dunecove.policy.actions import (
    CancelAttempt,
    Fail,
    Forward,
    Reject,
)
from dunecove.policy.models import AttemptResult, Idempotency
from dunecove.policy.settings import RequestClass
from tests.policy.helpers import NON_IDEMPOTENT
from tests.support import Driver, actions_of_type, make_backends, make_settings


def test_withdrawn_attempt_fails_the_request() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    assert actions_of_type(Fail, driver.end_attempt(driver.send_request(), AttemptResult.WITHDRAWN, 0.0))


@pytest.mark.parametrize("result", [AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT])
def test_non_idempotent_request_that_may_have_executed_fails_without_retry_or_rejection(
    result: AttemptResult,
) -> None:
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(3))
    actions = driver.end_attempt(driver.send_request(), result)
    assert (
        actions_of_type(Fail, actions)
        and not actions_of_type(Forward, actions)
        and not actions_of_type(Reject, actions)
    )


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED])
def test_non_idempotent_request_that_never_executed_is_retried_at_another_backend(
    result: AttemptResult,
) -> None:
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(3))
    request_id = driver.send_request()
    retries = actions_of_type(Forward, driver.end_attempt(request_id, result))
    assert len(retries) == 1 and retries[0].backend_id != driver.forwards[request_id][0]


def test_request_fails_after_its_maximum_number_of_attempts() -> None:
    driver = Driver(make_settings(max_attempts=2), *make_backends(4))
    request_id = driver.send_request()
    driver.end_attempt(request_id, AttemptResult.REJECTED)
    assert actions_of_type(Fail, driver.end_attempt(request_id, AttemptResult.REJECTED))


def test_retry_budget_limits_retries_of_requests_that_may_have_executed() -> None:
    driver = Driver(make_settings(), *make_backends(40))
    retry_count = sum(
        len(actions_of_type(Forward, driver.end_attempt(driver.send_request(), AttemptResult.ERROR)))
        for _ in range(100)
    )
    assert retry_count <= 10 + 0.1 * 100 + 1


def test_slow_attempt_is_neither_cancelled_nor_hedged() -> None:
    """Backends may continue cancelled work, so a second attempt would add load where capacity is lowest."""
    driver = Driver(make_settings(), *make_backends(2))
    request_id = driver.send_request()
    assert not actions_of_type(CancelAttempt, driver.run_ticks(275)) and len(driver.forwards[request_id]) == 1


def test_bad_request_is_not_retried() -> None:
    driver = Driver(make_settings(), *make_backends(2))
    request_id = driver.send_request()
    assert (
        actions_of_type(Fail, driver.end_attempt(request_id, AttemptResult.BAD_REQUEST))
        and len(driver.forwards[request_id]) == 1
    )


def test_non_idempotent_request_is_retried_after_a_local_failure() -> None:
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(2))
    request_id = driver.send_request()
    driver.end_attempt(request_id, AttemptResult.NO_LOCAL_RESOURCE)
    assert len(driver.forwards[request_id]) == 2


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_brief_series_of_local_failures_does_not_exhaust_the_attempts(idempotency: Idempotency) -> None:
    driver = Driver(
        make_settings(RequestClass(1000.0, 3000.0, idempotency, dedup_window_ms=1000.0), max_attempts=5),
        *make_backends(5),
    )
    request_id, started_at = driver.send_request(timeout_ms=3000.0), driver.now
    attempt_count = 0
    while driver.now < started_at + 200.0:
        actions = driver.step()
        if len(driver.forwards[request_id]) > attempt_count:
            attempt_count += 1
            actions += driver.end_attempt(request_id, AttemptResult.NO_LOCAL_RESOURCE, elapsed_ms=0.1)
        actions += driver.tick()
        assert actions_of_type(Fail, actions) == []
    driver.run_ticks(500.0)
    assert len(driver.forwards[request_id]) == attempt_count + 1
    assert actions_of_type(Fail, driver.end_attempt(request_id)) == []
