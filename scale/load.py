"""`load`: what a real proxy adds to a request, at several rates, and what it costs in processor time."""

from __future__ import annotations

import json
import subprocess
from contextlib import ExitStack
from typing import Any

import click
from hdrh.histogram import HdrHistogram

from dunecove.proxy.addresses import split_address
from scale import made, report
from scale.clients import histogram
from scale.measures import Trouble, child, child_json, end
from scale.proxy import Proxy
from scale.registry import Registry, nothing

TARGET_REQUESTS, TARGET_PROXIES = 4_500_000, 3400  # a second at the peak; of the size that is coming
TARGET_RATE = TARGET_REQUESTS / TARGET_PROXIES
ADDED_MS = 3.7  # that 99 in 100 requests may wait longer for the proxy
LOST_PART = 0.001  # of the requests may be refused or failed at a rate that counts as carried
WARM_S = 1.0  # s before that which is counted
DEADLINE_MS = 3000
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9}


def piped(module: str, *arguments: object) -> subprocess.Popen[str]:
    return subprocess.Popen(
        child(module, *arguments), stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )


def one_run(
    addresses: list[str], rate: float, seconds: float, seed: int, proxy: Proxy | None
) -> dict[str, Any]:
    """The clients' own report, with the proxy's processor time beside it."""
    clients = piped("clients")
    try:
        before, kept = (proxy.cpu_ms(), proxy.kept_ms()) if proxy else (0.0, 0.0)
        assert clients.stdin is not None
        plan = {"addresses": addresses, "rate": rate, "seconds": seconds, "warm_s": WARM_S, "seed": seed}
        clients.stdin.write(json.dumps(plan) + "\n")
        clients.stdin.flush()
        found: dict[str, Any] = child_json(clients)
    finally:
        end(clients)
    if not found["answered"]:
        raise Trouble(f"no answer at {rate:g} a second" + (f": {proxy.last_line()}" if proxy else ""))
    found["proxy_cpu_ms"] = proxy.cpu_ms() - before if proxy else None
    found["proxy_kept_ms"] = proxy.kept_ms() - kept if proxy else None
    for name in ("added", "late"):
        found[f"{name}_ms"] = percentiles(HdrHistogram.decode(found[name]))
    return found


def percentiles(of: Any) -> dict[str, float]:
    return {name: of.get_value_at_percentile(percent) / 1000 for name, percent in PERCENTILES.items()}


def through_proxy(
    listen: str, proxies: int, backends: list[str], rate: float, seconds: float, seed: int
) -> dict[str, Any]:
    known = [made.entry(number, endpoint=address) for number, address in enumerate(backends)]
    info = made.settings(proxies, deadline_ms=DEADLINE_MS)
    with ExitStack() as stack:
        registry = stack.enter_context(Registry(nothing(1)))
        proxy = stack.enter_context(Proxy(made.configuration(registry.address, listen, info, known)))
        return one_run([proxy.address], rate, seconds, seed, proxy)


