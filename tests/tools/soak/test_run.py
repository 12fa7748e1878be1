"""A short soak run with real proxy processes."""

from __future__ import annotations

import asyncio

import uvloop

from soak.environment import Plan
from soak.rules import Rule
from soak.run import run_soak

# The rules whose verdict does not depend on the speed of the machine.
TIMING_INDEPENDENT = {
    Rule.WRONG_RESPONSE,
    Rule.DUPLICATE_EXECUTION,
    Rule.REJECTED_AFTER_EXECUTION,
    Rule.CRASH,
}


def test_short_run_violates_no_timing_independent_rule() -> None:
    plan = Plan(seed=1, proxies=3, backends=7, seconds=2.0, rate=20.0, fault_count=3)
    result = uvloop.run(asyncio.wait_for(run_soak(plan), 120.0))
    assert result.statuses and not [
        violation for violation in result.violations if violation.rule in TIMING_INDEPENDENT
    ]
