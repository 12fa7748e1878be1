"""`python -m scale.fleet`: see `scale.fleet.cli`."""

from scale.fleet.cli import fleet

fleet(prog_name="python -m scale.fleet")
