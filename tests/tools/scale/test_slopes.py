"""The command `slopes` at tiny sizes. Nothing here rests on how fast anything is."""

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

TINY = ["--sizes", "10,20", "--repeats", "2", "--quiet"]
TINY += [part for axis in DEFAULT_SIZES if axis != "backend" for part in ("--counts", f"{axis}=5,7")]


def slopes(folder: Path, *arguments: str) -> dict[str, Any]:
    file = folder / "slopes.json"
    assert main(["slopes", *TINY, *arguments, "--json", str(file)]) == 0
    found: dict[str, Any] = json.loads(file.read_text())
    return found


def test_a_line_leaves_out_what_could_not_be_measured() -> None:
    runs: list[dict[int, Values]] = [
        {size: {"x": value} for size, value in zip((1, 2, 3, 4), row, strict=True)}
        for row in ((2.0, 4.0, None, 8.0), (2.0, 4.0, None, 8.0), (9.0, 9.0, None, None))
    ]
    found = summarize_series(Series("x", "ms", "a thing"), "backend", (1, 2, 3, 4), runs)
    assert found["fit"]["slope"] == pytest.approx(2.0) and found["fit_repeats"] == 2
    assert [format_values(found["values"][size]) for size in "1234"] == ["2", "4", "-", "8 (2)"]


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


def test_bytes_and_messages_are_the_same_in_two_runs(tmp_path: Path) -> None:
    names = ("wire-list", "wire-change", "wire-watch", "messages")
    what = [part for name in names for part in ("--what", name)]
    first = slopes(tmp_path, *what)
    second = slopes(tmp_path, *what)
    assert first["series"] == second["series"]


def test_gossip_about_one_failing_backend_is_counted(tmp_path: Path) -> None:
    rows = {row["name"]: row["values"]["7"] for row in slopes(tmp_path, "--what", "messages")["series"]}
    assert all(told > 0 for told in rows["tells"])
    assert rows["datagrams"] == [6 * told for told in rows["tells"]]


def test_a_list_that_the_proxy_refuses_is_noted_and_not_measured(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("scale.synthetic.snapshot_body", lambda revision, count: b"no list")
    found = slopes(tmp_path, "--what", "process")
    for row in found["series"]:
        assert {value for values in row["values"].values() for value in values} == {None}
    assert len(found["notes"]) == 1 and "not JSON" in found["notes"][0]
