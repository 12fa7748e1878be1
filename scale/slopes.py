"""`slopes`: each measurement at each size and repeat, and the line through them."""

from __future__ import annotations

import time
from typing import Any

import click

# The modules of measurements: importing them puts these into the register.
import scale.memory
import scale.messages
import scale.module
import scale.process
import scale.wire  # noqa: F401
from scale import report
from scale.fit import fit
from scale.measures import AXES, MEASURES, NOTES, Measure, Plan, Series, Trouble, Values

ABSENT = {
    "routes": "the program has none: a request's class, the first part of its path, is all that it looks up",
    "services": "the program has none beyond the classes; `memory-class` counts those",
}


def numbers(text: str, option: str) -> tuple[int, ...]:
    """Whole numbers from 1 on, two of them at least. BadParameter names the option."""
    try:
        found = tuple(int(part) for part in text.split(","))
    except ValueError:
        found = ()
    if len(set(found)) < 2 or min(found) < 1:
        raise click.BadParameter(
            f"{text!r} is not a list of two or more different whole numbers, 1 or more", param_hint=option
        )
    return tuple(sorted(set(found)))


def axes(sizes: str, counts: tuple[str, ...]) -> dict[str, tuple[int, ...]]:
    found = AXES | {"backend": numbers(sizes, "--sizes")}
    for text in counts:
        axis, equals, rest = text.partition("=")
        if axis not in AXES or not equals:
            names = ", ".join(AXES)
            raise click.BadParameter(f"{text!r} is not NAME=N,N with one of {names}", param_hint="--counts")
        found[axis] = numbers(rest, "--counts")
    return found


def run_all(
    chosen: list[Measure], at: dict[str, tuple[int, ...]], proxies: int, repeats: int, seed: int, quiet: bool
) -> dict[str, list[dict[int, Values]]]:
    """Repeat by repeat, so that a spell of other work on the machine falls on all of them alike."""
    found: dict[str, list[dict[int, Values]]] = {measure.name: [] for measure in chosen}
    for repeat in range(repeats):
        for measure in chosen:
            start = time.monotonic()
            values = {size: measure.run(Plan(proxies, seed + repeat), size) for size in at[measure.axis]}
            found[measure.name].append(values)
            if not quiet:
                took = time.monotonic() - start
                click.echo(f"repeat {repeat + 1} of {repeats}: {measure.name}, {took:.1f} s", err=True)
    return found


def summary(
    series: Series, axis: str, sizes: tuple[int, ...], runs: list[dict[int, Values]]
) -> dict[str, Any]:
    """The raw values of one series and its line. The line leaves out a size without any value, and then a
    repeat that lacks one; `fit_repeats` tells how many are left."""
    values = {size: [run[size][series.name] for run in runs] for size in sizes}
    some = [size for size in sizes if any(value is not None for value in values[size])]
    rows = [[run[size][series.name] for size in some] for run in runs]
    whole = [[value for value in row if value is not None] for row in rows if None not in row]
    entry: dict[str, Any] = {"name": series.name, "unit": series.unit, "per": axis, "says": series.says}
    entry["values"] = {str(size): values[size] for size in sizes}
    entry["fit"] = fit(some, whole)._asdict() if len(some) > 1 and whole else None
    entry["fit_repeats"] = len(whole) if entry["fit"] else 0
    return entry


