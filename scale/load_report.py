"""The result of `load`: all repeats of a rate together, what one core carries, and the table."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from scale import report
from scale.load_clients import create_histogram

TARGET_REQUESTS = 4_500_000  # a second at the peak, over the whole deployment
TARGET_PROXIES = 3400
TARGET_RATE = TARGET_REQUESTS / TARGET_PROXIES
MAX_ADDED_MS = 3.7  # that 99 in 100 requests may wait longer for the proxy
MAX_LOST_SHARE = 0.001  # of the requests may be rejected or failed at a rate that counts as carried
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9}
COUNTS = ("counted", "sent", "answered", "refused", "failed")
HISTOGRAMS = ("added", "late")
HEAD = (
    "rate/s",
    "answered",
    "added p50",
    "p99",
    "p99.9",
    "p99 least",
    "most",
    "within",
    "late p99",
    "cpu",
    "kept",
    "core",
    "refused",
    "failed",
)
EXPLANATION = (
    "added: from when a request was due to its answer, less the service time that the backend tells, in",
    "ms, all repeats together; least and most: of single repeats' p99; within: repeats with p99 under",
    f"{MAX_ADDED_MS} ms; late: how late the tool itself sent, p99 in ms; cpu: the proxy's processor time,",
    "kept: its wait for a core that others had, both us a request (the middle repeat); core: the part of",
    "a core that it used. direct: the same clients, straight to the backends.",
    "",
)


def percentiles_ms(histogram: Any) -> dict[str, float]:
    """Return the reported percentiles of a histogram of us, in ms."""
    return {name: histogram.get_value_at_percentile(percent) / 1000 for name, percent in PERCENTILES.items()}


def merge_histograms(runs: list[dict[str, Any]], name: str) -> Any:
    """Return all repeats' histograms of that name together."""
    merged = create_histogram()
    for run in runs:
        merged.add(HdrHistogram.decode(run[name]))
    return merged


def median_us_per_request(runs: list[dict[str, Any]], name: str) -> float | None:
    """Return the upper median over the repeats of a time in ms, as us a request; None if none has it."""
    times = sorted(
        run[name] * 1000 / run["answered"] for run in runs if run.get(name) is not None and run["answered"]
    )
    return times[len(times) // 2] if times else None


def summarize_runs(rate: float, path: str, runs: list[dict[str, Any]], run_s: float) -> dict[str, Any]:
    """Return a row of the JSON: all repeats of one rate together, and the spread of p99 over them.

    Times are in ms, but `..._us_each` in us a request. `run_s` is the length of a run, warm-up included.
    """
    added = merge_histograms(runs, "added")
    late = merge_histograms(runs, "late")
    p99s_ms = [run["added_ms"]["p99"] for run in runs]
    core_share = None
    if path == "proxy":
        core_share = sum(run["proxy_cpu_ms"] for run in runs) / 1000 / run_s / len(runs)
    return {
        "rate": rate,
        "path": path,
        **{name: sum(run[name] for run in runs) for name in COUNTS},
        "added_ms": percentiles_ms(added),
        "late_ms": percentiles_ms(late),
        "p99_min_ms": min(p99s_ms),
        "p99_max_ms": max(p99s_ms),
        "p99_within": sum(value <= MAX_ADDED_MS for value in p99s_ms),
        "cpu_us_each": median_us_per_request(runs, "proxy_cpu_ms"),
        "kept_us_each": median_us_per_request(runs, "proxy_kept_ms"),
        "core_part": core_share,
        "histogram": added.encode().decode(),  # in us
        "repeats": [{name: value for name, value in run.items() if name not in HISTOGRAMS} for run in runs],
    }


def is_carried(row: dict[str, Any]) -> bool:
    """Whether the proxy kept up with the rate of this row."""
    lost = row["refused"] + row["failed"]
    return bool(row["added_ms"]["p99"] <= MAX_ADDED_MS and lost <= MAX_LOST_SHARE * max(row["sent"], 1))


def verdict(rows: list[dict[str, Any]]) -> str:
    """Return one plain line on the rates that were carried, from the rows of both paths.

    Where requests are late straight to the backends, too, it says that this run can't tell.
    """
    direct_ms = {row["rate"]: row["added_ms"]["p99"] for row in rows if row["path"] == "direct"}
    proxied = sorted((row for row in rows if row["path"] == "proxy"), key=lambda row: float(row["rate"]))
    failing = next((row["rate"] for row in proxied if not is_carried(row)), None)
    best = max((row["rate"] for row in proxied if failing is None or row["rate"] < failing), default=None)
    is_unclear = failing is not None and direct_ms.get(failing, 0.0) > MAX_ADDED_MS / 2
    carried = "no rate that was measured" if best is None else f"{best:g} requests a second"
    line = f"One core carries {carried} at {MAX_ADDED_MS} ms added at p99"
    if is_unclear:
        line += f"; of {failing:g} this run can't tell, as p99 straight to the backends is"
        line += f" {direct_ms[failing]:.3f} ms"
    elif failing is not None:
        line += f", and not {failing:g}"
    line += f". {compare_with_target(best, None if is_unclear else failing)}"
    nearest = min(proxied, key=lambda row: abs(float(row["rate"]) - TARGET_RATE))
    if nearest.get("core_part") is not None:
        line += f" At {nearest['rate']:g} a second the proxy used {nearest['core_part']:.0%} of a core."
    return line


def compare_with_target(best: float | None, failing: float | None) -> str:
    """Say how the target lies to the best rate that was carried and the first that surely was not."""
    target = f"The target's {TARGET_REQUESTS:,} / {TARGET_PROXIES:,} = {TARGET_RATE:,.0f} a second a proxy"
    if best is not None and best >= int(TARGET_RATE):
        return f"{target} is within it."
    if failing is not None and failing <= TARGET_RATE + 1:
        return f"{target} is not within it."
    return f"{target} lies beyond what was shown."


def format_row(row: dict[str, Any], repeats: int) -> list[str]:
    """Return the cells of a row, in the order of HEAD."""
    return [
        f"{row['rate']:g} {row['path']}",
        f"{row['answered']:,}",
        *(f"{row['added_ms'][name]:.3f}" for name in PERCENTILES),
        f"{row['p99_min_ms']:.3f}",
        f"{row['p99_max_ms']:.3f}",
        f"{row['p99_within']} of {repeats}",
        f"{row['late_ms']['p99']:.3f}",
        report.format_figure(row["cpu_us_each"]),
        report.format_figure(row["kept_us_each"]),
        "-" if row["core_part"] is None else f"{row['core_part']:.1%}",
        str(row["refused"]),
        str(row["failed"]),
    ]


def format_report(data: dict[str, Any]) -> str:
    """Return what is printed."""
    arguments = data["arguments"]
    lines = [
        f"{report.describe_run(data)}{arguments['repeats']} repeats "
        f"of {arguments['seconds']:g} s, {arguments['backends']} backends, "
        f"{arguments['service_ms']:g} ms of service, set up as one of {arguments['proxies']:,}.",
        *EXPLANATION,
    ]
    cells = [format_row(row, arguments["repeats"]) for row in data["rows"]]
    return "\n".join([*lines, report.format_table(HEAD, cells), "", data["verdict"]]) + "\n"
