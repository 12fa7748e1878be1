"""The report of `load`: merged results of the repeats, the rate that one core sustains, and the table."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from scale import report
from scale.load_clients import create_histogram

TARGET_REQUESTS = 4_500_000  # peak requests per second of the whole deployment
TARGET_PROXIES = 3400
TARGET_RATE = TARGET_REQUESTS / TARGET_PROXIES
MAX_ADDED_MS = 3.7  # maximum added latency at p99 at which a rate counts as sustained
# Maximum share of rejected and failed requests at which a rate counts as sustained.
MAX_UNSERVED_SHARE = 0.001
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9}
COUNTS = ("counted", "sent", "answered", "refused", "failed")
HISTOGRAMS = ("added", "late")
COLUMN_HEADINGS = (
    "rate/s, path",
    "answered",
    "added p50",
    "p99",
    "p99.9",
    "p99 min",
    "max",
    "within",
    "late p99",
    "cpu",
    "cpu wait",
    "core",
    "rejected",
    "failed",
)
EXPLANATION = (
    "added: ms from the scheduled time of a request to its response, minus the service time that the backend",
    "reported, over all repeats; min, max: p99 of single repeats; within: number of repeats with p99 up to",
    f"{MAX_ADDED_MS} ms; late: p99 of the ms from the scheduled to the actual sending; cpu, cpu wait:",
    "time that the proxy used or waited for a core, us per answered request (median of repeats); core: share",
    "of a core that the proxy used; rejected: status 429 or 503. direct: the same clients without the proxy.",
    "",
)


def percentiles_ms(histogram: Any) -> dict[str, float]:
    """Return the reported percentiles (ms) of a histogram in us."""
    return {name: histogram.get_value_at_percentile(percent) / 1000 for name, percent in PERCENTILES.items()}


def merge_histograms(runs: list[dict[str, Any]], name: str) -> Any:
    """Return the merged histogram `name` of all runs."""
    merged = create_histogram()
    for run in runs:
        merged.add(HdrHistogram.decode(run[name]))
    return merged


def median_us_per_request(runs: list[dict[str, Any]], name: str) -> float | None:
    """Return the upper median over the runs of the time `name` (ms), in us per answered request.

    Return None if no run has that time.
    """
    times = sorted(
        run[name] * 1000 / run["answered"] for run in runs if run.get(name) is not None and run["answered"]
    )
    return times[len(times) // 2] if times else None


def summarize_runs(rate: float, path: str, runs: list[dict[str, Any]], run_s: float) -> dict[str, Any]:
    """Return a row of the JSON output: the merged repeats of one rate and path, and the range of their p99.

    `path` is `proxy` or `direct`. Times are in ms, except for the histogram (us) and the `..._us_each` values
    (us per answered request). `run_s` is the length of a run, including the warm-up.
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


def is_sustained(row: dict[str, Any]) -> bool:
    """Return whether the proxy sustained the rate of this row within the latency and error limits."""
    unserved = row["refused"] + row["failed"]
    return bool(
        row["added_ms"]["p99"] <= MAX_ADDED_MS and unserved <= MAX_UNSERVED_SHARE * max(row["sent"], 1)
    )


def format_verdict(rows: list[dict[str, Any]]) -> str:
    """Return one line on the rates that the proxy sustained, from the rows with and without the proxy.

    If the direct p99 at the lowest failing rate is above half of the limit, that rate is called inconclusive.
    """
    direct_ms = {row["rate"]: row["added_ms"]["p99"] for row in rows if row["path"] == "direct"}
    proxied = sorted((row for row in rows if row["path"] == "proxy"), key=lambda row: float(row["rate"]))
    failing = next((row["rate"] for row in proxied if not is_sustained(row)), None)
    best = max((row["rate"] for row in proxied if failing is None or row["rate"] < failing), default=None)
    is_unclear = failing is not None and direct_ms.get(failing, 0.0) > MAX_ADDED_MS / 2
    sustained = "no measured rate" if best is None else f"{best:g} requests per second"
    line = f"One core sustains {sustained} at {MAX_ADDED_MS} ms added at p99"
    if is_unclear:
        line += f"; {failing:g} is inconclusive in this run, since without the proxy the added p99 is"
        line += f" {direct_ms[failing]:.3f} ms"
    elif failing is not None:
        line += f", but not {failing:g}"
    line += f". {compare_with_target(best, None if is_unclear else failing)}"
    nearest = min(proxied, key=lambda row: abs(float(row["rate"]) - TARGET_RATE))
    if nearest.get("core_part") is not None:
        line += f" At {nearest['rate']:g} per second the proxy used {nearest['core_part']:.0%} of a core."
    return line


def compare_with_target(best: float | None, failing: float | None) -> str:
    """Return a sentence that compares the target with the best sustained and the first failing rate."""
    target = (
        f"The target of {TARGET_REQUESTS:,} / {TARGET_PROXIES:,} = {TARGET_RATE:,.0f} per second per proxy"
    )
    # Rates within 1 of the target count as the target, so that it can be given rounded to a whole number.
    if best is not None and best >= int(TARGET_RATE):
        return f"{target} is met."
    if failing is not None and failing <= TARGET_RATE + 1:
        return f"{target} is not met."
    return f"{target} is neither confirmed nor refuted."


def format_row(row: dict[str, Any], repeats: int) -> list[str]:
    """Return the cells of a row, in the order of COLUMN_HEADINGS."""
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
    """Return the printed report."""
    arguments = data["arguments"]
    lines = [
        f"{report.describe_run(data)}{arguments['repeats']} repeats "
        f"of {arguments['seconds']:g} s, {arguments['backends']} backends, "
        f"{arguments['service_ms']:g} ms service time, proxy configured as one of {arguments['proxies']:,}.",
        *EXPLANATION,
    ]
    cells = [format_row(row, arguments["repeats"]) for row in data["rows"]]
    return "\n".join([*lines, report.format_table(COLUMN_HEADINGS, cells), "", data["verdict"]]) + "\n"