def summary(rate: float, path: str, runs: list[dict[str, Any]], seconds: float) -> dict[str, Any]:
    """All repeats of one rate together, and the spread of p99 over them. Times in ms; cpu in us a request."""
    added, late = histogram(), histogram()
    for run in runs:
        added.add(HdrHistogram.decode(run["added"]))
        late.add(HdrHistogram.decode(run["late"]))
    total = {
        name: sum(run[name] for run in runs) for name in ("counted", "sent", "answered", "refused", "failed")
    }
    each = {
        name: sorted(
            run[name] * 1000 / run["answered"]
            for run in runs
            if run.get(name) is not None and run["answered"]
        )
        for name in ("proxy_cpu_ms", "proxy_kept_ms")
    }
    cpu, kept = each["proxy_cpu_ms"], each["proxy_kept_ms"]
    p99 = [run["added_ms"]["p99"] for run in runs]
    few = [{name: value for name, value in run.items() if name not in ("added", "late")} for run in runs]
    return {
        "rate": rate,
        "path": path,
        **total,
        "added_ms": percentiles(added),
        "late_ms": percentiles(late),
        "p99_min_ms": min(p99),
        "p99_max_ms": max(p99),
        "p99_within": sum(value <= ADDED_MS for value in p99),
        "cpu_us_each": cpu[len(cpu) // 2] if cpu else None,
        "kept_us_each": kept[len(kept) // 2] if kept else None,
        "core_part": sum(run["proxy_cpu_ms"] for run in runs) / 1000 / (seconds + WARM_S) / len(runs)
        if path == "proxy"
        else None,
        "histogram": added.encode().decode(),  # of what was added, in us
        "repeats": few,
    }


def carried(row: dict[str, Any]) -> bool:
    lost = row["refused"] + row["failed"]
    return bool(row["added_ms"]["p99"] <= ADDED_MS and lost <= LOST_PART * max(row["sent"], 1))


def verdict(rows: list[dict[str, Any]]) -> str:
    """One plain line, from the rows of the proxy and of the straight way. Where requests are late straight to
    the backends, too, it says that this run can't tell."""
    direct = {row["rate"]: row["added_ms"]["p99"] for row in rows if row["path"] == "direct"}
    proxied = sorted((row for row in rows if row["path"] == "proxy"), key=lambda row: float(row["rate"]))
    failing = next((row["rate"] for row in proxied if not carried(row)), None)
    best = max((row["rate"] for row in proxied if failing is None or row["rate"] < failing), default=None)
    late = failing is not None and direct.get(failing, 0.0) > ADDED_MS / 2
    carries = "no rate that was measured" if best is None else f"{best:g} requests a second"
    line = f"One core carries {carries} at {ADDED_MS} ms added at p99"
    if late:
        line += f"; of {failing:g} this run can't tell, as p99 straight to the backends is"
        line += f" {direct[failing]:.3f} ms"
    elif failing is not None:
        line += f", and not {failing:g}"
    line += f". The target's {TARGET_REQUESTS:,} / {TARGET_PROXIES:,} = {TARGET_RATE:,.0f} a second a proxy"
    if best is not None and best >= int(TARGET_RATE):
        line += " is within it."
    elif failing is not None and failing <= TARGET_RATE + 1 and not late:
        line += " is not within it."
    else:
        line += " lies beyond what was shown."
    used = min(proxied, key=lambda row: abs(float(row["rate"]) - TARGET_RATE))
    if used.get("core_part") is not None:
        line += f" At {used['rate']:g} a second the proxy used {used['core_part']:.0%} of a core."
    return line


def as_text(data: dict[str, Any]) -> str:
    made_on, given = data["machine"], data["arguments"]
    lines = [
        f"revision {made_on['revision']}, Python {made_on['python']}, {made_on['cpu']}, {made_on['cores']} "
        f"cores, load {made_on['load_1_min']} at the start; seed {given['seed']}, {given['repeats']} repeats "
        f"of {given['seconds']:g} s, {given['backends']} backends, {given['service_ms']:g} ms of service, "
        f"set up as one of {given['proxies']:,}.",
        "added: from when a request was due to its answer, less the service time that the backend tells, in",
        "ms, all repeats together; least and most: of single repeats' p99; within: repeats with p99 under",
        f"{ADDED_MS} ms; late: how late the tool itself sent, p99 in ms; cpu: the proxy's processor time,",
        "kept: its wait for a core that others had, both us a request (the middle repeat); core: the part of",
        "a core that it used. direct: the same clients, straight to the backends.",
        "",
    ]
    head = [
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
    ]
    cells = []
    for row in data["rows"]:
        added = [f"{row['added_ms'][name]:.3f}" for name in PERCENTILES]
        core = "-" if row["core_part"] is None else f"{row['core_part']:.1%}"
        tails = [f"{row['p99_min_ms']:.3f}", f"{row['p99_max_ms']:.3f}"]
        tails += [f"{row['p99_within']} of {given['repeats']}", f"{row['late_ms']['p99']:.3f}"]
        used = [report.figure(row[name]) for name in ("cpu_us_each", "kept_us_each")]
        lost = [str(row["refused"]), str(row["failed"])]
        name = f"{row['rate']:g} {row['path']}"
        cells.append([name, f"{row['answered']:,}", *added, *tails, *used, core, *lost])
    return "\n".join([*lines, report.table(head, cells), "", data["verdict"]]) + "\n"


def rates_of(text: str) -> list[float]:
    try:
        found = [float(part) for part in text.split(",")]
    except ValueError:
        found = []
    if not found or not all(0 < rate <= 100_000 for rate in found):
        raise click.BadParameter(
            f"{text!r} is not a list of numbers above 0, 100000 at most", param_hint="--rates"
        )
    return sorted(set(found))


def check_address(_: click.Context, __: click.Parameter, value: str) -> str:
    try:
        split_address(value)
    except ValueError as error:
        raise click.BadParameter(str(error)) from None
    return value


@click.command()
@click.option("--rates", default="100,500,1000,1324,1500,2000", show_default=True, help="Requests a second.")
@click.option(
    "--seconds", type=click.FloatRange(0.1), default=10.0, show_default=True, help="Of each repeat."
)
@click.option("--backends", type=click.IntRange(1, 200), default=20, show_default=True)
@click.option("--service-ms", type=click.FloatRange(0, 1000), default=5.0, show_default=True)
@click.option("--repeats", type=click.IntRange(1), default=5, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--proxies",
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help="As one of how many the proxy is set up; it runs alone.",
)
@click.option(
    "--listen",
    default="127.0.0.1:0",
    show_default=True,
    callback=check_address,
    help="Where the proxy listens.",
)
@click.option("--json", "json_file", metavar="FILE", help="Save all values, and a histogram for each row.")
@click.option("--table", "table_file", metavar="FILE", help="Save what is printed.")
@click.option("--quiet", is_flag=True, help="No progress on standard error.")
def load(
    rates: str,
    seconds: float,
    backends: int,
    service_ms: float,
    repeats: int,
    seed: int,
    proxies: int,
    listen: str,
    json_file: str | None,
    table_file: str | None,
    quiet: bool,
) -> None:
    """Send requests through one real proxy to hollow backends, and straight to these."""
    wanted = rates_of(rates)
    for file in (json_file, table_file):
        report.save(file, "")
    machine = report.machine()
    runs: dict[tuple[float, str], list[dict[str, Any]]] = {}
    hollow = piped("hollow", backends, service_ms)
    try:
        addresses: list[str] = child_json(hollow)
        for repeat in range(repeats):
            for rate in wanted:
                direct = one_run(addresses, rate, seconds, seed + repeat, None)
                proxied = through_proxy(listen, proxies, addresses, rate, seconds, seed + repeat)
                runs.setdefault((rate, "direct"), []).append(direct)
                runs.setdefault((rate, "proxy"), []).append(proxied)
                if not quiet:
                    p99 = " and ".join(f"{run['added_ms']['p99']:.3f}" for run in (proxied, direct))
                    click.echo(
                        f"repeat {repeat + 1} of {repeats}: {rate:g} a second, p99 through the proxy and "
                        f"straight {p99} ms",
                        err=True,
                    )
    finally:
        end(hollow)
    rows = [summary(rate, path, found, seconds) for (rate, path), found in runs.items()]
    data = {
        "machine": machine,
        "arguments": {
            "rates": wanted,
            "seconds": seconds,
            "backends": backends,
            "service_ms": service_ms,
            "repeats": repeats,
            "seed": seed,
            "proxies": proxies,
        },
        "target_rate": TARGET_RATE,
        "rows": rows,
        "verdict": verdict(rows),
    }
    text = as_text(data)
    click.echo(text, nl=False)
    report.save(table_file, text)
    report.save(json_file, report.as_json(data))
