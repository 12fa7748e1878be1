"""Whether and how a request is retried."""

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


def test_a_withdrawn_attempt_ends_in_a_failure() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    assert actions_of_type(Fail, driver.end_attempt(driver.send_request(), AttemptResult.WITHDRAWN, 0.0))


@pytest.mark.parametrize("result", [AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT])
def test_non_idempotent_that_may_have_executed_is_never_retried_or_rejected(
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
def test_non_idempotent_that_never_executed_goes_to_another_backend(result: AttemptResult) -> None:
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(3))
    request = driver.send_request()
    again = actions_of_type(Forward, driver.end_attempt(request, result))
    assert len(again) == 1 and again[0].backend_id != driver.forwards[request][0]


def test_attempts_are_limited() -> None:
    driver = Driver(make_settings(max_attempts=2), *make_backends(4))
    request = driver.send_request()
    driver.end_attempt(request, AttemptResult.REJECTED)
    assert actions_of_type(Fail, driver.end_attempt(request, AttemptResult.REJECTED))


def test_retries_of_what_may_have_executed_are_budgeted() -> None:
    driver = Driver(make_settings(), *make_backends(40))
    resent = sum(
        len(actions_of_type(Forward, driver.end_attempt(driver.send_request(), AttemptResult.ERROR)))
        for _ in range(100)
    )
    assert resent <= 10 + 0.1 * 100 + 1


def test_a_late_attempt_is_neither_cancelled_nor_hedged() -> None:
    """Backends go on with cancelled work: a second attempt adds load where there is least capacity."""
    driver = Driver(make_settings(), *make_backends(2))
    request = driver.send_request()
    assert not actions_of_type(CancelAttempt, driver.run_ticks(275)) and len(driver.forwards[request]) == 1


def test_a_bad_request_is_not_retried() -> None:
    driver = Driver(make_settings(), *make_backends(2))
    request = driver.send_request()
    assert (
        actions_of_type(Fail, driver.end_attempt(request, AttemptResult.BAD_REQUEST))
        and len(driver.forwards[request]) == 1
    )


def test_a_request_that_found_no_connection_is_retried_whatever_its_class() -> None:
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(2))
    request = driver.send_request()
    driver.end_attempt(request, AttemptResult.NO_LOCAL_RESOURCE)
    assert len(driver.forwards[request]) == 2


@pytest.mark.parametrize("effect", list(Idempotency))
def test_a_short_lack_of_connections_does_not_use_up_the_attempts(effect: Idempotency) -> None:
    driver = Driver(
        make_settings(RequestClass(1000.0, 3000.0, effect, dedup_window_ms=1000.0), max_attempts=5),
        *make_backends(5),
    )
    request, begun = driver.send_request(timeout_ms=3000.0), driver.now
    tried = 0
    while driver.now < begun + 200.0:
        actions = driver.step()
        if len(driver.forwards[request]) > tried:
            tried += 1
            actions += driver.end_attempt(request, AttemptResult.NO_LOCAL_RESOURCE, elapsed_ms=0.1)
        actions += driver.tick()
        assert actions_of_type(Fail, actions) == []
    driver.run_ticks(500.0)
    assert len(driver.forwards[request]) == tried + 1
    assert actions_of_type(Fail, driver.end_attempt(request)) == []
