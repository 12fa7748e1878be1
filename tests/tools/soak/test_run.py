"""A short run with real processes breaks no rule."""

from __future__ import annotations

import asyncio

import uvloop

from soak.environment import Plan
from soak.rules import Rule
from soak.run import run_soak

# Those that don't rest on how fast this machine is.
TIMING_INDEPENDENT = {
    Rule.WRONG_RESPONSE,
    Rule.DUPLICATE_EXECUTION,
    Rule.REJECTED_AFTER_EXECUTION,
    Rule.CRASH,
}


def test_a_short_run_with_real_processes() -> None:
    plan = Plan(seed=1, proxies=3, backends=7, seconds=2.0, rate=20.0, fault_count=3)
    result = uvloop.run(asyncio.wait_for(run_soak(plan), 120.0))
    assert result.statuses and not [
        violation for violation in result.violations if violation.rule in TIMING_INDEPENDENT
    ]
