"""The command line of the tool. Commands are defined in other modules and added at the end of this one."""

from __future__ import annotations

import sys

import click

from scale.fleet.cli import fleet
from scale.load import load
from scale.slopes import slopes


@click.group()
def cli() -> None:
    """Measure what a proxy costs as the fleet grows, and the request rate that one core sustains."""


def main(arguments: list[str]) -> int:
    """Run the command line and return its exit code: 0, 2 after an error, or 130 after an interrupt.

    An error is reported in one line on standard error.
    """
    try:
        code = cli.main(arguments, prog_name="python -m scale", standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as error:
        print(error.format_message())
        return 2
    except click.ClickException as error:
        print("scale: " + " ".join(error.format_message().split()), file=sys.stderr)
        return 2
    except OSError as error:  # a file can't be written, a port is in use or a process can't be started
        print(f"scale: {error.strerror or error}: {error.filename or ''}".rstrip(": "), file=sys.stderr)
        return 2
    except (click.Abort, KeyboardInterrupt):
        return 130
    return code if isinstance(code, int) else 0


cli.add_command(slopes)
cli.add_command(load)
cli.add_command(fleet)
