"""Updates of the endpoint list."""

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


def delta(backend_id: str, state: BackendState) -> BackendListUpdate:
    return BackendListUpdate(ListUpdateKind.DELTA, (BackendInfo(backend_id, state),))


@pytest.mark.parametrize("state", [BackendState.DRAINING, BackendState.REMOVED])
def test_draining_or_removed_backend_gets_no_requests(state: BackendState) -> None:
    driver = Driver(make_settings(), *make_backends(2))
    driver.step(delta("10.0.0.0:80", state))
    for _ in range(10):
        driver.end_attempt(driver.send_request())
    assert {i for backend_ids in driver.forwards.values() for i in backend_ids} == {"10.0.0.1:80"}


def test_snapshot_removes_backend_that_it_does_not_contain() -> None:
    driver = Driver(make_settings(), *make_backends(2))
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(make_backends(1))))
    assert [backend.id for backend in driver.balancer.backends.active] == ["10.0.0.0:80"]


def test_late_response_of_removed_backend_does_not_add_it_again() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    request_id = driver.send_request()
    driver.step(delta("10.0.0.0:80", BackendState.REMOVED))
    driver.end_attempt(request_id)
    driver.send_request()
    assert not actions_of_type(Forward, driver.last_actions)
