"""The command line of the soak test."""

from __future__ import annotations

import sys
from collections import Counter

import click
import uvloop

from soak.run import Plan, Result, play

SHOWN = 5  # breaches of a rule that are printed


def report(result: Result, verbose: bool) -> None:
    counts = Counter(breach.rule.value for breach in result.breaches)
    lives = len(result.journal.lives)
    total = len(result.journal.requests)
    word = ", ".join(f"{rule}: {number}" for rule, number in counts.items()) or "no rule broken"
    lag_ms = result.journal.lag_s * 1000
    click.echo(f"seed {result.plan.seed}: {total} requests, {lives} processes, lag {lag_ms:.0f} ms: {word}")
    if not verbose and not result.breaches:
        return
    click.echo("  " + ", ".join(f"{name}: {number}" for name, number in sorted(result.statuses.items())))
    for trouble in result.troubles:
        click.echo(f"  trouble: {trouble}")
    shown: Counter[str] = Counter()
    for breach in result.breaches:
        shown[breach.rule.value] += 1
        if shown[breach.rule.value] <= SHOWN:
            click.echo(f"  BROKEN {breach.rule.value}: {breach.subject}: {breach.text}")


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--runs", default=1, show_default=True, help="Runs, each with the next seed.")
@click.option("--proxies", default=24, show_default=True, help="Proxy processes.")
@click.option("--backends", default=14, show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="Length of the load of one run.")
@click.option("--rate", default=6.0, show_default=True, help="Requests a second for each proxy.")
@click.option("--troubles", default=12, show_default=True, help="Troubles in one run.")
@click.option("--faulty", default=0.4, show_default=True, help="Share of processes whose system calls fail.")
@click.option("--faults/--no-faults", default=True, help="Let system calls and clocks fail at all.")
@click.option("--verbose", is_flag=True, help="Print troubles and answers of good runs too.")
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
    """Run real proxies on loopback under overlapping troubles; exits with 1 if a rule was broken."""
    broken = 0
    for number in range(seed, seed + runs):
        plan = Plan(number, proxies, backends, seconds, rate, troubles, faulty, faults)
        result = uvloop.run(play(plan))
        report(result, verbose)
        broken += bool(result.breaches)
    click.echo(f"{runs - broken} passed, {broken} failed")
    sys.exit(bool(broken))
