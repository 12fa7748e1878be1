"""The command `load` at tiny rates, and its verdict. Nothing here rests on how fast anything is."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

import scale.load
import scale.measure_process
from scale.cli import main
from scale.load_report import verdict


def test_load_reports_each_rate_on_both_paths(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(scale.load, "WARM_S", 0.1)
    file = tmp_path / "load.json"
    more = ["--rates", "20,40", "--seconds", "0.5", "--repeats", "1", "--backends", "2", "--quiet"]
    assert main(["load", *more, "--json", str(file), "--table", str(tmp_path / "load.txt")]) == 0
    found = json.loads(file.read_text())
    assert [(row["rate"], row["path"]) for row in found["rows"]] == [
        (rate, path) for rate in (20.0, 40.0) for path in ("direct", "proxy")
    ]
    for row in found["rows"]:
        assert row["answered"] == row["sent"] > 0 == row["refused"] + row["failed"]
    assert found["verdict"] in (tmp_path / "load.txt").read_text()


@pytest.mark.parametrize(
    ("p99s", "words"),
    [
        (
            {1000: 1.0, 1324: 3.7, 2000: 9.0},
            "carries 1324 requests a second at 3.7 ms added at p99, and not 2000",
        ),
        ({1000: 1.0, 1324: 3.7, 2000: 9.0}, "is within it"),
        ({1000: 1.0, 1300: 4.0, 2000: 1.0}, "1,324 a second a proxy is not within it"),
        ({1000: 1.0, 2000: 9.0}, "beyond what was shown"),
        ({1000: 9.0}, "carries no rate that was measured"),
    ],
)
def test_the_last_line_says_what_was_carried(p99s: dict[int, float], words: str) -> None:
    rows = [
        {"rate": rate, "path": path, "added_ms": {"p99": p99}, "sent": 9, "refused": 0, "failed": 0}
        for rate, most in p99s.items()
        for path, p99 in (("proxy", most), ("direct", 0.1))
    ]
    assert words in verdict(rows)
    for row in rows:
        row["added_ms"] = {"p99": 20.0}  # straight to the backends as well: the machine is late
    assert "this run can't tell" in verdict(rows) and "beyond what was shown" in verdict(rows)
