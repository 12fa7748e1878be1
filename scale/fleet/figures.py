"""The figures of a run: its costs, the propagation of list changes, and counters."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict
from math import ceil
from typing import Any

from scale.fleet.clock import ORIGIN_S
from scale.fleet.cluster import SimulatedCluster
from scale.fleet.metrics import Count, ProxyMetrics
from scale.fleet.plan import Plan
from scale.fleet.proxy import SOCKET_SLACK_MS, SimulatedProxy

IN_TRANSIT_S = 6.0  # age up to which a change that is still in transit at the end does not count as missed
PHASES = ("start", "steady", "event")
COST_LABELS = {
    "cpu_ms": "CPU ms, mean",
    "cpu_ms_worst": "  worst second",
    "cpu_ms_worst_proxy": "  worst proxy",
    "bytes": "HTTP bytes, mean",
    "bytes_worst": "  worst second",
    "bytes_worst_proxy": "  worst proxy",
    "calls": "discovery calls",
    "calls_worst": "  worst second",
    "service_bytes_worst": "  bytes, worst second",
}


class MemoryUse:
    """The resident memory of the process in the course of a run."""

    def __init__(self, before_bytes: int) -> None:
        self.before_bytes = before_bytes  # before the first proxy is created
        self.started_bytes = before_bytes  # at the end of the start-up phase
        self.max_bytes = before_bytes

    def figures(self, proxies: int) -> dict[str, float]:
        """Return the memory use in MB, by the keys of the JSON output."""
        return {
            "mb_a_proxy": round((self.started_bytes - self.before_bytes) / proxies / 1e6, 3),
            "mb_a_proxy_most": round((self.max_bytes - self.before_bytes) / proxies / 1e6, 3),
            "mb_most": round(self.max_bytes / 1e6),
        }


def collect_figures(
    plan: Plan, cluster: SimulatedCluster, proxies: list[SimulatedProxy], memory: MemoryUse, cpu_s: float
) -> dict[str, Any]:
    """Return the figures as a JSON object; `a_proxy` figures are means unless named otherwise."""
    discovery = cluster.discovery
    loop = cluster.loop
    metrics = [proxy.metrics for proxy in proxies]
    counts: Counter[str] = Counter()
    for proxy_metrics in metrics:
        counts.update(proxy_metrics.counts)
    boundaries = (0, plan.started_at, plan.event_at, plan.seconds)
    phases = dict(zip(PHASES, map(range, boundaries, boundaries[1:]), strict=True))
    reason_prefix = f"{Count.FAILED_DISCOVERY_CALLS}: "
    return {
        "plan": asdict(plan),
        "a_proxy_a_second": {
            name: phase_costs(cluster, metrics, seconds) for name, seconds in phases.items()
        },
        "memory": memory.figures(plan.proxies),
        "list": {
            "bytes": len(discovery.snapshot()),
            "versions": discovery.revision,
            "wholes": discovery.snapshots_sent,
        },
        "spread": propagation_figures(plan, cluster, proxies),
        "counts": {count.value: counts[count] for count in Count},
        "failures": {name: count for name, count in sorted(counts.items()) if name.startswith(reason_prefix)},
        "other_errors": len(loop.errors),
        "first_error": loop.errors[0] if loop.errors else "",
        "callbacks": loop.callbacks_run,
        "process_s": round(cpu_s, 1),
    }


def phase_costs(
    cluster: SimulatedCluster, metrics: Sequence[ProxyMetrics], seconds: range
) -> dict[str, float]:
    """Return the cost per second of a proxy and of the discovery service in one phase of a run."""
    discovery = cluster.discovery
    cpu_ms = [[proxy.cpu_s.at(second) * 1000 for proxy in metrics] for second in seconds]
    http_bytes = [[proxy.http_bytes.at(second) for proxy in metrics] for second in seconds]
    return {
        "cpu_ms": round(mean([mean(row) for row in cpu_ms]), 3),
        "cpu_ms_worst": round(max(mean(row) for row in cpu_ms), 3),
        "cpu_ms_worst_proxy": round(max(max(row) for row in cpu_ms), 3),
        "bytes": round(mean([mean(row) for row in http_bytes])),
        "bytes_worst": round(max(mean(row) for row in http_bytes)),
        "bytes_worst_proxy": round(max(max(row) for row in http_bytes)),
        "calls": round(mean([discovery.calls.at(second) for second in seconds]), 1),
        "calls_worst": round(max(discovery.calls.at(second) for second in seconds)),
        "service_bytes_worst": round(max(discovery.http_bytes.at(second) for second in seconds)),
    }


def propagation_figures(
    plan: Plan, cluster: SimulatedCluster, proxies: list[SimulatedProxy]
) -> dict[str, Any]:
    """Return the propagation times (ms) to each proxy of list changes after the start-up phase.

    `held`, `overdue` and `missed` count pairs of a change and a proxy. `held`: the proxy applied the change.
    `overdue`: it had not applied the change when it counted as notified. `missed`: it had not applied the
    change by the end of the run, except for changes of the last IN_TRANSIT_S. Times are over the `held`
    pairs, from the publication or the start of the proxy, whichever is later; `reached` times start no
    earlier than the proxy's region can reach discovery.
    """
    waits_ms: list[float] = []
    reachable_waits_ms: list[float] = []
    overdue = missed = changes = 0
    end = cluster.loop.time()
    start_up_end = ORIGIN_S + plan.started_at
    for revision in range(1, cluster.discovery.revision + 1):
        published_at = cluster.discovery.published_at(revision)
        if published_at < start_up_end:
            continue
        changes += 1
        for proxy in proxies:
            applied_at = proxy.metrics.applied.first_at(revision)
            available_at = max(published_at, proxy.metrics.started_at)
            reachable_at = cluster.reachable_from(proxy.region, available_at)
            latest_at = proxy.notified_at(revision) + SOCKET_SLACK_MS / 1000
            overdue += (end if applied_at is None else applied_at) > latest_at
            if applied_at is not None:
                waits_ms.append((applied_at - available_at) * 1000)
                reachable_waits_ms.append(max(applied_at - reachable_at, 0.0) * 1000)
            elif reachable_at < end - IN_TRANSIT_S:
                missed += 1
    return {
        "changes": changes,
        "held": len(waits_ms),
        "p99_ms": round(percentile(waits_ms, 0.99), 1),
        "last_ms": round(max(waits_ms, default=0.0), 1),
        "reached_p99_ms": round(percentile(reachable_waits_ms, 0.99), 1),
        "reached_last_ms": round(max(reachable_waits_ms, default=0.0), 1),
        "overdue": overdue,
        "missed": missed,
    }


def mean(values: list[float]) -> float:
    """Return the mean; 0 if there are no values."""
    return sum(values) / max(len(values), 1)


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that `share` of the values do not exceed; 0 if there are no values."""
    return sorted(values)[max(ceil(len(values) * share) - 1, 0)] if values else 0.0


