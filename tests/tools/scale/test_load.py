"""The command `load` at low rates, and its verdict. No test depends on the speed of the machine."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

import scale.load
import scale.measure_process
from scale.cli import main
from scale.load_report import format_verdict


def test_load_reports_each_rate_for_both_paths(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(scale.load, "WARM_UP_S", 0.1)
    file = tmp_path / "load.json"
    options = ["--rates", "20,40", "--seconds", "0.5", "--repeats", "1", "--backends", "2", "--quiet"]
    assert main(["load", *options, "--json", str(file), "--table", str(tmp_path / "load.txt")]) == 0
    report = json.loads(file.read_text())
    assert [(row["rate"], row["path"]) for row in report["rows"]] == [
        (rate, path) for rate in (20.0, 40.0) for path in ("direct", "proxy")
    ]
    for row in report["rows"]:
        assert row["answered"] == row["sent"] > 0 == row["refused"] + row["failed"]
    assert report["verdict"] in (tmp_path / "load.txt").read_text()


@pytest.mark.parametrize(
    ("p99s", "expected"),
    [
        (
            {1000: 1.0, 1324: 3.7, 2000: 9.0},
            "sustains 1324 requests per second at 3.7 ms added at p99, but not 2000",
        ),
        ({1000: 1.0, 1324: 3.7, 2000: 9.0}, "per second per proxy is met"),
        ({1000: 1.0, 1300: 4.0, 2000: 1.0}, "1,324 per second per proxy is not met"),
        ({1000: 1.0, 2000: 9.0}, "neither confirmed nor refuted"),
        ({1000: 9.0}, "sustains no measured rate"),
    ],
)
def test_verdict_states_the_sustained_rate_and_compares_it_with_the_target(
    p99s: dict[int, float], expected: str
) -> None:
    rows = [
        {"rate": rate, "path": path, "added_ms": {"p99": p99}, "sent": 9, "refused": 0, "failed": 0}
        for rate, proxy_p99 in p99s.items()
        for path, p99 in (("proxy", proxy_p99), ("direct", 0.1))
    ]
    assert expected in format_verdict(rows)
    for row in rows:
        row["added_ms"] = {"p99": 20.0}  # on the direct path too, so the machine is slow
    assert "is inconclusive in this run" in format_verdict(
        rows
    ) and "neither confirmed nor refuted" in format_verdict(rows)
