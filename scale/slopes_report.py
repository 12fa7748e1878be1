"""The result of `slopes`: the values of each series, the lines through them, and their tables."""

from __future__ import annotations

from typing import Any

from scale import report
from scale.fit import fit
from scale.measurement import DEFAULT_SIZES, Series, Values

NOT_MEASURED = {
    "routes": "the program has none: a request's class, the first part of its path, is all that it looks up",
    "services": "the program has none beyond the classes; `memory-class` counts those",
}
EXPLANATION = (
    "A size's column holds the middle value. slope and intercept: least squares over all values; min,",
    "max and sd: of the slopes of single repeats; off: the largest distance of a middle value from the",
    "line, as a part of the largest middle value. Times are processor time, except the gaps. A number in",
    "brackets: so many repeats have a value there; the line is through the repeats that lack none.",
)
FIT_COLUMNS = ("slope", "min", "max", "sd", "intercept", "R2", "off")


def summarize_series(
    series: Series, axis: str, sizes: tuple[int, ...], repeats: list[dict[int, Values]]
) -> dict[str, Any]:
    """Return the raw values of one series and its line, as an object of the JSON.

    The line leaves out a size without any value, and then a repeat that lacks one; `fit_repeats` tells how
    many are left.
    """
    values = {size: [repeat[size][series.name] for repeat in repeats] for size in sizes}
    measured = [size for size in sizes if any(value is not None for value in values[size])]
    rows = [[repeat[size][series.name] for size in measured] for repeat in repeats]
    complete = [[value for value in row if value is not None] for row in rows if None not in row]
    line = fit(measured, complete) if len(measured) > 1 and complete else None
    return {
        "name": series.name,
        "unit": series.unit,
        "per": axis,
        "says": series.description,
        "values": {str(size): values[size] for size in sizes},
        "fit": line._asdict() if line else None,
        "fit_repeats": len(complete) if line else 0,
    }


def median_value(values: list[float | None]) -> float | None:
    """Return the upper median of what was measured; None if nothing was."""
    known = sorted(value for value in values if value is not None)
    return known[len(known) // 2] if known else None


def format_values(values: list[float | None]) -> str:
    """Format the median, with the number of values in brackets where some lack."""
    missing = sum(value is None for value in values)
    known = f" ({len(values) - missing})" if 0 < missing < len(values) else ""
    return report.format_figure(median_value(values)) + known


def format_fit(row: dict[str, Any]) -> list[str]:
    """Return the cells of a row's line, in the order of FIT_COLUMNS."""
    line = row["fit"]
    if line is None:
        return ["-"] * len(FIT_COLUMNS)
    medians = [median_value(values) for values in row["values"].values()]
    largest = max(abs(value) for value in medians if value is not None) or 1
    names = ("slope", "slope_min", "slope_max", "slope_sd", "intercept")
    cells = [report.format_figure(line[name]) for name in names]
    return [*cells, f"{line['r2']:.4f}", f"{line['worst'] / largest:.1%}"]


def format_axis_table(axis: str, rows: list[dict[str, Any]]) -> list[str]:
    """Return the lines of the table of what grows with `axis`, and what its rows mean."""
    sizes = list(rows[0]["values"])
    head = [f"per {axis}", "unit", *(f"at {int(size):,}" for size in sizes), *FIT_COLUMNS]
    cells = [
        [row["name"], row["unit"], *(format_values(row["values"][size]) for size in sizes), *format_fit(row)]
        for row in rows
    ]
    return ["", report.format_table(head, cells), *(f"  {row['name']}: {row['says']}" for row in rows)]


def format_report(data: dict[str, Any]) -> str:
    """Return what is printed: one table for each axis, and what could not be measured."""
    arguments = data["arguments"]
    lines = [
        f"{report.describe_run(data)}{arguments['repeats']} repeats, "
        f"one of {arguments['proxies']:,} proxies.",
        *EXPLANATION,
    ]
    for axis in DEFAULT_SIZES:
        rows = [row for row in data["series"] if row["per"] == axis]
        if rows:
            lines += format_axis_table(axis, rows)
    lines += ["", *data["notes"]]
    lines += [f"not measured, not in the program: {name}: {reason}" for name, reason in NOT_MEASURED.items()]
    return "\n".join(lines) + "\n"
