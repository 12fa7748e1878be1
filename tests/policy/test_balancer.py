"""Tests of the balancer as a whole, and of how requests end."""

from __future__ import annotations

import gc
from weakref import ref

import pytest

from dunecove.policy.actions import (
    CancelAttempt,
    Fail,
    Forward,
)
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    ResponseStarted,
)
from dunecove.policy.models import AttemptResult
from dunecove.policy.settings import RequestClass, Settings
from tests.policy.helpers import NON_IDEMPOTENT
from tests.support import Driver, actions_of_type, make_backends, make_settings


def test_same_events_and_seed_choose_the_same_backends() -> None:
    runs = []
    for _ in range(2):
        driver = Driver(make_settings(), *make_backends(5), seed=7)
        runs.append(
            [driver.end_attempt(driver.send_request()) and driver.forwards[f"r{i}"] for i in range(50)]
        )
    assert runs[0] == runs[1]


def test_outcome_of_an_unknown_request_is_ignored() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    request_id = driver.send_request()
    driver.end_attempt(request_id)
    assert driver.step(AttemptEnded(request_id, 0, AttemptResult.OK, 1.0, True)) == []
    assert driver.step(AttemptEnded("unknown", 3, AttemptResult.OK, 1.0, True)) == []


@pytest.mark.parametrize(
    "fields",
    [
        {"classes": ()},
        {"classes": (RequestClass(-1.0, 100.0),)},
        {"classes": (RequestClass(1.0, 100.0, priority_weight=-1.0),)},
        {"classes": (RequestClass(1.0, 100.0, priority_weight=0.0),)},
        {"classes": (RequestClass(1.0, 100.0, idempotency="odd"),)},  # type: ignore[arg-type]
        {"classes": (RequestClass(1.0, 100.0, dedup_scope="odd"),)},  # type: ignore[arg-type]
        {"classes": (RequestClass(1.0, float("nan")),)},
    ],
)
def test_invalid_request_class_is_named_in_the_error(fields: dict[str, object]) -> None:
    with pytest.raises(
        ValueError,
        match=r"^(class 0: (latency_objective|deadline|priority_weight|idempotency|dedup_scope)"
        r"|classes|priority_weight)",
    ):
        Balancer(Settings(**fields), 1)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (field, 0)
        for field in (
            "proxy_count",
            "max_attempts",
            "zone_count",
            "step_interval_ms",
            "max_poll_interval_ms",
            "slow_start_window_ms",
        )
    ]
    + [
        ("tenant_quotas", (1.0, -1.0)),
        ("slow_start_ms", -1.0),
        ("slow_start_overload_factor", float("inf")),
        ("proxy_index", -1),
    ],
)
def test_invalid_setting_is_named_in_the_error(name: str, value: object) -> None:
    with pytest.raises(ValueError, match=f"^{name} must"):
        Balancer(make_settings(**{name: value}), 1)


def test_request_fails_in_the_same_step_as_its_timeout() -> None:
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(1))
    request_id = driver.send_request()
    assert [
        fail.request_id
        for fail in actions_of_type(Fail, driver.end_attempt(request_id, AttemptResult.TIMEOUT, 299.0))
    ] == [request_id]


def test_client_disconnect_in_the_same_batch_as_the_response_is_ignored() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    request_id = driver.send_request()
    actions = driver.step(
        AttemptEnded(request_id, 0, AttemptResult.OK, 9.0, True), ClientDisconnected(request_id)
    )
    assert not actions_of_type(Fail, actions) and not actions_of_type(CancelAttempt, actions)


def test_queued_request_of_a_disconnected_client_is_not_forwarded() -> None:
    driver = Driver(make_settings(proxy_count=4), *make_backends(1))
    first, queued = driver.send_request(), driver.send_request()
    assert not actions_of_type(
        Forward, driver.step(ClientDisconnected(queued), AttemptEnded(first, 0, AttemptResult.OK, 5.0, True))
    )


def test_attempts_of_a_disconnected_client_are_cancelled_if_allowed() -> None:
    for may_cancel in (True, False):
        driver = Driver(make_settings(may_cancel=may_cancel), *make_backends(1))
        request_id = driver.send_request()
        assert bool(actions_of_type(CancelAttempt, driver.step(ClientDisconnected(request_id)))) is may_cancel


def test_request_with_a_started_response_is_not_cancelled_or_failed() -> None:
    driver = Driver(make_settings(RequestClass(100.0, 1000.0, streams_response=True)), *make_backends(2))
    request_id = driver.send_request()
    driver.step(ResponseStarted(request_id, 0, 5.0))
    assert not actions_of_type(CancelAttempt, driver.run_ticks(500)) and not actions_of_type(
        Fail, driver.run_ticks(1000)
    )


def test_timed_out_attempt_is_no_longer_in_flight() -> None:
    # The backend stops the work when its connection closes: counting it any longer would waste the limit.
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(1))
    driver.end_attempt(driver.send_request(), AttemptResult.TIMEOUT, elapsed_ms=200)
    assert driver.balancer.backends.active[0].in_flight == 0


def test_finished_request_is_not_forwarded() -> None:
    driver = Driver(make_settings(), *make_backends(2))
    request_id = driver.send_request()
    driver.end_attempt(request_id, AttemptResult.ERROR)
    driver.end_attempt(request_id, AttemptResult.OK)
    assert not actions_of_type(Forward, driver.run_ticks(2000))
    assert driver.balancer.requests == {}


def test_replaced_balancer_is_freed_without_the_garbage_collector() -> None:
    # The program excludes startup objects from garbage collection, so a reference cycle would leak them.
    driver = Driver(make_settings(proxy_count=300), *make_backends(40))
    driver.end_attempt(driver.send_request())
    driver.send_request()
    replaced = ref(driver.balancer)
    gc.disable()
    try:
        driver.balancer = Balancer(make_settings(), 1)
        assert replaced() is None
    finally:
        gc.enable()
