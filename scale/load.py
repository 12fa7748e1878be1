"""The command `load`: measures the latency and processor time that a real proxy adds at several rates."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import asdict, dataclass, replace
from typing import Any

import click
from hdrh.histogram import HdrHistogram

from dunecove.proxy.addresses import split_address
from scale import report, synthetic
from scale.child_process import ChildProcess
from scale.load_clients import LoadPlan, encode_plan
from scale.load_report import (
    HISTOGRAMS,
    TARGET_RATE,
    format_report,
    format_verdict,
    percentiles_ms,
    summarize_runs,
)
from scale.measurement import MeasurementError
from scale.proxy_process import ProxyProcess
from scale.stub_discovery import StubDiscovery

WARM_UP_S = 1.0  # period at the start of each run in which no latencies are recorded
DEADLINE_MS = 3000
MAX_RATE = 100_000

Runs = dict[tuple[float, str], list[dict[str, Any]]]  # results of each repeat, by rate and path


@dataclass(frozen=True)
class RunPlan:
    """The arguments that the results depend on; the field names are keys in the JSON output."""

    rates: list[float]
    seconds: float
    backends: int
    service_ms: float
    repeats: int
    seed: int
    proxies: int


def run_clients(plan: LoadPlan, proxy: ProxyProcess | None) -> dict[str, Any]:
    """Run the clients and return their results, together with the proxy's processor time.

    Raise MeasurementError if no request was answered.
    """
    with ChildProcess("load_clients") as clients:
        cpu_ms = proxy.cpu_ms() if proxy else 0.0
        cpu_wait_ms = proxy.cpu_wait_ms() if proxy else 0.0
        clients.write_line(encode_plan(plan))
        results: dict[str, Any] = clients.read_json()
    if not results["answered"]:
        log_line = f": {proxy.last_log_line()}" if proxy else ""
        raise MeasurementError(f"no request was answered at {plan.rate:g} requests per second{log_line}")
    results["proxy_cpu_ms"] = proxy.cpu_ms() - cpu_ms if proxy else None
    results["proxy_kept_ms"] = proxy.cpu_wait_ms() - cpu_wait_ms if proxy else None
    for name in HISTOGRAMS:
        results[f"{name}_ms"] = percentiles_ms(HdrHistogram.decode(results[name]))
    return results


def run_through_proxy(clients: LoadPlan, listen: str, proxies: int) -> dict[str, Any]:
    """Run the clients through a new proxy, which is configured as one of `proxies`.

    The addresses of `clients` become the backends of the proxy.
    """
    cached = [
        synthetic.list_entry(number, address=address) for number, address in enumerate(clients.addresses)
    ]
    settings = synthetic.settings(proxies, deadline_ms=DEADLINE_MS)
    with ExitStack() as stack:
        discovery = stack.enter_context(StubDiscovery(synthetic.empty_delta_body(1)))
        configuration = synthetic.configuration(discovery.address, listen, settings, cached)
        proxy = stack.enter_context(ProxyProcess(configuration))
        return run_clients(replace(clients, addresses=[proxy.address]), proxy)


def run_repeats(plan: RunPlan, listen: str, quiet: bool) -> Runs:
    """Run each rate directly against stub backends and through a proxy, in each repeat."""
    runs: Runs = {}
    with ChildProcess("stub_backends", plan.backends, plan.service_ms) as stub_backends:
        addresses: list[str] = stub_backends.read_json()
        for repeat in range(plan.repeats):
            for rate in plan.rates:
                clients = LoadPlan(addresses, rate, plan.seconds, WARM_UP_S, plan.seed + repeat)
                direct = run_clients(clients, None)
                proxied = run_through_proxy(clients, listen, plan.proxies)
                runs.setdefault((rate, "direct"), []).append(direct)
                runs.setdefault((rate, "proxy"), []).append(proxied)
                if not quiet:
                    p99s = " and ".join(f"{run['added_ms']['p99']:.3f}" for run in (proxied, direct))
                    click.echo(
                        f"repeat {repeat + 1} of {plan.repeats}: {rate:g} requests per second, "
                        f"p99 through the proxy and direct: {p99s} ms",
                        err=True,
                    )
    return runs


def parse_rates(context: click.Context, parameter: click.Parameter, value: str) -> list[float]:
    """Return the distinct rates in ascending order; raise BadParameter for an invalid list."""
    try:
        rates = {float(part) for part in value.split(",")}
    except ValueError:
        rates = set()
    if not rates or not all(0 < rate <= MAX_RATE for rate in rates):
        raise click.BadParameter(f"{value!r} is not a list of numbers above 0 and at most {MAX_RATE}")
    return sorted(rates)


def check_address(context: click.Context, parameter: click.Parameter, value: str) -> str:
    """Return a `host:port` address unchanged; raise BadParameter for an invalid one."""
    try:
        split_address(value)
    except ValueError as error:
        raise click.BadParameter(str(error)) from None
    return value


@click.command()
@click.option(
    "--rates",
    default="100,500,1000,1324,1500,2000",
    show_default=True,
    callback=parse_rates,
    help="Request rates per second.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(0.1),
    default=10.0,
    show_default=True,
    help="Duration of each run after its warm-up.",
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
    help="Number of proxies in the proxy's settings; only one runs.",
)
@click.option(
    "--listen",
    default="127.0.0.1:0",
    show_default=True,
    callback=check_address,
    help="Address that the proxy listens on.",
)
@click.option("--json", "json_file", metavar="FILE", help="Save all values and a histogram per row.")
@click.option("--table", "table_file", metavar="FILE", help="Save the printed report.")
@click.option("--quiet", is_flag=True, help="Print no progress on standard error.")
def load(
    rates: list[float],
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
    """Send requests to stub backends, both through one real proxy and directly."""
    plan = RunPlan(rates, seconds, backends, service_ms, repeats, seed, proxies)
    report.check_writable(json_file, table_file)
    machine = report.describe_machine()
    runs = run_repeats(plan, listen, quiet)
    rows = [
        summarize_runs(rate, path, results, plan.seconds + WARM_UP_S)
        for (rate, path), results in runs.items()
    ]
    data = {
        "machine": machine,
        "arguments": asdict(plan),
        "target_rate": TARGET_RATE,
        "rows": rows,
        "verdict": format_verdict(rows),
    }
    text = format_report(data)
    click.echo(text, nl=False)
    report.save_text(table_file, text)
    report.save_json(json_file, data)
