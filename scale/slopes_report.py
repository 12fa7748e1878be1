"""The report of `slopes`: the values of each series, the fitted lines and the tables."""

from __future__ import annotations

from typing import Any

from scale import report
from scale.fit import fit
from scale.measurement import DEFAULT_SIZES, Series, Values

NOT_MEASURED = {
    "routes": "the proxy has no routes: it only looks up the request class, the first segment of the path",
    "services": "the proxy has no services other than request classes, which `memory-class` measures",
}
EXPLANATION = (
    "The column of a size holds the median. slope and intercept: least squares over all values; min, max",
    "and sd: over the slopes of single repeats; off: the largest distance of a median from the line, as a",
    "share of the largest median. Times are processor time, except for the gaps. A number in parentheses:",
    "repeats that have a value at that size; the line is fitted to the repeats that have all values.",
)
FIT_COLUMNS = ("slope", "min", "max", "sd", "intercept", "R2", "off")


def summarize_series(
    series: Series, axis: str, sizes: tuple[int, ...], repeats: list[dict[int, Values]]
) -> dict[str, Any]:
    """Return the values of one series and the line through them, as an object of the JSON output.

    The fit omits sizes without any value, then repeats that lack a value at another size; `fit_repeats` is
    the number of remaining repeats.
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
    """Return the upper median of the values that are not None; None if there are none."""
    known = sorted(value for value in values if value is not None)
    return known[len(known) // 2] if known else None


def format_values(values: list[float | None]) -> str:
    """Return the median, followed by the number of values in parentheses if some are missing."""
    missing = sum(value is None for value in values)
    known = f" ({len(values) - missing})" if 0 < missing < len(values) else ""
    return report.format_figure(median_value(values)) + known


def format_fit(row: dict[str, Any]) -> list[str]:
    """Return the cells on the fitted line of a row, in the order of FIT_COLUMNS."""
    line = row["fit"]
    if line is None:
        return ["-"] * len(FIT_COLUMNS)
    medians = [median_value(values) for values in row["values"].values()]
    largest = max(abs(value) for value in medians if value is not None) or 1
    names = ("slope", "slope_min", "slope_max", "slope_sd", "intercept")
    cells = [report.format_figure(line[name]) for name in names]
    return [*cells, f"{line['r2']:.4f}", f"{line['worst'] / largest:.1%}"]


def format_axis_table(axis: str, rows: list[dict[str, Any]]) -> list[str]:
    """Return the lines of the table for `axis`, followed by the descriptions of its rows."""
    sizes = list(rows[0]["values"])
    head = [f"per {axis}", "unit", *(f"at {int(size):,}" for size in sizes), *FIT_COLUMNS]
    cells = [
        [row["name"], row["unit"], *(format_values(row["values"][size]) for size in sizes), *format_fit(row)]
        for row in rows
    ]
    return ["", report.format_table(head, cells), *(f"  {row['name']}: {row['says']}" for row in rows)]


def format_report(data: dict[str, Any]) -> str:
    """Return the printed report: a table per axis, and notes on what could not be measured."""
    arguments = data["arguments"]
    lines = [
        f"{report.describe_run(data)}{arguments['repeats']} repeats, "
        f"proxy configured as one of {arguments['proxies']:,}.",
        *EXPLANATION,
    ]
    for axis in DEFAULT_SIZES:
        rows = [row for row in data["series"] if row["per"] == axis]
        if rows:
            lines += format_axis_table(axis, rows)
    lines += ["", *data["notes"]]
    lines += [f"not measured: {name}: {reason}" for name, reason in NOT_MEASURED.items()]
    return "\n".join(lines) + "\n"
