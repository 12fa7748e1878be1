"""The command line of the soak test."""

from __future__ import annotations

import sys
from collections import Counter

import click
import uvloop

from soak.environment import Plan
from soak.run import Result, run_soak

MAX_PRINTED_VIOLATIONS = 5  # of one rule


def print_result(result: Result, verbose: bool) -> None:
    """Print one line on a run, and its faults and violations where there are any or `verbose` asks for it."""
    counts = Counter(violation.rule.value for violation in result.violations)
    verdict = ", ".join(f"{rule}: {number}" for rule, number in counts.items()) or "no rule broken"
    record = result.record
    click.echo(
        f"seed {result.plan.seed}: {len(record.requests)} requests, {len(record.incarnations)} processes, "
        f"lag {record.max_lag_s * 1000:.0f} ms: {verdict}"
    )
    if not verbose and not result.violations:
        return
    click.echo("  " + ", ".join(f"{name}: {number}" for name, number in sorted(result.statuses.items())))
    for fault in result.faults:
        click.echo(f"  trouble: {fault}")
    printed: Counter[str] = Counter()
    for violation in result.violations:
        printed[violation.rule.value] += 1
        if printed[violation.rule.value] <= MAX_PRINTED_VIOLATIONS:
            click.echo(f"  BROKEN {violation.rule.value}: {violation.subject}: {violation.text}")


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--runs", default=1, show_default=True, help="Runs, each with the next seed.")
@click.option("--proxies", default=24, show_default=True, help="Proxy processes.")
@click.option("--backends", default=14, show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="Length of the load of one run.")
@click.option("--rate", default=6.0, show_default=True, help="Requests a second for each proxy.")
@click.option("--troubles", default=12, show_default=True, help="Faults in one run.")
@click.option("--faulty", default=0.4, show_default=True, help="Share of processes whose system calls fail.")
@click.option("--faults/--no-faults", default=True, help="Let system calls and clocks fail at all.")
@click.option("--verbose", is_flag=True, help="Print faults and responses of good runs too.")
def main(
    seed: int,
    runs: int,
    proxies: int,
    backends: int,
    seconds: float,
    rate: float,
    troubles: int,
    faulty: float,
    faults: bool,
    verbose: bool,
) -> None:
    """Run real proxies on loopback under overlapping faults; exits with 1 if a rule was broken."""
    failed = 0
    for run_seed in range(seed, seed + runs):
        plan = Plan(
            seed=run_seed,
            proxies=proxies,
            backends=backends,
            seconds=seconds,
            rate=rate,
            fault_count=troubles,
            faulty_process_share=faulty,
            system_call_faults=faults,
        )
        result = uvloop.run(run_soak(plan))
        print_result(result, verbose)
        failed += bool(result.violations)
    click.echo(f"{runs - failed} passed, {failed} failed")
    sys.exit(bool(failed))
