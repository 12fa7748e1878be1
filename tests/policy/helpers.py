"""Drivers and request classes that several tests of the policy share."""

from __future__ import annotations

from typing import Any

from dunecove.policy.events import (
    RequestArrived,
)
from dunecove.policy.models import AttemptResult, BackendInfo, Idempotency
from dunecove.policy.settings import RequestClass
from tests.support import Driver, fleet, settings

SPARSE = {"proxy_count": 300, "zone_count": 2}
IDEMPOTENT = RequestClass(300.0, 1000.0)
NON_IDEMPOTENT = RequestClass(300.0, 1000.0, idempotency=Idempotency.NON_IDEMPOTENT)


def stuck_driver(*classes: RequestClass, **more: Any) -> Driver:
    """Return a driver with a request at its only backend and another one queued that can wait for long."""
    driver = Driver(settings(*classes, proxy_count=4, **more), *fleet(1))
    driver.arrive(0)
    driver.arrive(0, wait=100_000)
    return driver


def two_zones(n: int) -> list[BackendInfo]:
    return [BackendInfo(f"10.0.{i % 2}.{i}:80", zone=i % 2) for i in range(n)]


def arrive_with_hint(driver: Driver, work: float, cls: int = 0) -> str:
    name = f"w{next(driver.ids)}"
    driver.last = driver.step(RequestArrived(name, cls, 0, None, driver.now + 2000.0, False, work))
    return name


def run_responses(driver: Driver, n: int, work: float, work_rate: float) -> None:
    for _ in range(n):
        driver.end(arrive_with_hint(driver, work), after=40.0, delay=work * work_rate)
        driver.tick(after=60.0)


def run_timeouts(driver: Driver, n: int, work: float) -> None:
    """Let requests time out at backends that have capacity, so that nothing waits at the proxy."""
    for _ in range(n):
        request = arrive_with_hint(driver, work)
        if request in driver.forwards:
            driver.end(request, AttemptResult.TIMEOUT, after=300.0, done=True)
        driver.run_ticks(2000)
