"""Outcomes that say nothing of a backend."""

from __future__ import annotations

import pytest

from dunecove.policy.models import AttemptResult
from tests.policy.helpers import NON_IDEMPOTENT
from tests.support import Driver, make_backends, make_settings


def test_a_timeout_shorter_than_usual_says_nothing_of_the_backend() -> None:
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(1))
    for _ in range(40):
        driver.end_attempt(driver.send_request(), elapsed_ms=50)
    backend = driver.balancer.backends.active[0]
    before = backend.limit, backend.payoff, backend.consecutive_failures
    driver.end_attempt(driver.send_request(), AttemptResult.TIMEOUT, elapsed_ms=20)
    assert (backend.limit, backend.payoff, backend.consecutive_failures) == before


@pytest.mark.parametrize("result", [AttemptResult.NO_LOCAL_RESOURCE, AttemptResult.BAD_REQUEST])
def test_what_is_not_the_backends_doing_says_nothing_of_it(result: AttemptResult) -> None:
    # Our own lack of descriptors, or a request at fault itself, must not take a healthy backend out.
    driver = Driver(make_settings(), *make_backends(2))
    before = [(s.payoff, s.consecutive_failures, s.limit) for s in driver.balancer.backends.active]
    for _ in range(6):
        driver.end_attempt(driver.send_request(), result, request_finished=True)
    assert [(s.payoff, s.consecutive_failures, s.limit) for s in driver.balancer.backends.active] == before