def format_figures(figures: dict[str, Any]) -> str:
    """Return the figures as printed text."""
    plan = figures["plan"]
    memory = figures["memory"]
    spread = figures["spread"]
    listed = figures["list"]
    mode = "pushed" if plan["pushed"] else "polled"
    weights = ", live weights" if plan["weights"] else ""
    lines = [
        f"{plan['proxies']} simulated proxies (tier of {plan['tier'] or plan['proxies']} in the settings), "
        f"{plan['backends']} backends, {plan['seconds']} s, seed {plan['seed']}, lists {mode}{weights}",
        f"event: {plan['event']}; snapshot {listed['bytes'] / 1e6:.3f} MB, "
        f"{listed['versions']} revisions, {listed['wholes']} snapshots sent",
        f"{'per proxy per second':24}" + "".join(f"{phase:>14}" for phase in PHASES),
    ]
    for key, label in COST_LABELS.items():
        values = [figures["a_proxy_a_second"][phase][key] for phase in PHASES]
        lines.append(f"{label:24}" + "".join(f"{value:>14}" for value in values))
    lines += [
        f"memory per proxy: {memory['mb_a_proxy']} MB after start-up, {memory['mb_a_proxy_most']} MB maximum "
        f"(process {memory['mb_most']} MB)",
        f"propagation of changes: p99 {spread['p99_ms']} ms, maximum {spread['last_ms']} ms; "
        f"once reachable p99 {spread['reached_p99_ms']} ms, maximum {spread['reached_last_ms']} ms; "
        f"{spread['changes']} changes, applied {spread['held']}, overdue {spread['overdue']}, "
        f"missed {spread['missed']}",
        ", ".join(f"{name} {count}" for name, count in figures["counts"].items()),
        f"other errors {figures['other_errors']}, process {figures['process_s']} s",
    ]
    return "\n".join(lines)
