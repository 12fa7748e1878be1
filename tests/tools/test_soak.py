"""The judge of the soak test sees each breach, and a short run with real processes breaks no rule."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest
import uvloop

from dunecove.policy.models import Idempotency
from soak.judge import Rule, cold_bound, judge
from soak.records import Agent, Attempt, BadClient, Journal, Lane, Life, Ran, Request, Told
from soak.run import Plan, play
from soak.troubles import draw_environment, draw_troubles

Step = Callable[[Journal], object]
SAFE, UNSAFE, KEYED = 0, 1, 2
LANES = (
    Lane("safe", Idempotency.IDEMPOTENT, 0.4, 1.0),
    Lane("unsafe", Idempotency.NON_IDEMPOTENT, 0.4, 1.0),
    Lane("keyed", Idempotency.KEYED, 0.4, 1.0, 0.5),
)


def journal() -> Journal:
    """A proxy with one good request of each class, each a second after the other."""
    made = Journal(LANES, 2.5, lives=[Life(0, 1, 0.0, ready=1.0)], agents={0: Agent(0, [(0.0, None)])})
    made.warm_rate, made.cold_s, made.start_part = 10.0, 20.0, 0.2
    for lane in (SAFE, UNSAFE, KEYED):
        name, at = f"r{lane}", 10.0 + lane
        made.requests[name] = Request(
            name, 0, 1, lane, at, 0.8, False, None, at + 0.1, 200, f"s {name}".encode()
        )
        made.attempts.append(Attempt(name, "s", 1, at + 0.01, at + 0.01, 790, Ran.SERVED, at + 0.09))
    return made


def again(made: Journal, lane: int, after: float, cell: int = 1) -> None:
    """A second attempt on a request, so long after the first."""
    first = made.attempts[lane]
    at = first.last_byte + after
    made.attempts.append(Attempt(f"r{lane}", "t", cell, at, at, 10, Ran.SERVED, at + 0.01))


def change(made: Journal, lane: int, **values: object) -> None:
    for name, value in values.items():
        setattr(made.requests[f"r{lane}"], name, value)


def unanswered(made: Journal, lane: int, **values: object) -> None:
    change(made, lane, answered=None, status=0, body=b"", **values)


def drained(made: Journal, at: float, told: float | None) -> None:
    made.drains["s"] = at
    if told is not None:
        made.told.append(Told(0, told, ("s",)))


@pytest.mark.parametrize(
    ("steps", "rules"),
    [
        ([], []),
        ([lambda j: change(j, SAFE, answered=11.2)], []),  # late, and no more
        ([lambda j: change(j, SAFE, answered=11.5)], [Rule.LOST]),
        ([lambda j: unanswered(j, SAFE)], [Rule.LOST]),
        ([lambda j: unanswered(j, SAFE, broken=10.5, kept=True)], [Rule.LOST]),
        ([lambda j: unanswered(j, SAFE, broken=10.5, kept=True), lambda j: j.attempts.pop(0)], []),
        ([lambda j: unanswered(j, SAFE, broken=10.5), lambda j: setattr(j.lives[0], "killed", 10.4)], []),
        ([lambda j: change(j, SAFE, body=b"s r1")], [Rule.WRONG_ANSWER]),
        ([lambda j: again(j, SAFE, 0.2)], []),
        ([lambda j: again(j, UNSAFE, 0.2)], [Rule.DUPLICATE]),
        ([lambda j: setattr(j.attempts[1], "ran", Ran.REJECTED), lambda j: again(j, UNSAFE, 0.2)], []),
        ([lambda j: again(j, KEYED, 0.2)], []),
        ([lambda j: again(j, KEYED, 0.6)], [Rule.WINDOW]),
        ([lambda j: again(j, KEYED, 0.2, cell=2)], [Rule.DUPLICATE]),
        ([lambda j: again(j, SAFE, 0.01)], [Rule.SECOND_COPY]),
        ([lambda j: change(j, UNSAFE, status=503)], [Rule.REFUSED_AFTER_RUN]),
        ([lambda j: change(j, SAFE, status=503)], []),
        ([lambda j: unanswered(j, SAFE, left=9.5)], [Rule.SENT_AFTER_LEAVING]),
        ([lambda j: setattr(j.attempts[0], "budget_ms", 1100)], [Rule.BUDGET]),
        ([lambda j: drained(j, 5.0, 7.4)], [Rule.DRAIN]),
        ([lambda j: drained(j, 5.0, None)], []),  # as told 6 s later
        ([lambda j: drained(j, 1.0, None)], [Rule.DRAIN]),
        ([lambda j: drained(j, 1.0, None), lambda j: j.agents[0].spans.__setitem__(0, (0.0, 2.0))], []),
        ([lambda j: drained(j, 1.0, None), lambda j: setattr(j.lives[0], "started", 8.0)], []),
        ([lambda j: j.moved.__setitem__(0, [3.0]), lambda j: drained(j, 3.0, None)], [Rule.DRAIN]),
        (
            [lambda j: setattr(j.lives[0], "ended", 20.0), lambda j: setattr(j.lives[0], "code", 0)],
            [Rule.CRASH],
        ),
        ([lambda j: j.lives.append(Life(1, 1, 0.0))], [Rule.READY]),
        ([lambda j: j.lives[0].log.append("dunecove: violation: forbidden_attempt")], [Rule.SELF]),
        ([lambda j: j.bad_clients.append(BadClient(0, 1, 5.0, "half"))], [Rule.BAD_CLIENT]),
        ([lambda j: j.bad_clients.append(BadClient(0, 1, 5.0, "half", 7.5))], []),
    ],
)
def test_the_judge_sees_each_breach(steps: list[Step], rules: list[Rule]) -> None:
    made = journal()
    for step in steps:
        step(made)
    found = {breach.rule for breach in judge(made)}
    assert set(rules) <= found if Rule.DRAIN in rules else found == set(rules)


def test_the_judge_counts_what_a_cold_backend_gets() -> None:
    for number, broken in (
        (int(cold_bound(journal(), 1.0)), False),
        (int(cold_bound(journal(), 1.0)) + 1, True),
    ):
        made = journal()
        made.cold["new"] = 99.0
        made.attempts += [Attempt("", "new", 1, 100.0, 100.0, 0) for _ in range(number)]
        assert [breach.rule for breach in judge(made)] == [Rule.COLD] * broken


def test_troubles_and_faults_come_from_the_seed() -> None:
    assert draw_troubles(Random(3), 20.0, 12) == draw_troubles(Random(3), 20.0, 12)
    assert draw_environment(Random(3), "shim.so", 1.0) == draw_environment(Random(3), "shim.so", 1.0)
    assert draw_environment(Random(3), None, 1.0) == {}


# Those that don't rest on how fast this machine is.
TIMELESS = {Rule.WRONG_ANSWER, Rule.DUPLICATE, Rule.REFUSED_AFTER_RUN, Rule.CRASH}


def test_a_short_run_with_real_processes() -> None:
    plan = Plan(seed=1, proxies=3, backends=7, seconds=2.0, rate=20.0, troubles=3)
    result = uvloop.run(asyncio.wait_for(play(plan), 120.0))
    assert result.statuses and not [breach for breach in result.breaches if breach.rule in TIMELESS]
