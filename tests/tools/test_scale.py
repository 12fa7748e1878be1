"""The measuring tool at a tiny size. Nothing here rests on how fast anything is."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

import scale.load
import scale.measure_process
from scale.cli import main
from scale.fit import fit
from scale.load_report import verdict
from scale.measurement import DEFAULT_SIZES, MEASUREMENTS, Series, Values
from scale.slopes_report import format_values, summarize_series

TINY = ["--sizes", "10,20", "--repeats", "2", "--quiet"]
TINY += [part for axis in DEFAULT_SIZES if axis != "backend" for part in ("--counts", f"{axis}=5,7")]


def slopes(folder: Path, *arguments: str) -> dict[str, Any]:
    file = folder / "slopes.json"
    assert main(["slopes", *TINY, *arguments, "--json", str(file)]) == 0
    found: dict[str, Any] = json.loads(file.read_text())
    return found


def test_the_fit_gives_a_known_line_and_tells_the_spread_of_its_slopes() -> None:
    found = fit([10, 20, 40], [[35.0, 65.0, 125.0], [25.0, 45.0, 85.0]])
    assert found.slope == pytest.approx(2.5) and found.intercept == pytest.approx(5.0)
    assert [found.slope_min, found.slope_max] == pytest.approx([2.0, 3.0])
    assert found.slope_sd == pytest.approx(0.5**0.5)
    assert fit([1, 2, 3], [[5.0, 5.0, 5.0]]).r2 == 1.0


def test_the_fit_shows_what_is_no_line() -> None:
    assert fit([1, 2, 3], [[2.0, 4.0, 6.0]]).worst == pytest.approx(0.0)
    curve = fit([1, 10, 100], [[1.0, 100.0, 10000.0]])
    assert curve.r2 < 0.999 and curve.worst > 100
    with pytest.raises(ValueError):
        fit([5, 5], [[1.0, 1.0]])


def test_a_line_leaves_out_what_could_not_be_measured() -> None:
    runs: list[dict[int, Values]] = [
        {size: {"x": value} for size, value in zip((1, 2, 3, 4), row, strict=True)}
        for row in ((2.0, 4.0, None, 8.0), (2.0, 4.0, None, 8.0), (9.0, 9.0, None, None))
    ]
    found = summarize_series(Series("x", "ms", "a thing"), "backend", (1, 2, 3, 4), runs)
    assert found["fit"]["slope"] == pytest.approx(2.0) and found["fit_repeats"] == 2
    assert [format_values(found["values"][size]) for size in "1234"] == ["2", "4", "-", "8 (2)"]


def test_values_that_are_all_the_same_make_a_level_line() -> None:
    level = fit([5, 7], [[30572544.0, 30572544.0]])
    assert (level.slope, level.intercept) == (0.0, 30572544.0)


def test_every_measurement_has_its_values_in_the_json(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(scale.measure_process, "SETTLE_S", 0.01)
    monkeypatch.setattr(scale.measure_process, "REST_S", 0.05)
    monkeypatch.setattr(scale.measure_process, "AFTER_CHANGES_S", 0.05)
    found = slopes(tmp_path)
    printed = capsys.readouterr().out
    for name in [series.name for measurement in MEASUREMENTS.values() for series in measurement.series]:
        (row,) = [row for row in found["series"] if row["name"] == name]
        assert len(row["values"]) == 2 and name in printed
        for values in row["values"].values():
            assert len(values) == 2 and None not in values
        assert row["fit"] is not None and row["unit"] and row["says"]
    assert found["notes"] == [] and set(found["not_measured"]) == {"routes", "services"}
    assert found["machine"]["revision"] and found["arguments"]["seed"] == 1


def test_bytes_and_messages_are_the_same_twice(tmp_path: Path) -> None:
    names = ("wire-list", "wire-change", "wire-watch", "messages")
    what = [part for name in names for part in ("--what", name)]
    first, second = slopes(tmp_path, *what), slopes(tmp_path, *what)
    assert first["series"] == second["series"]


def test_what_one_bad_backend_costs_is_counted(tmp_path: Path) -> None:
    rows = {row["name"]: row["values"]["7"] for row in slopes(tmp_path, "--what", "messages")["series"]}
    assert all(told > 0 for told in rows["tells"])
    assert rows["datagrams"] == [6 * told for told in rows["tells"]]


def test_a_list_that_the_proxy_refuses_is_told_and_not_measured(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("scale.synthetic.snapshot_body", lambda revision, count: b"no list")
    found = slopes(tmp_path, "--what", "process")
    for row in found["series"]:
        assert {value for values in row["values"].values() for value in values} == {None}
    assert len(found["notes"]) == 1 and "not JSON" in found["notes"][0]


def test_load_tells_of_each_rate_both_ways(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
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


@pytest.mark.parametrize(
    "arguments",
    [
        ["slopes", "--sizes", "1000"],
        ["slopes", "--sizes", "10,no"],
        ["slopes", "--counts", "moon=1,2"],
        ["slopes", "--what", "routes"],
        ["slopes", "--repeats", "0"],
        ["slopes", "--json", "/nowhere/file.json"],
        ["load", "--rates", "-5"],
        ["load", "--listen", "here"],
        ["load", "--listen", "203.0.113.1:1", "--seconds", "0.1", "--rates", "20"],
        ["sing"],
    ],
)
def test_what_cannot_be_done_ends_with_one_plain_line(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) == 2
    said = capsys.readouterr().err
    assert said.startswith("scale: ") and said.count("\n") == 1 and len(said) > 20


def test_the_program_runs_without_the_tool_and_its_libraries() -> None:
    code = "import sys, dunecove.__main__, dunecove.adapter; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert {"scale", "click", "numpy", "hdrh"}.isdisjoint(loaded.split())
    done = subprocess.run([sys.executable, "-m", "scale", "slopes", "--sizes", "1"], capture_output=True)
    assert done.returncode == 2 and done.stderr.count(b"\n") == 1
