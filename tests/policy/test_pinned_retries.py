"""Keyed retries that only their deduplication scope may get."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest

from dunecove.policy.actions import (
    Fail,
    Forward,
)
from dunecove.policy.events import (
    BackendListUpdate,
    ListUpdateKind,
)
from dunecove.policy.models import AttemptResult, BackendInfo, DeduplicationScope, Idempotency
from dunecove.policy.settings import RequestClass
from tests.support import Driver, actions_of_type, make_backends, make_settings

KEYED = RequestClass(
    300.0, 1000.0, idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.CELL, dedup_window_ms=200.0
)


def three_cells() -> list[BackendInfo]:
    return [BackendInfo(f"10.0.{c}.{i}:80", cell=c, zone=c) for c in range(3) for i in range(2)]


@pytest.mark.parametrize("scope", [DeduplicationScope.CELL, DeduplicationScope.ZONE])
def test_a_keyed_retry_stays_in_its_deduplication_scope(scope: DeduplicationScope) -> None:
    spec = RequestClass(
        300.0, 1000.0, idempotency=Idempotency.KEYED, dedup_scope=scope, dedup_window_ms=200.0
    )
    for seed in range(10):
        driver = Driver(make_settings(spec), *three_cells(), seed=seed)
        request = driver.send_request()
        assert len(actions_of_type(Forward, driver.end_attempt(request, AttemptResult.ERROR))) == 1
        one, two = driver.forwards[request]
        assert one.split(".")[2] == two.split(".")[2] and one != two


def test_a_keyed_retry_ends_with_the_deduplication_window() -> None:
    driver = Driver(make_settings(KEYED), *three_cells())
    actions = driver.end_attempt(driver.send_request(), AttemptResult.ERROR, elapsed_ms=201)
    assert actions_of_type(Fail, actions) and not actions_of_type(Forward, actions)


@pytest.mark.parametrize(
    ("effect", "within"), [(Idempotency.KEYED, 200.0 - 20.0), (Idempotency.IDEMPOTENT, inf)]
)
def test_a_keyed_retry_is_written_within_its_window_or_not_at_all(effect: Idempotency, within: float) -> None:
    """Its connection may take longer to come up than is left of the window."""
    driver = Driver(make_settings(replace(KEYED, idempotency=effect)), *three_cells())
    request = driver.send_request()
    (first,) = actions_of_type(Forward, driver.last_actions)
    (again,) = actions_of_type(Forward, driver.end_attempt(request, AttemptResult.ERROR, elapsed_ms=20.0))
    assert (first.write_timeout_ms, again.write_timeout_ms) == (inf, within)


def test_without_capacity_in_its_scope_a_keyed_retry_fails_rather_than_leave_it() -> None:
    driver = Driver(make_settings(KEYED), *three_cells())
    request = driver.send_request()
    home = driver.forwards[request][0].split(".")[2]
    for backend in driver.balancer.backends.active:
        if str(backend.cell) == home:
            backend.ejected_until = driver.now + 10_000
    driver.end_attempt(request, AttemptResult.ERROR)
    actions = driver.run_ticks(250)
    assert actions_of_type(Fail, actions) and not actions_of_type(Forward, actions)


def test_a_keyed_retry_waits_for_capacity_in_its_scope_within_its_window() -> None:
    # Now or never, it failed although a backend of its scope had capacity a moment later.
    for ejected_ms, sent in ((60.0, True), (190.0, False)):
        driver = Driver(make_settings(KEYED), *three_cells())
        request = driver.send_request()
        home = driver.forwards[request][0].split(".")[2]
        for backend in driver.balancer.backends.active:
            if str(backend.cell) == home:
                backend.ejected_until = driver.now + ejected_ms
        driver.end_attempt(request, AttemptResult.ERROR)
        assert len(driver.forwards[request]) == 1
        actions = driver.run_ticks(250)
        assert (
            bool(actions_of_type(Forward, actions)) is sent
            and bool(actions_of_type(Fail, actions)) is not sent
        )
        assert {name.split(".")[2] for name in driver.forwards[request]} == {home}
        assert not driver.balancer.pinned_retries.waiting


def test_a_keyed_retry_for_any_backend_does_not_outlive_its_window() -> None:
    spec = RequestClass(
        300.0,
        1000.0,
        idempotency=Idempotency.KEYED,
        dedup_scope=DeduplicationScope.ALL,
        dedup_window_ms=100.0,
    )
    driver = Driver(make_settings(spec, proxy_count=4), *make_backends(1))
    request = driver.send_request()
    driver.balancer.backends.active[0].ejected_until = driver.now + 150
    driver.end_attempt(request, AttemptResult.ERROR)
    assert not actions_of_type(Forward, driver.run_ticks(250))


def test_a_keyed_retry_goes_to_the_cell_of_its_first_attempt_though_the_backend_moves() -> None:
    keyed = RequestClass(300.0, 900.0, Idempotency.KEYED, DeduplicationScope.CELL, dedup_window_ms=800.0)
    first, second = (BackendInfo(f"10.0.0.{i}:80", cell=i) for i in range(2))
    driver = Driver(make_settings(keyed), first)
    request = driver.send_request()
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, (first._replace(cell=1), second)))
    driver.end_attempt(request, AttemptResult.ERROR)
    driver.run_ticks(100)
    assert driver.forwards[request] == [
        first.backend_id
    ]  # its cell has no backend left; cell 1 never saw the key
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, (second._replace(cell=0),)))
    assert driver.forwards[request] == [first.backend_id, second.backend_id]
