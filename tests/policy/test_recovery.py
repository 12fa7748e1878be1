"""Tests of recovery after a fault: of limits, payoffs, ejections and overload states."""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush

import pytest

from dunecove.policy.actions import Action, Forward
from dunecove.policy.events import AttemptEnded, BackendListUpdate, ListUpdateKind
from dunecove.policy.models import AttemptResult, BackendState
from dunecove.policy.settings import RequestClass
from tests.support import Driver, actions_of_type, make_backends, make_settings

RECOVERY_MS = 12_000  # the longest ejection (8 s plus 25% jitter), and its trial request
STEP_MS = 10  # one request arrives in each step
NORMAL_LATENCY_MS = 20.0


class Script:
    """Sends one request per step, and ends each attempt with the outcome set for its backend."""

    def __init__(self, backends: int) -> None:
        classes = (
            RequestClass(300.0, 1000.0, priority_weight=1.0),
            RequestClass(300.0, 1000.0, priority_weight=0.1),
        )
        self.driver = Driver(make_settings(*classes), *make_backends(backends))
        self.ends: list[tuple[float, str, int, AttemptResult, float]] = []
        self.attempts: Counter[str] = Counter()
        self.forwards: Counter[str] = Counter()

    def run(self, duration_ms: int, outcomes: dict[str, tuple[AttemptResult, float]]) -> None:
        """Run for `duration_ms` and count this run's forwards by backend.

        `outcomes` are the result and latency by backend; other backends respond normally.
        """
        self.forwards.clear()
        driver = self.driver
        for step in range(duration_ms // STEP_MS):
            self.schedule_ends(
                driver.tick(STEP_MS) if step % 3 == 0 else driver.step(elapsed_ms=STEP_MS), outcomes
            )
            while self.ends and self.ends[0][0] <= driver.now:
                _, request_id, attempt, result, latency_ms = heappop(self.ends)
                self.schedule_ends(
                    driver.step(
                        AttemptEnded(request_id, attempt, result, latency_ms, result is AttemptResult.OK)
                    ),
                    outcomes,
                )
            driver.send_request(step % 2)
            self.schedule_ends(driver.last_actions, outcomes)

    def schedule_ends(self, actions: list[Action], outcomes: dict[str, tuple[AttemptResult, float]]) -> None:
        now = self.driver.now
        for forward in actions_of_type(Forward, actions):
            self.forwards[forward.backend_id] += 1
            result, latency_ms = outcomes.get(forward.backend_id, (AttemptResult.OK, NORMAL_LATENCY_MS))
            if latency_ms > forward.timeout_ms:
                result, latency_ms = AttemptResult.TIMEOUT, forward.timeout_ms
            heappush(
                self.ends,
                (now + latency_ms, forward.request_id, self.attempts[forward.request_id], result, latency_ms),
            )
            self.attempts[forward.request_id] += 1


def all_of(backends: int, result: AttemptResult, latency_ms: float) -> dict[str, tuple[AttemptResult, float]]:
    return {backend.backend_id: (result, latency_ms) for backend in make_backends(backends)}


FAULTS = {
    "all slow": all_of(4, AttemptResult.OK, 290.0),
    "all late": all_of(4, AttemptResult.OK, 600.0),
    "all reject": all_of(4, AttemptResult.REJECTED, 2.0),
    "all fail": all_of(4, AttemptResult.ERROR, 5.0),
    "all hang": all_of(4, AttemptResult.OK, 1e6),
    "one refuses connections": {"10.0.0.0:80": (AttemptResult.CONNECT_FAILED, 1.0)},
    "one hangs": {"10.0.0.0:80": (AttemptResult.OK, 1e6)},
    "one slow": {"10.0.0.0:80": (AttemptResult.OK, 250.0)},
    "one fails quickly": {"10.0.0.0:80": (AttemptResult.ERROR, 1.0)},
}


@pytest.mark.parametrize("name", FAULTS)
def test_state_recovers_after_a_fault(name: str) -> None:
    script = Script(4)
    script.run(5_000, {})
    script.run(8_000, FAULTS[name])
    script.run(RECOVERY_MS, {})
    script.run(2_000, {})
    balancer = script.driver.balancer
    assert [queue.overload_ratio(script.driver.now) for queue in balancer.queues] == [0.0]
    # Level 4 is readmitted, and no request is queued.
    assert sum(script.forwards.values()) >= 0.98 * 2_000 / STEP_MS
    fair_share = sum(script.forwards.values()) / 4
    for backend in balancer.backends.active:
        assert backend.consecutive_failures == 0 and backend.ejected_until <= script.driver.now
        assert backend.payoff > 0.9, backend.id
        # Each backend could take all traffic at the normal latency, and gets over half its fair share of it.
        assert backend.limit >= 2 and script.forwards[backend.id] > fair_share / 2, (
            backend.id,
            backend.limit,
            script.forwards,
        )


def test_backends_are_used_again_after_they_return_to_the_list() -> None:
    script = Script(4)
    script.run(5_000, {})
    removed = make_backends(4, state=BackendState.REMOVED)
    script.driver.step(BackendListUpdate(ListUpdateKind.DELTA, tuple(removed)))
    script.run(3_000, {})
    assert not script.forwards
    script.schedule_ends(
        script.driver.step(BackendListUpdate(ListUpdateKind.DELTA, tuple(make_backends(4)))), {}
    )
    script.run(3_000, {})  # level 4 is readmitted over four latency objectives
    script.run(3_000, {})
    assert len(script.forwards) == 4 and sum(script.forwards.values()) >= 290
