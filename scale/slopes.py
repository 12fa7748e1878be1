"""The command `slopes`: runs each measurement at several sizes and fits a line through the values."""

from __future__ import annotations

import time
from importlib import import_module
from typing import Any

import click

from scale import report
from scale.measurement import (
    DEFAULT_SIZES,
    MEASUREMENTS,
    NOTES,
    Measurement,
    MeasurementError,
    RunParameters,
    Values,
)
from scale.slopes_report import NOT_MEASURED, format_report, summarize_series

Sizes = dict[str, tuple[int, ...]]  # by axis

# Importing a module registers its measurements; the report follows this order.
for module in ("memory", "gossip", "balancer", "process", "discovery"):
    import_module(f"scale.measure_{module}")


def parse_sizes(text: str, option: str) -> tuple[int, ...]:
    """Return two or more distinct sizes in ascending order; raise BadParameter for an invalid list."""
    try:
        sizes = {int(part) for part in text.split(",")}
    except ValueError:
        sizes = set()
    if len(sizes) < 2 or min(sizes) < 1:
        raise click.BadParameter(
            f"{text!r} is not a list of two or more different whole numbers of at least 1", param_hint=option
        )
    return tuple(sorted(sizes))


def parse_axes(sizes: str, counts: tuple[str, ...]) -> Sizes:
    """Return the sizes by axis, from --sizes, --counts and the defaults; raise BadParameter if invalid."""
    parsed = DEFAULT_SIZES | {"backend": parse_sizes(sizes, "--sizes")}
    for text in counts:
        axis, equals, axis_sizes = text.partition("=")
        if axis not in DEFAULT_SIZES or not equals:
            names = ", ".join(DEFAULT_SIZES)
            raise click.BadParameter(
                f"{text!r} is not NAME=N,N where NAME is one of {names}", param_hint="--counts"
            )
        parsed[axis] = parse_sizes(axis_sizes, "--counts")
    return parsed


def select_measurements(names: tuple[str, ...]) -> list[Measurement]:
    """Return the named measurements, or all if no names are given; raise MeasurementError if unknown."""
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        raise MeasurementError(
            f"unknown measurement {unknown[0]!r}; available measurements: {', '.join(MEASUREMENTS)}"
        )
    return [measurement for name, measurement in MEASUREMENTS.items() if not names or name in names]


def run_repeats(
    measurements: list[Measurement], sizes: Sizes, proxies: int, repeats: int, seed: int, quiet: bool
) -> dict[str, list[dict[int, Values]]]:
    """Run all measurements once per repeat, so that temporary load on the machine affects all of them alike.

    Return the values of each repeat, by the measurement's name.
    """
    results: dict[str, list[dict[int, Values]]] = {measurement.name: [] for measurement in measurements}
    for repeat in range(repeats):
        parameters = RunParameters(proxies, seed + repeat)
        for measurement in measurements:
            started_at = time.monotonic()
            values = {size: measurement.run(parameters, size) for size in sizes[measurement.axis]}
            results[measurement.name].append(values)
            if not quiet:
                took_s = time.monotonic() - started_at
                click.echo(f"repeat {repeat + 1} of {repeats}: {measurement.name}, {took_s:.1f} s", err=True)
    return results


def summarize(
    measurements: list[Measurement], sizes: Sizes, results: dict[str, list[dict[int, Values]]]
) -> list[dict[str, Any]]:
    """Return one JSON object per series, in the order of the measurements."""
    return [
        summarize_series(series, measurement.axis, sizes[measurement.axis], results[measurement.name])
        for measurement in measurements
        for series in measurement.series
    ]


@click.command()
@click.option("--what", multiple=True, metavar="NAME", help="Run only this measurement (repeatable).")
@click.option("--sizes", default="1000,10000,150000", show_default=True, help="Numbers of backends.")
@click.option(
    "--counts",
    multiple=True,
    metavar="NAME=N,N",
    help=f"Sizes along another axis: {', '.join(list(DEFAULT_SIZES)[1:])}.",
)
@click.option(
    "--proxies", type=click.IntRange(1), default=3400, show_default=True, help="Proxies in the tier."
)
@click.option("--repeats", type=click.IntRange(1), default=5, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--json", "json_file", metavar="FILE", help="Save all values and fits.")
@click.option("--table", "table_file", metavar="FILE", help="Save the printed report.")
@click.option("--quiet", is_flag=True, help="Print no progress on standard error.")
def slopes(
    what: tuple[str, ...],
    sizes: str,
    counts: tuple[str, ...],
    proxies: int,
    repeats: int,
    seed: int,
    json_file: str | None,
    table_file: str | None,
    quiet: bool,
) -> None:
    """Measure costs at several sizes, and fit a line through the values of each series."""
    measurements = select_measurements(what)
    axes = parse_axes(sizes, counts)
    report.check_writable(json_file, table_file)
    machine = report.describe_machine()
    NOTES.clear()
    results = run_repeats(measurements, axes, proxies, repeats, seed, quiet)
    data = {
        "machine": machine,
        "arguments": {
            "what": [measurement.name for measurement in measurements],
            "proxies": proxies,
            "repeats": repeats,
            "seed": seed,
            "sizes": {measurement.axis: axes[measurement.axis] for measurement in measurements},
        },
        "series": summarize(measurements, axes, results),
        "notes": list(NOTES),
        "not_measured": NOT_MEASURED,
    }
    text = format_report(data)
    click.echo(text, nl=False)
    report.save_text(table_file, text)
    report.save_json(json_file, data)