def middle(values: list[float | None]) -> float | None:
    known = sorted(value for value in values if value is not None)
    return known[len(known) // 2] if known else None


def cell(values: list[float | None]) -> str:
    missing = sum(value is None for value in values)
    few = f" ({len(values) - missing})" if 0 < missing < len(values) else ""
    return report.figure(middle(values)) + few


def as_text(data: dict[str, Any]) -> str:
    """The printed tables, one for each axis."""
    made_on = data["machine"]
    lines = [
        f"revision {made_on['revision']}, Python {made_on['python']}, {made_on['cpu']}, {made_on['cores']} "
        f"cores, load {made_on['load_1_min']} at the start; seed {data['arguments']['seed']}, "
        f"{data['arguments']['repeats']} repeats, one of {data['arguments']['proxies']:,} proxies.",
        "A size's column holds the middle value. slope and intercept: least squares over all values; min,",
        "max and sd: of the slopes of single repeats; off: the largest distance of a middle value from the",
        "line, as a part of the largest middle value. Times are processor time, except the gaps. A number in",
        "brackets: so many repeats have a value there; the line is through the repeats that lack none.",
    ]
    for axis in AXES:
        rows = [one for one in data["series"] if one["per"] == axis]
        if not rows:
            continue
        sizes = list(rows[0]["values"])
        head = [
            f"per {axis}",
            "unit",
            *(f"at {int(size):,}" for size in sizes),
            "slope",
            "min",
            "max",
            "sd",
            "intercept",
            "R2",
            "off",
        ]
        cells = []
        for row in rows:
            middles = [middle(row["values"][size]) for size in sizes]
            line = [row["name"], row["unit"], *(cell(row["values"][size]) for size in sizes)]
            if row["fit"] is None:
                line += ["-"] * 7
            else:
                of = row["fit"]
                top = max(abs(value) for value in middles if value is not None) or 1
                line += [report.figure(of[name]) for name in ("slope", "slope_min", "slope_max", "slope_sd")]
                line += [report.figure(of["intercept"]), f"{of['r2']:.4f}", f"{of['worst'] / top:.1%}"]
            cells.append(line)
        lines += ["", report.table(head, cells)]
        lines += [f"  {row['name']}: {row['says']}" for row in rows]
    lines += ["", *data["notes"]]
    lines += [*(f"not measured, not in the program: {name}: {why}" for name, why in ABSENT.items())]
    return "\n".join(lines) + "\n"


@click.command()
@click.option("--what", multiple=True, metavar="NAME", help="Only this measurement; may be given again.")
@click.option("--sizes", default="1000,10000,150000", show_default=True, help="Numbers of backends.")
@click.option(
    "--counts",
    multiple=True,
    metavar="NAME=N,N",
    help=f"Sizes of something else: {', '.join(list(AXES)[1:])}.",
)
@click.option("--proxies", type=click.IntRange(1), default=3400, show_default=True, help="In the whole tier.")
@click.option("--repeats", type=click.IntRange(1), default=5, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--json", "json_file", metavar="FILE", help="Save all values and fits.")
@click.option("--table", "table_file", metavar="FILE", help="Save what is printed.")
@click.option("--quiet", is_flag=True, help="No progress on standard error.")
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
    """Measure what each thing costs at several sizes, and fit a line through it."""
    unknown = [name for name in what if name not in MEASURES]
    if unknown:
        raise Trouble(f"no measurement {unknown[0]!r}; there are {', '.join(MEASURES)}")
    at = axes(sizes, counts)
    chosen = [measure for name, measure in MEASURES.items() if not what or name in what]
    for file in (json_file, table_file):  # found out now, not after the measurement
        report.save(file, "")
    machine = report.machine()
    NOTES.clear()
    found = run_all(chosen, at, proxies, repeats, seed, quiet)
    data = {
        "machine": machine,
        "arguments": {
            "what": [measure.name for measure in chosen],
            "proxies": proxies,
            "repeats": repeats,
            "seed": seed,
            "sizes": {measure.axis: at[measure.axis] for measure in chosen},
        },
        "series": [
            summary(series, measure.axis, at[measure.axis], found[measure.name])
            for measure in chosen
            for series in measure.series
        ],
        "notes": list(NOTES),
        "not_measured": ABSENT,
    }
    text = as_text(data)
    click.echo(text, nl=False)
    report.save(table_file, text)
    report.save(json_file, report.as_json(data))
