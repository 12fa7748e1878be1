"""After a trouble ends, what was learned from it wears off: limits, payoffs, rests and flags."""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush

import pytest

from dunecove.policy.actions import Action, Forward
from dunecove.policy.events import AttemptEnded, BackendListUpdate, ListUpdateKind
from dunecove.policy.models import AttemptResult, BackendState
from dunecove.policy.settings import RequestClass
from tests.support import Driver, fleet, of, settings

RECOVERY_MS = 12_000  # stated in docs/on-call.md: the longest rest (8 s and a quarter), then its trial
STEP_MS = 10  # one arrival each
USUAL_MS = 20.0


class Script:
    """Feeds one arrival each step and answers each send as told for its server; nothing is modelled."""

    def __init__(self, servers: int) -> None:
        classes = (
            RequestClass(300.0, 1000.0, priority_weight=1.0),
            RequestClass(300.0, 1000.0, priority_weight=0.1),
        )
        self.driver = Driver(settings(*classes), *fleet(servers))
        self.due: list[tuple[float, str, int, AttemptResult, float]] = []
        self.tries: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()

    def run(self, ms: int, answers: dict[str, tuple[AttemptResult, float]]) -> None:
        """`answers` by server, others as usual; counts sends by server of this run."""
        self.sent.clear()
        driver = self.driver
        for n in range(ms // STEP_MS):
            self.take(driver.beat(STEP_MS) if n % 3 == 0 else driver.step(after=STEP_MS), answers)
            while self.due and self.due[0][0] <= driver.now:
                _, request, attempt, result, delay = heappop(self.due)
                self.take(
                    driver.step(AttemptEnded(request, attempt, result, delay, result is AttemptResult.OK)),
                    answers,
                )
            driver.arrive(n % 2)
            self.take(driver.last, answers)

    def take(self, actions: list[Action], answers: dict[str, tuple[AttemptResult, float]]) -> None:
        now = self.driver.now
        for send in of(Forward, actions):
            self.sent[send.backend_id] += 1
            result, delay = answers.get(send.backend_id, (AttemptResult.OK, USUAL_MS))
            if delay > send.timeout_ms:
                result, delay = AttemptResult.TIMEOUT, send.timeout_ms
            heappush(self.due, (now + delay, send.request_id, self.tries[send.request_id], result, delay))
            self.tries[send.request_id] += 1


def all_of(servers: int, result: AttemptResult, delay: float) -> dict[str, tuple[AttemptResult, float]]:
    return {s.backend_id: (result, delay) for s in fleet(servers)}


TROUBLES = {
    "all slow": all_of(4, AttemptResult.OK, 290.0),
    "all beyond the aim": all_of(4, AttemptResult.OK, 600.0),
    "all full": all_of(4, AttemptResult.REJECTED, 2.0),
    "all fail": all_of(4, AttemptResult.ERROR, 5.0),
    "none answers": all_of(4, AttemptResult.OK, 1e6),
    "one refuses": {"10.0.0.0:80": (AttemptResult.CONNECT_FAILED, 1.0)},
    "one hangs": {"10.0.0.0:80": (AttemptResult.OK, 1e6)},
    "one slow": {"10.0.0.0:80": (AttemptResult.OK, 250.0)},
    "one fails quickly": {"10.0.0.0:80": (AttemptResult.ERROR, 1.0)},
}


@pytest.mark.parametrize("name", TROUBLES)
def test_what_a_trouble_taught_wears_off(name: str) -> None:
    script = Script(4)
    script.run(5_000, {})
    script.run(8_000, TROUBLES[name])
    script.run(RECOVERY_MS, {})
    script.run(2_000, {})
    balancer = script.driver.balancer
    assert [e.overload_ratio(script.driver.now) for e in balancer.queues] == [0.0]
    assert sum(script.sent.values()) >= 0.98 * 2_000 / STEP_MS  # level 4 is let in again, nothing is held
    fair = sum(script.sent.values()) / 4
    for server in balancer.backends.active:
        assert server.consecutive_failures == 0 and server.ejected_until <= script.driver.now
        assert server.payoff > 0.9, server.id
        # Room for all of the traffic at the usual latency, and its part of it.
        assert server.limit >= 2 and script.sent[server.id] > fair / 2, (server.id, server.limit, script.sent)


def test_servers_that_were_away_are_used_as_before() -> None:
    script = Script(4)
    script.run(5_000, {})
    gone = fleet(4, state=BackendState.REMOVED)
    script.driver.step(BackendListUpdate(ListUpdateKind.DELTA, tuple(gone)))
    script.run(3_000, {})
    assert not script.sent
    script.take(script.driver.step(BackendListUpdate(ListUpdateKind.DELTA, tuple(fleet(4)))), {})
    script.run(3_000, {})  # level 4 comes back over four aims
    script.run(3_000, {})
    assert len(script.sent) == 4 and sum(script.sent.values()) >= 290
