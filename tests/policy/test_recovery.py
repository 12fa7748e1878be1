"""After a fault ends, what was learned from it wears off: limits, payoffs, ejections and verdicts."""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush

import pytest

from dunecove.policy.actions import Action, Forward
from dunecove.policy.events import AttemptEnded, BackendListUpdate, ListUpdateKind
from dunecove.policy.models import AttemptResult, BackendState
from dunecove.policy.settings import RequestClass
from tests.support import Driver, actions_of_type, make_backends, make_settings

RECOVERY_MS = 12_000  # the longest ejection (8 s and a quarter), then its trial
STEP_MS = 10  # one arrival each
USUAL_MS = 20.0


class Script:
    """Feeds one arrival each step and ends each attempt as set for its backend; nothing is modelled."""

    def __init__(self, backends: int) -> None:
        classes = (
            RequestClass(300.0, 1000.0, priority_weight=1.0),
            RequestClass(300.0, 1000.0, priority_weight=0.1),
        )
        self.driver = Driver(make_settings(*classes), *make_backends(backends))
        self.ends: list[tuple[float, str, int, AttemptResult, float]] = []
        self.attempts: Counter[str] = Counter()
        self.forwards: Counter[str] = Counter()

    def run(self, ms: int, outcomes: dict[str, tuple[AttemptResult, float]]) -> None:
        """`outcomes` by backend, others as usual; counts forwards by backend of this run."""
        self.forwards.clear()
        driver = self.driver
        for n in range(ms // STEP_MS):
            self.schedule_ends(
                driver.tick(STEP_MS) if n % 3 == 0 else driver.step(elapsed_ms=STEP_MS), outcomes
            )
            while self.ends and self.ends[0][0] <= driver.now:
                _, request, attempt, result, delay = heappop(self.ends)
                self.schedule_ends(
                    driver.step(AttemptEnded(request, attempt, result, delay, result is AttemptResult.OK)),
                    outcomes,
                )
            driver.send_request(n % 2)
            self.schedule_ends(driver.last_actions, outcomes)

    def schedule_ends(self, actions: list[Action], outcomes: dict[str, tuple[AttemptResult, float]]) -> None:
        now = self.driver.now
        for forward in actions_of_type(Forward, actions):
            self.forwards[forward.backend_id] += 1
            result, delay = outcomes.get(forward.backend_id, (AttemptResult.OK, USUAL_MS))
            if delay > forward.timeout_ms:
                result, delay = AttemptResult.TIMEOUT, forward.timeout_ms
            heappush(
                self.ends, (now + delay, forward.request_id, self.attempts[forward.request_id], result, delay)
            )
            self.attempts[forward.request_id] += 1


def all_of(backends: int, result: AttemptResult, delay: float) -> dict[str, tuple[AttemptResult, float]]:
    return {s.backend_id: (result, delay) for s in make_backends(backends)}


FAULTS = {
    "all slow": all_of(4, AttemptResult.OK, 290.0),
    "all beyond the objective": all_of(4, AttemptResult.OK, 600.0),
    "all full": all_of(4, AttemptResult.REJECTED, 2.0),
    "all fail": all_of(4, AttemptResult.ERROR, 5.0),
    "none outcomes": all_of(4, AttemptResult.OK, 1e6),
    "one refuses": {"10.0.0.0:80": (AttemptResult.CONNECT_FAILED, 1.0)},
    "one hangs": {"10.0.0.0:80": (AttemptResult.OK, 1e6)},
    "one slow": {"10.0.0.0:80": (AttemptResult.OK, 250.0)},
    "one fails quickly": {"10.0.0.0:80": (AttemptResult.ERROR, 1.0)},
}


@pytest.mark.parametrize("name", FAULTS)
def test_what_a_fault_taught_wears_off(name: str) -> None:
    script = Script(4)
    script.run(5_000, {})
    script.run(8_000, FAULTS[name])
    script.run(RECOVERY_MS, {})
    script.run(2_000, {})
    balancer = script.driver.balancer
    assert [e.overload_ratio(script.driver.now) for e in balancer.queues] == [0.0]
    assert (
        sum(script.forwards.values()) >= 0.98 * 2_000 / STEP_MS
    )  # level 4 is admitted again, nothing is queued
    fair = sum(script.forwards.values()) / 4
    for backend in balancer.backends.active:
        assert backend.consecutive_failures == 0 and backend.ejected_until <= script.driver.now
        assert backend.payoff > 0.9, backend.id
        # Room for all of the traffic at the usual latency, and its part of it.
        assert backend.limit >= 2 and script.forwards[backend.id] > fair / 2, (
            backend.id,
            backend.limit,
            script.forwards,
        )


def test_backends_that_were_away_are_used_as_before() -> None:
    script = Script(4)
    script.run(5_000, {})
    gone = make_backends(4, state=BackendState.REMOVED)
    script.driver.step(BackendListUpdate(ListUpdateKind.DELTA, tuple(gone)))
    script.run(3_000, {})
    assert not script.forwards
    script.schedule_ends(
        script.driver.step(BackendListUpdate(ListUpdateKind.DELTA, tuple(make_backends(4)))), {}
    )
    script.run(3_000, {})  # level 4 comes back over four aims
    script.run(3_000, {})
    assert len(script.forwards) == 4 and sum(script.forwards.values()) >= 290
