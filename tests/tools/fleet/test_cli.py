"""Invalid plans and the command line of `fleet`."""

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
    "invalid",
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
def test_invalid_plan_is_an_error_that_names_the_field(invalid: dict[str, Any]) -> None:
    with pytest.raises(InvalidPlanError, match=next(iter(invalid))):
        Plan(**(SMALL | invalid)).check()


def test_command_prints_and_saves_the_figures(tmp_path: Path) -> None:
    sizes = ["--backends", "30", "--proxies", "5", "--seconds", "30"]
    result = CliRunner().invoke(fleet, [*sizes, "--json", str(tmp_path / "out.json")])
    assert result.exit_code == 0
    assert "5 simulated proxies" in result.output
    assert orjson.loads((tmp_path / "out.json").read_bytes())["plan"]["backends"] == 30


@pytest.mark.parametrize(
    "arguments",
    [
        ["--event", "flood"],
        ["--backends", "0"],
        ["--memory-mb", "1"],
        ["--backends", "x"],
        ["--none"],
        ["--json", "/nowhere/out.json"],
    ],
)
def test_command_reports_an_error_in_one_line(arguments: list[str]) -> None:
    result = CliRunner().invoke(fleet, arguments)
    assert result.exit_code == 2
    assert result.stderr.startswith("fleet: ")
    assert result.stderr.count("\n") == 1
