"""Tests of keyed retries, which are pinned to their deduplication scope."""

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
    return [BackendInfo(f"10.0.{cell}.{i}:80", cell=cell, zone=cell) for cell in range(3) for i in range(2)]


@pytest.mark.parametrize("scope", [DeduplicationScope.CELL, DeduplicationScope.ZONE])
def test_keyed_retry_stays_in_its_deduplication_scope(scope: DeduplicationScope) -> None:
    request_class = RequestClass(
        300.0, 1000.0, idempotency=Idempotency.KEYED, dedup_scope=scope, dedup_window_ms=200.0
    )
    for seed in range(10):
        driver = Driver(make_settings(request_class), *three_cells(), seed=seed)
        request_id = driver.send_request()
        assert len(actions_of_type(Forward, driver.end_attempt(request_id, AttemptResult.ERROR))) == 1
        first, second = driver.forwards[request_id]
        assert first.split(".")[2] == second.split(".")[2] and first != second


def test_keyed_request_fails_after_its_deduplication_window() -> None:
    driver = Driver(make_settings(KEYED), *three_cells())
    actions = driver.end_attempt(driver.send_request(), AttemptResult.ERROR, elapsed_ms=201)
    assert actions_of_type(Fail, actions) and not actions_of_type(Forward, actions)


@pytest.mark.parametrize(
    ("idempotency", "write_timeout_ms"), [(Idempotency.KEYED, 200.0 - 20.0), (Idempotency.IDEMPOTENT, inf)]
)
def test_write_timeout_of_a_keyed_retry_is_the_rest_of_its_window(
    idempotency: Idempotency, write_timeout_ms: float
) -> None:
    """Connecting may take longer than the rest of the window."""
    driver = Driver(make_settings(replace(KEYED, idempotency=idempotency)), *three_cells())
    request_id = driver.send_request()
    (first,) = actions_of_type(Forward, driver.last_actions)
    (retry,) = actions_of_type(Forward, driver.end_attempt(request_id, AttemptResult.ERROR, elapsed_ms=20.0))
    assert (first.write_timeout_ms, retry.write_timeout_ms) == (inf, write_timeout_ms)


def test_keyed_retry_without_capacity_in_its_scope_fails() -> None:
    driver = Driver(make_settings(KEYED), *three_cells())
    request_id = driver.send_request()
    cell = driver.forwards[request_id][0].split(".")[2]
    for backend in driver.balancer.backends.active:
        if str(backend.cell) == cell:
            backend.ejected_until = driver.now + 10_000
    driver.end_attempt(request_id, AttemptResult.ERROR)
    actions = driver.run_ticks(250)
    assert actions_of_type(Fail, actions) and not actions_of_type(Forward, actions)


def test_keyed_retry_waits_for_capacity_in_its_scope_until_its_window_ends() -> None:
    # Guards against an immediate failure although a backend in the scope soon has capacity again.
    for ejected_ms, sent in ((60.0, True), (190.0, False)):
        driver = Driver(make_settings(KEYED), *three_cells())
        request_id = driver.send_request()
        cell = driver.forwards[request_id][0].split(".")[2]
        for backend in driver.balancer.backends.active:
            if str(backend.cell) == cell:
                backend.ejected_until = driver.now + ejected_ms
        driver.end_attempt(request_id, AttemptResult.ERROR)
        assert len(driver.forwards[request_id]) == 1
        actions = driver.run_ticks(250)
        assert (
            bool(actions_of_type(Forward, actions)) is sent
            and bool(actions_of_type(Fail, actions)) is not sent
        )
        assert {backend_id.split(".")[2] for backend_id in driver.forwards[request_id]} == {cell}
        assert not driver.balancer.pinned_retries.waiting


def test_keyed_retry_with_scope_all_is_not_sent_after_its_window() -> None:
    request_class = RequestClass(
        300.0,
        1000.0,
        idempotency=Idempotency.KEYED,
        dedup_scope=DeduplicationScope.ALL,
        dedup_window_ms=100.0,
    )
    driver = Driver(make_settings(request_class, proxy_count=4), *make_backends(1))
    request_id = driver.send_request()
    driver.balancer.backends.active[0].ejected_until = driver.now + 150
    driver.end_attempt(request_id, AttemptResult.ERROR)
    assert not actions_of_type(Forward, driver.run_ticks(250))


def test_keyed_retry_goes_to_the_cell_of_its_first_attempt_after_the_backend_has_moved() -> None:
    request_class = RequestClass(
        300.0, 900.0, Idempotency.KEYED, DeduplicationScope.CELL, dedup_window_ms=800.0
    )
    first, second = (BackendInfo(f"10.0.0.{i}:80", cell=i) for i in range(2))
    driver = Driver(make_settings(request_class), first)
    request_id = driver.send_request()
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, (first._replace(cell=1), second)))
    driver.end_attempt(request_id, AttemptResult.ERROR)
    driver.run_ticks(100)
    # The attempt's cell has no backend any more, and cell 1 has never received the key.
    assert driver.forwards[request_id] == [first.backend_id]
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, (second._replace(cell=0),)))
    assert driver.forwards[request_id] == [first.backend_id, second.backend_id]
