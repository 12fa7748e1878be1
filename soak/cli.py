"""The command line of the soak test."""

from __future__ import annotations

import sys
from collections import Counter

import click
import uvloop

from soak.environment import Plan
from soak.run import Result, run_soak

MAX_PRINTED_VIOLATIONS = 5  # per rule


def print_result(result: Result, verbose: bool) -> None:
    """Print a line about a run; with violations or `verbose`, also its responses, faults and violations."""
    counts = Counter(violation.rule.value for violation in result.violations)
    verdict = ", ".join(f"{rule}: {number}" for rule, number in counts.items()) or "no violations"
    record = result.record
    click.echo(
        f"seed {result.plan.seed}: {len(record.requests)} requests, {len(record.incarnations)} processes, "
        f"lag {record.max_lag_s * 1000:.0f} ms: {verdict}"
    )
    if not verbose and not result.violations:
        return
    click.echo("  " + ", ".join(f"{name}: {number}" for name, number in sorted(result.statuses.items())))
    for fault in result.faults:
        click.echo(f"  fault: {fault}")
    printed: Counter[str] = Counter()
    for violation in result.violations:
        printed[violation.rule.value] += 1
        if printed[violation.rule.value] <= MAX_PRINTED_VIOLATIONS:
            click.echo(f"  VIOLATION {violation.rule.value}: {violation.subject}: {violation.text}")


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the first run.")
@click.option("--runs", default=1, show_default=True, help="Number of runs; each uses the next seed.")
@click.option("--proxies", default=24, show_default=True, help="Number of proxy processes.")
@click.option("--backends", default=14, show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="Duration of the load in each run.")
@click.option("--rate", default=6.0, show_default=True, help="Requests per second and proxy.")
@click.option("--troubles", default=12, show_default=True, help="Number of faults in each run.")
@click.option(
    "--faulty",
    default=0.4,
    show_default=True,
    help="Fraction of restarted processes whose system calls fail.",
)
@click.option("--faults/--no-faults", default=True, help="Inject system call faults and clock offsets.")
@click.option("--verbose", is_flag=True, help="Print faults and responses of successful runs too.")
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
    """Run real proxies on loopback under overlapping faults; exit with 1 on any rule violation."""
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
