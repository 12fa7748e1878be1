"""Tests of how long a request may wait in its queue."""

from __future__ import annotations

import weakref

from dunecove.policy.actions import Fail
from dunecove.policy.events import ClientDisconnected
from dunecove.policy.request import Request
from dunecove.policy.settings import RequestClass
from tests.support import Driver, actions_of_type, make_backends, make_settings


def test_queued_request_that_cannot_meet_its_objective_fails() -> None:
    driver = Driver(make_settings(proxy_count=4), *make_backends(1))
    driver.send_request()
    queued = driver.send_request()
    assert [fail.request_id for fail in actions_of_type(Fail, driver.run_ticks(325))] == [queued]


def test_request_without_attempts_fails_before_half_its_time_has_passed() -> None:
    # If the request failed later, its client would have no time left for a retry.
    driver = Driver(make_settings(RequestClass(5000.0, 9000.0), proxy_count=4), *make_backends(1))
    driver.send_request(timeout_ms=1000)
    queued = driver.send_request(timeout_ms=1000)
    assert not actions_of_type(Fail, driver.run_ticks(400))
    assert [fail.request_id for fail in actions_of_type(Fail, driver.run_ticks(75))] == [queued]


def test_request_past_its_objective_waits_only_without_overload() -> None:
    request_class = RequestClass(300.0, 1000.0, late_weight=0.3)
    driver = Driver(make_settings(request_class, proxy_count=4), *make_backends(1))
    first, queued = driver.send_request(), driver.send_request()
    driver.balancer.queues[0].overload_ratio = lambda now: 0.0  # type: ignore[method-assign]
    assert not actions_of_type(Fail, driver.run_ticks(400))
    driver.balancer.queues[0].overload_ratio = lambda now: 2.0  # type: ignore[method-assign]
    assert [fail.request_id for fail in actions_of_type(Fail, driver.run_ticks(75))] == [queued]
    assert first in driver.forwards


def test_request_at_its_deadline_fails_immediately() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    request_id = driver.send_request(timeout_ms=0.0)
    assert [fail.request_id for fail in actions_of_type(Fail, driver.last_actions)] == [request_id]


def test_request_without_backends_fails_before_its_deadline() -> None:
    driver = Driver(make_settings())
    request_id = driver.send_request(timeout_ms=200)
    assert [fail.request_id for fail in actions_of_type(Fail, driver.run_ticks(175))] == [request_id]


def test_ended_requests_do_not_stay_in_memory_until_their_deadlines() -> None:
    """Failure: each request kept its memory for its whole objective, also after its response."""
    settings = make_settings(RequestClass(20_000.0, 30_000.0))
    served, queued = Driver(settings, *make_backends(2)), Driver(settings)
    waiting = queued.send_request(timeout_ms=30_000)  # at the head of its queue, for lack of a backend
    references: list[weakref.ref[Request]] = []
    for _ in range(5000):
        request_id = served.send_request(timeout_ms=30_000)
        references.append(weakref.ref(served.balancer.requests[request_id]))
        served.end_attempt(request_id, elapsed_ms=1.0)
        request_id = queued.send_request(timeout_ms=30_000)
        references.append(weakref.ref(queued.balancer.requests[request_id]))
        queued.step(ClientDisconnected(request_id))
    assert sum(reference() is not None for reference in references) < 2000
    assert list(queued.balancer.requests) == [waiting] and not served.balancer.requests
