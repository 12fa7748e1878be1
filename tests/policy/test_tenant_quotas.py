"""Tests of tenant quotas and of the proxy's traffic share."""

from __future__ import annotations

import pytest

from dunecove.policy.events import RequestArrived
from tests.support import Driver, make_backends, make_settings


def test_proxy_with_a_large_traffic_share_does_not_treat_all_tenants_as_over_quota() -> None:
    settings = make_settings(
        tenant_quotas=(40.0, 10.0, 10.0, 10.0), over_quota_weight=0.05, proxy_count=4, zone_count=2
    )
    driver = Driver(settings, *make_backends(9))
    for second in range(12):  # half of all traffic; tenant 0 sends three times its share
        for slot in range(80):
            tenant = 0 if slot < 60 else 1 + slot % 3
            driver.step(RequestArrived(f"{second}.{slot}", 0, tenant, None, driver.now + 900))
            driver.tick(elapsed_ms=12.5)
    balancer, request_class = driver.balancer, settings.classes[0]
    assert balancer.admission.quotas.traffic_share > 0.4
    driver.now += 1000
    assert [balancer.admission.priority_level(driver.now, request_class, 1) for _ in range(4)] == [1] * 4
    levels = [balancer.admission.priority_level(driver.now, request_class, 0) for _ in range(60)]
    assert 10 < levels.count(1) < 40


def test_traffic_share_is_at_most_that_of_a_zone_when_all_tenants_are_over_quota() -> None:
    settings = make_settings(
        tenant_quotas=(10.0, 10.0, 10.0), over_quota_weight=0.05, proxy_count=4, zone_count=3
    )
    driver = Driver(settings, *make_backends(9))
    for count in range(800):
        driver.step(RequestArrived(f"{count}", 0, count % 3, None, driver.now + 900))
        driver.tick(elapsed_ms=10)
    assert driver.balancer.admission.quotas.traffic_share == pytest.approx(1 / 3)


def test_traffic_share_with_a_single_tenant_is_one_in_n() -> None:
    driver = Driver(
        make_settings(tenant_quotas=(10.0,), over_quota_weight=0.05, proxy_count=4), *make_backends(9)
    )
    for _ in range(200):
        driver.send_request()
        driver.tick()
    assert driver.balancer.admission.quotas.traffic_share == 0.25


def test_tenant_with_little_traffic_may_send_a_minimum_burst() -> None:
    driver = Driver(
        make_settings(tenant_quotas=(300.0,), over_quota_weight=0.1, proxy_count=300), *make_backends(9)
    )
    balancer = driver.balancer
    driver.now += 10_000
    levels = [
        balancer.admission.priority_level(driver.now, balancer.settings.classes[0], 0) for _ in range(8)
    ]
    assert levels == [1] * 5 + [4] * 3
