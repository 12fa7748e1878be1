"""The command `fleet`."""

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
    """A command that says in one line what is wrong with its arguments."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Parse the arguments; exit code 2 for what is wrong with them."""
        try:
            return super().parse_args(ctx, args)
        except click.UsageError as error:
            print("fleet:", " ".join(error.format_message().split()), file=sys.stderr)
            ctx.exit(2)


@click.command(cls=OneLineErrorCommand, context_settings={"show_default": True})
@click.option("--backends", default=1000, help="Size of the list.")
@click.option("--proxies", default=100, help="Simulated proxies in this process.")
@click.option("--seconds", default=60, help="Length on the virtual clock; the event comes after a third.")
@click.option("--event", default="steady", help=f"One of {', '.join(FleetEvent)}.")
@click.option("--seed", default=1)
@click.option("--pushed", is_flag=True, help="Lists are pushed by an agent, not asked for.")
@click.option("--weights", is_flag=True, help="Renew all live weights each 500 to 900 ms.")
@click.option("--rate", default=3.0, help="Requests a second to each proxy.")
@click.option("--churn", default=1.0, help="Times the ordinary day's churn.")
@click.option("--services", default=1, help="Services of the backends; a release touches one.")
@click.option("--tier", default=0, help="Proxies that the settings name; 0 for --proxies.")
@click.option("--lasting", default=0.0, help="Seconds of a lost zone or a cut; 0 for a third of the run.")
@click.option("--grace-ms", default=1000.0, help="From being told of a drain to the last send.")
@click.option("--frozen", default=0, help="Proxies with a planted fault: their list stays as it was.")
@click.option("--memory-mb", default=0.0, help="Give up beyond this; 0 for half of the machine's.")
@click.option("--json", "path", type=click.Path(path_type=Path), help="Write the figures to this file, too.")
def fleet(path: Path | None, **options: Any) -> None:
    """Run simulated proxies against a simulated discovery service, and count what it costs.

    All of it runs in this process on a virtual clock.
    """
    try:
        if path is not None:
            path.touch()  # a run may be long, and must not end in a file that can't be written
        figures = Fleet(Plan(**options)).run()
        if path is not None:
            path.write_text(json.dumps(figures, indent=1) + "\n")
    except (InvalidPlanError, OSError) as error:
        print(f"fleet: {error}", file=sys.stderr)
        sys.exit(2)
    print(format_figures(figures))
