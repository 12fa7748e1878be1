"""For how long a request may wait."""

from __future__ import annotations

from dunecove.policy.actions import (
    Fail,
)
from dunecove.policy.settings import RequestClass
from tests.support import Driver, actions_of_type, make_backends, make_settings


def test_a_request_that_cannot_be_useful_is_failed_while_queued() -> None:
    driver = Driver(make_settings(proxy_count=4), *make_backends(1))
    driver.send_request()
    queued = driver.send_request()
    assert [f.request_id for f in actions_of_type(Fail, driver.run_ticks(325))] == [queued]


def test_a_request_never_sent_is_failed_before_half_its_wait() -> None:
    # Told later, its client has no time for another try, and nothing was ever done for it.
    driver = Driver(make_settings(RequestClass(5000.0, 9000.0), proxy_count=4), *make_backends(1))
    driver.send_request(timeout_ms=1000)
    queued = driver.send_request(timeout_ms=1000)
    assert not actions_of_type(Fail, driver.run_ticks(400))
    assert [f.request_id for f in actions_of_type(Fail, driver.run_ticks(75))] == [queued]


def test_a_late_response_is_waited_for_only_without_overload() -> None:
    spec = RequestClass(300.0, 1000.0, late_weight=0.3)
    driver = Driver(make_settings(spec, proxy_count=4), *make_backends(1))
    first, queued = driver.send_request(), driver.send_request()
    driver.balancer.queues[0].overload_ratio = lambda now: 0.0  # type: ignore[method-assign]
    assert not actions_of_type(Fail, driver.run_ticks(400))
    driver.balancer.queues[0].overload_ratio = lambda now: 2.0  # type: ignore[method-assign]
    assert [f.request_id for f in actions_of_type(Fail, driver.run_ticks(75))] == [queued]
    assert first in driver.forwards


def test_a_request_without_time_left_is_failed_at_once() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    request = driver.send_request(timeout_ms=0.0)
    assert [f.request_id for f in actions_of_type(Fail, driver.last_actions)] == [request]


def test_without_a_backend_a_request_is_failed_in_time() -> None:
    driver = Driver(make_settings())
    request = driver.send_request(timeout_ms=200)
    assert [f.request_id for f in actions_of_type(Fail, driver.run_ticks(175))] == [request]
