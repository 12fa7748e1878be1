"""`python -m scale.fleet`."""

from scale.fleet.cli import fleet

fleet(prog_name="python -m scale.fleet")
