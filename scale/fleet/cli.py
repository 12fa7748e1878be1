"""The command `fleet`: runs simulated proxies and reports figures of the run."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from scale.fleet.figures import format_figures
from scale.fleet.plan import FleetEvent, InvalidPlanError, Plan
from scale.fleet.run import Fleet


class OneLineErrorCommand(click.Command):
    """A command that reports invalid arguments in one line."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Parse the arguments; print an error and exit with code 2 if they are invalid."""
        try:
            return super().parse_args(ctx, args)
        except click.UsageError as error:
            print("fleet:", " ".join(error.format_message().split()), file=sys.stderr)
            ctx.exit(2)


@click.command(cls=OneLineErrorCommand, context_settings={"show_default": True})
@click.option("--backends", default=1000, help="Backends in the endpoint list.")
@click.option("--proxies", default=100, help="Simulated proxies in this process.")
@click.option("--seconds", default=60, help="Duration on the virtual clock; the event starts after a third.")
@click.option("--event", default="steady", help=f"One of {', '.join(FleetEvent)}.")
@click.option("--seed", default=1)
@click.option("--pushed", is_flag=True, help="Lists are pushed by an agent instead of polled.")
@click.option("--weights", is_flag=True, help="Update all live weights every 500 to 900 ms.")
@click.option("--rate", default=3.0, help="Requests per second to each proxy.")
@click.option("--churn", default=1.0, help="Churn as a multiple of that of an ordinary day.")
@click.option("--services", default=1, help="Services of the backends; a release updates one.")
@click.option("--tier", default=0, help="Number of proxies in the settings; 0 for --proxies.")
@click.option(
    "--lasting", default=0.0, help="Seconds that a zone outage or partition lasts; 0 for a third of the run."
)
@click.option(
    "--grace-ms", default=1000.0, help="Time after the notification of a drain in which forwards are allowed."
)
@click.option("--frozen", default=0, help="Proxies with an injected fault: they ignore list updates.")
@click.option("--memory-mb", default=0.0, help="Memory limit of the run; 0 for half of the machine's memory.")
@click.option("--json", "path", type=click.Path(path_type=Path), help="Also write the figures to this file.")
def fleet(path: Path | None, **options: Any) -> None:
    """Run simulated proxies with a simulated discovery service, and report what they cost.

    Everything runs in this process on a virtual clock.
    """
    try:
        if path is not None:
            path.touch()  # detects an unwritable file before a run, which may be long
        figures = Fleet(Plan(**options)).run()
        if path is not None:
            path.write_text(json.dumps(figures, indent=1) + "\n")
    except (InvalidPlanError, OSError) as error:
        print(f"fleet: {error}", file=sys.stderr)
        sys.exit(2)
    print(format_figures(figures))
