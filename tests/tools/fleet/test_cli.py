"""Plans that can't be run, and the command line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner

from scale.fleet.cli import fleet
from scale.fleet.plan import InvalidPlanError, Plan
from tests.tools.fleet.support import SMALL


@pytest.mark.parametrize(
    "bad",
    [
        {"backends": 0},
        {"proxies": 0},
        {"seconds": 5},
        {"event": "flood"},
        {"rate": -1.0},
        {"grace_ms": 0.0},
        {"churn": float("nan")},
        {"frozen": 12},
        {"services": 0},
    ],
)
def test_invalid_plans_are_refused(bad: dict[str, Any]) -> None:
    with pytest.raises(InvalidPlanError, match=next(iter(bad))):
        Plan(**(SMALL | bad)).check()


def test_command(tmp_path: Path) -> None:
    sizes = ["--backends", "30", "--proxies", "5", "--seconds", "30"]
    done = CliRunner().invoke(fleet, [*sizes, "--json", str(tmp_path / "out.json")])
    assert done.exit_code == 0
    assert "5 hollow proxies" in done.output
    assert orjson.loads((tmp_path / "out.json").read_bytes())["plan"]["backends"] == 30


@pytest.mark.parametrize(
    "bad",
    [
        ["--event", "flood"],
        ["--backends", "0"],
        ["--memory-mb", "1"],
        ["--backends", "x"],
        ["--none"],
        ["--json", "/nowhere/out.json"],
    ],
)
def test_command_says_in_one_line_what_is_wrong(bad: list[str]) -> None:
    done = CliRunner().invoke(fleet, bad)
    assert done.exit_code == 2
    assert done.stderr.startswith("fleet: ")
    assert done.stderr.count("\n") == 1
