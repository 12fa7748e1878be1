"""The command line. A command of another module is added by one line at the end of this one."""

from __future__ import annotations

import sys

import click

from scale.fleet.cli import fleet
from scale.load import load
from scale.slopes import slopes


@click.group()
def cli() -> None:
    """Measure what a proxy costs as the fleet round it grows, and what one core carries."""


def main(arguments: list[str]) -> int:
    """Run the command line and return its exit code: 0, 130 after an interrupt, or 2 for what can't be done.

    In the last case one plain line on standard error says why.
    """
    try:
        code = cli.main(arguments, prog_name="python -m scale", standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as error:
        print(error.format_message())
        return 2
    except click.ClickException as error:
        print("scale: " + " ".join(error.format_message().split()), file=sys.stderr)
        return 2
    except OSError as error:  # a file that can't be written, a port or a process that is not to be had
        print(f"scale: {error.strerror or error}: {error.filename or ''}".rstrip(": "), file=sys.stderr)
        return 2
    except (click.Abort, KeyboardInterrupt):
        return 130
    return code if isinstance(code, int) else 0


cli.add_command(slopes)
cli.add_command(load)
cli.add_command(fleet)
