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


class FaultSimulation:
    """Sends one request per step, and ends each attempt with the outcome set for its backend."""

    def __init__(self, backend_count: int) -> None:
        classes = (
            RequestClass(300.0, 1000.0, priority_weight=1.0),
            RequestClass(300.0, 1000.0, priority_weight=0.1),
        )
        self.driver = Driver(make_settings(*classes), *make_backends(backend_count))
        self.pending_ends: list[tuple[float, str, int, AttemptResult, float]] = []
        self.attempt_counts: Counter[str] = Counter()
        self.forward_counts: Counter[str] = Counter()

    def run(self, duration_ms: int, outcomes: dict[str, tuple[AttemptResult, float]]) -> None:
        """Run for `duration_ms` and count this run's forwards by backend.

        `outcomes` are the result and latency by backend; other backends respond normally.
        """
        self.forward_counts.clear()
        driver = self.driver
        for step in range(duration_ms // STEP_MS):
            self.schedule_ends(
                driver.tick(STEP_MS) if step % 3 == 0 else driver.step(elapsed_ms=STEP_MS), outcomes
            )
            while self.pending_ends and self.pending_ends[0][0] <= driver.now:
                _, request_id, attempt_index, result, latency_ms = heappop(self.pending_ends)
                self.schedule_ends(
                    driver.step(
                        AttemptEnded(
                            request_id, attempt_index, result, latency_ms, result is AttemptResult.OK
                        )
                    ),
                    outcomes,
                )
            driver.send_request(step % 2)
            self.schedule_ends(driver.last_actions, outcomes)

    def schedule_ends(self, actions: list[Action], outcomes: dict[str, tuple[AttemptResult, float]]) -> None:
        now = self.driver.now
        for forward in actions_of_type(Forward, actions):
            self.forward_counts[forward.backend_id] += 1
            result, latency_ms = outcomes.get(forward.backend_id, (AttemptResult.OK, NORMAL_LATENCY_MS))
            if latency_ms > forward.timeout_ms:
                result, latency_ms = AttemptResult.TIMEOUT, forward.timeout_ms
            heappush(
                self.pending_ends,
                (
                    now + latency_ms,
                    forward.request_id,
                    self.attempt_counts[forward.request_id],
                    result,
                    latency_ms,
                ),
            )
            self.attempt_counts[forward.request_id] += 1


def same_outcome_for_all(
    backend_count: int, result: AttemptResult, latency_ms: float
) -> dict[str, tuple[AttemptResult, float]]:
    return {backend.backend_id: (result, latency_ms) for backend in make_backends(backend_count)}


FAULTS = {
    "all slow": same_outcome_for_all(4, AttemptResult.OK, 290.0),
    "all late": same_outcome_for_all(4, AttemptResult.OK, 600.0),
    "all reject": same_outcome_for_all(4, AttemptResult.REJECTED, 2.0),
    "all fail": same_outcome_for_all(4, AttemptResult.ERROR, 5.0),
    "all hang": same_outcome_for_all(4, AttemptResult.OK, 1e6),
    "one refuses connections": {"10.0.0.0:80": (AttemptResult.CONNECT_FAILED, 1.0)},
    "one hangs": {"10.0.0.0:80": (AttemptResult.OK, 1e6)},
    "one slow": {"10.0.0.0:80": (AttemptResult.OK, 250.0)},
    "one fails quickly": {"10.0.0.0:80": (AttemptResult.ERROR, 1.0)},
}


@pytest.mark.parametrize("name", FAULTS)
def test_state_recovers_after_a_fault(name: str) -> None:
    simulation = FaultSimulation(4)
    simulation.run(5_000, {})
    simulation.run(8_000, FAULTS[name])
    simulation.run(RECOVERY_MS, {})
    simulation.run(2_000, {})
    balancer = simulation.driver.balancer
    assert [queue.overload_ratio(simulation.driver.now) for queue in balancer.queues] == [0.0]
    # Level 4 is readmitted, and no request is queued.
    assert sum(simulation.forward_counts.values()) >= 0.98 * 2_000 / STEP_MS
    fair_share = sum(simulation.forward_counts.values()) / 4
    for backend in balancer.backends.active:
        assert backend.consecutive_failures == 0 and backend.ejected_until <= simulation.driver.now
        assert backend.payoff > 0.9, backend.id
        # Each backend could take all traffic at the normal latency, and gets over half its fair share of it.
        assert backend.limit >= 2 and simulation.forward_counts[backend.id] > fair_share / 2, (
            backend.id,
            backend.limit,
            simulation.forward_counts,
        )


def test_backends_are_used_again_after_they_return_to_the_list() -> None:
    simulation = FaultSimulation(4)
    simulation.run(5_000, {})
    removed = make_backends(4, state=BackendState.REMOVED)
    simulation.driver.step(BackendListUpdate(ListUpdateKind.DELTA, tuple(removed)))
    simulation.run(3_000, {})
    assert not simulation.forward_counts
    simulation.schedule_ends(
        simulation.driver.step(BackendListUpdate(ListUpdateKind.DELTA, tuple(make_backends(4)))), {}
    )
    simulation.run(3_000, {})  # level 4 is readmitted over four latency objectives
    simulation.run(3_000, {})
    assert len(simulation.forward_counts) == 4 and sum(simulation.forward_counts.values()) >= 290
