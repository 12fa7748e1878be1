"""Drivers and request classes shared by the tests of the policy."""

from __future__ import annotations

from typing import Any

from dunecove.policy.events import RequestArrived
from dunecove.policy.models import AttemptResult, BackendInfo, Idempotency
from dunecove.policy.settings import RequestClass
from tests.support import Driver, make_backends, make_settings

SPARSE_TIER = {"proxy_count": 300, "zone_count": 2}
IDEMPOTENT = RequestClass(300.0, 1000.0)
NON_IDEMPOTENT = RequestClass(300.0, 1000.0, idempotency=Idempotency.NON_IDEMPOTENT)


def driver_with_queued_request(*classes: RequestClass, **overrides: Any) -> Driver:
    """Return a driver with one request in flight at its only backend and one queued with a long deadline."""
    driver = Driver(make_settings(*classes, proxy_count=4, **overrides), *make_backends(1))
    driver.send_request(0)
    driver.send_request(0, timeout_ms=100_000)
    return driver


def make_backends_in_two_zones(count: int) -> list[BackendInfo]:
    return [BackendInfo(f"10.0.{i % 2}.{i}:80", zone=i % 2) for i in range(count)]


def send_request_with_hint(driver: Driver, work_hint_ms: float, class_index: int = 0) -> str:
    request_id = f"w{next(driver.request_ids)}"
    driver.last_actions = driver.step(
        RequestArrived(request_id, class_index, 0, None, driver.now + 2000.0, False, work_hint_ms)
    )
    return request_id


def run_successful_requests(driver: Driver, count: int, work_hint_ms: float, work_rate: float) -> None:
    for _ in range(count):
        driver.end_attempt(
            send_request_with_hint(driver, work_hint_ms), elapsed_ms=40.0, latency_ms=work_hint_ms * work_rate
        )
        driver.tick(elapsed_ms=60.0)


def run_timed_out_requests(driver: Driver, count: int, work_hint_ms: float) -> None:
    """Let requests time out at backends that have capacity, so that no request is queued."""
    for _ in range(count):
        request_id = send_request_with_hint(driver, work_hint_ms)
        if request_id in driver.forwards:
            driver.end_attempt(request_id, AttemptResult.TIMEOUT, elapsed_ms=300.0, request_finished=True)
        driver.run_ticks(2000)
