"""Tests of outcomes that give no information about a backend."""

from __future__ import annotations

import pytest

from dunecove.policy.models import AttemptResult
from tests.policy.helpers import NON_IDEMPOTENT
from tests.support import Driver, make_backends, make_settings


def test_timeout_below_the_expected_maximum_latency_does_not_affect_the_backend() -> None:
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(1))
    for _ in range(40):
        driver.end_attempt(driver.send_request(), elapsed_ms=50)
    backend = driver.balancer.backends.active[0]
    before = backend.limit, backend.payoff, backend.consecutive_failures
    driver.end_attempt(driver.send_request(), AttemptResult.TIMEOUT, elapsed_ms=20)
    assert (backend.limit, backend.payoff, backend.consecutive_failures) == before


@pytest.mark.parametrize("result", [AttemptResult.NO_LOCAL_RESOURCE, AttemptResult.BAD_REQUEST])
def test_result_not_caused_by_the_backend_does_not_affect_it(result: AttemptResult) -> None:
    # A lack of file descriptors at the proxy, or an invalid request, must not eject a healthy backend.
    driver = Driver(make_settings(), *make_backends(2))
    before = [
        (backend.payoff, backend.consecutive_failures, backend.limit)
        for backend in driver.balancer.backends.active
    ]
    for _ in range(6):
        driver.end_attempt(driver.send_request(), result, request_finished=True)
    assert [
        (backend.payoff, backend.consecutive_failures, backend.limit)
        for backend in driver.balancer.backends.active
    ] == before
