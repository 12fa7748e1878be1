"""What an update of the endpoint list changes."""

from __future__ import annotations

import pytest

from dunecove.policy.actions import (
    Forward,
)
from dunecove.policy.events import (
    BackendListUpdate,
    ListUpdateKind,
)
from dunecove.policy.models import BackendInfo, BackendState
from tests.support import Driver, actions_of_type, make_backends, make_settings


def delta(name: str, state: BackendState) -> BackendListUpdate:
    return BackendListUpdate(ListUpdateKind.DELTA, (BackendInfo(name, state),))


@pytest.mark.parametrize("state", [BackendState.DRAINING, BackendState.REMOVED])
def test_nothing_is_forwarded_to_a_backend_that_drains_or_is_removed(state: BackendState) -> None:
    driver = Driver(make_settings(), *make_backends(2))
    driver.step(delta("10.0.0.0:80", state))
    for _ in range(10):
        driver.end_attempt(driver.send_request())
    assert {s for sends in driver.forwards.values() for s in sends} == {"10.0.0.1:80"}


def test_a_snapshot_without_a_backend_removes_it() -> None:
    driver = Driver(make_settings(), *make_backends(2))
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(make_backends(1))))
    assert [s.id for s in driver.balancer.backends.active] == ["10.0.0.0:80"]


def test_a_removed_backend_that_responds_late_does_no_harm() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    request = driver.send_request()
    driver.step(delta("10.0.0.0:80", BackendState.REMOVED))
    driver.end_attempt(request)
    driver.send_request()
    assert not actions_of_type(Forward, driver.last_actions)
