"""The command `slopes` at small sizes. No test depends on the speed of the machine."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

import scale.load
import scale.measure_process
from scale.cli import main
from scale.measurement import DEFAULT_SIZES, MEASUREMENTS, Series, Values
from scale.slopes_report import format_values, summarize_series

SMALL_SIZES = ["--sizes", "10,20", "--repeats", "2", "--quiet"]
SMALL_SIZES += [part for axis in DEFAULT_SIZES if axis != "backend" for part in ("--counts", f"{axis}=5,7")]


def run_slopes(folder: Path, *arguments: str) -> dict[str, Any]:
    file = folder / "slopes.json"
    assert main(["slopes", *SMALL_SIZES, *arguments, "--json", str(file)]) == 0
    report: dict[str, Any] = json.loads(file.read_text())
    return report


def test_fit_omits_sizes_and_repeats_without_a_value() -> None:
    runs: list[dict[int, Values]] = [
        {size: {"x": value} for size, value in zip((1, 2, 3, 4), row, strict=True)}
        for row in ((2.0, 4.0, None, 8.0), (2.0, 4.0, None, 8.0), (9.0, 9.0, None, None))
    ]
    summary = summarize_series(Series("x", "ms", "description"), "backend", (1, 2, 3, 4), runs)
    assert summary["fit"]["slope"] == pytest.approx(2.0) and summary["fit_repeats"] == 2
    assert [format_values(summary["values"][size]) for size in "1234"] == ["2", "4", "-", "8 (2)"]


def test_every_series_has_values_and_a_fit_in_the_json_output(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(scale.measure_process, "SETTLE_S", 0.01)
    monkeypatch.setattr(scale.measure_process, "IDLE_S", 0.05)
    monkeypatch.setattr(scale.measure_process, "AFTER_DELTAS_S", 0.05)
    report = run_slopes(tmp_path)
    printed = capsys.readouterr().out
    for name in [series.name for measurement in MEASUREMENTS.values() for series in measurement.series]:
        (row,) = [row for row in report["series"] if row["name"] == name]
        assert len(row["values"]) == 2 and name in printed
        for values in row["values"].values():
            assert len(values) == 2 and None not in values
        assert row["fit"] is not None and row["unit"] and row["says"]
    assert report["notes"] == [] and set(report["not_measured"]) == {"routes", "services"}
    assert report["machine"]["revision"] and report["arguments"]["seed"] == 1


def test_byte_and_message_counts_are_equal_in_two_runs(tmp_path: Path) -> None:
    names = ("wire-list", "wire-change", "wire-watch", "messages")
    what = [part for name in names for part in ("--what", name)]
    first = run_slopes(tmp_path, *what)
    second = run_slopes(tmp_path, *what)
    assert first["series"] == second["series"]


def test_gossip_about_a_failing_backend_is_counted_per_message_and_receiver(tmp_path: Path) -> None:
    rows = {row["name"]: row["values"]["7"] for row in run_slopes(tmp_path, "--what", "messages")["series"]}
    assert all(messages > 0 for messages in rows["tells"])
    assert rows["datagrams"] == [6 * messages for messages in rows["tells"]]


def test_list_that_the_proxy_refuses_is_noted_and_has_no_values(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("scale.synthetic.snapshot_body", lambda revision, count: b"no list")
    report = run_slopes(tmp_path, "--what", "process")
    for row in report["series"]:
        assert {value for values in row["values"].values() for value in values} == {None}
    assert len(report["notes"]) == 1 and "not JSON" in report["notes"][0]
