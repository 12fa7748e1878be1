"""One run: a world, its proxies, one event, and what it cost."""

from __future__ import annotations

import gc
import os
import sys
from collections import Counter
from dataclasses import asdict, dataclass
from math import ceil
from time import monotonic, process_time
from typing import Any

from scale.fleet.clock import ORIGIN_S, virtual_loop
from scale.fleet.proxy import SLACK_MS, HollowProxy, address
from scale.fleet.service import Door
from scale.fleet.world import DOWN_S, REGIONS, Rules, World

EVENTS = ("steady", "rack", "zone", "release", "split", "restart", "down")
SECONDS_LEAST = 30  # of a run: the event comes after a third, and half of that is given to the start
KILLED_S = 0.5  # s between the end of all proxies and their new start
SETTLE_S = 6.0  # s that a change may be on its way at the end of the run without counting as missed
PROGRESS_S = 10.0  # s of real time between two lines of progress
COUNTS = (
    "requests",
    "served",
    "refused",
    "failed",
    "unanswered",
    "sends",
    "sends after grace",
    "sends to gone",
    "sends to cold",
    "failed calls",
    "module exceptions",
)


class BadPlan(Exception):
    """A plan that can't be run here; the text is for a person."""


@dataclass(frozen=True)
class Plan:
    """What to run. Sizes are whole numbers, times seconds of the virtual clock, rates a second."""

    backends: int = 1000
    proxies: int = 100
    seconds: int = 60
    event: str = "steady"
    seed: int = 1
    pushed: bool = False
    weights: bool = False
    rate: float = 3.0  # requests to each proxy
    churn: float = 1.0  # times the ordinary day's
    services: int = 1  # into which the backends fall; a release replaces a tenth of one
    tier: int = 0  # proxies that the settings name; 0 for as many as there are
    lasting: float = 0.0  # of a lost zone or a cut; 0 for a third of the run
    grace_ms: float = 1000.0
    frozen: int = 0  # proxies with the planted fault
    memory_mb: float = 0.0  # to end the run at; 0 for half of the machine's

    def check(self) -> None:
        """Raise BadPlan for what can't be run."""
        for name in ("backends", "proxies", "services"):
            if getattr(self, name) < 1:
                raise BadPlan(f"{name} must be at least 1")
        if self.seconds < SECONDS_LEAST:
            raise BadPlan(f"seconds must be at least {SECONDS_LEAST}")
        if self.event not in EVENTS:
            raise BadPlan(f"event is unknown: {self.event!r}")
        for name in ("rate", "churn", "tier", "lasting", "frozen", "memory_mb"):
            if not 0 <= getattr(self, name) < float("inf"):
                raise BadPlan(f"{name} must not be negative or infinite")
        if not 0 < self.grace_ms < float("inf"):
            raise BadPlan("grace_ms must be above 0 and finite")
        if self.frozen > self.proxies:
            raise BadPlan("frozen must be at most the number of proxies")

    @property
    def event_at(self) -> int:
        return self.seconds // 3

    @property
    def lasts(self) -> float:
        return self.lasting or self.seconds / 3


def resident() -> int:
    """Bytes of this process that are in memory now."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def half_the_machine() -> int:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 2


class Fleet:
    def __init__(self, plan: Plan) -> None:
        plan.check()
        self.plan, self.loop = plan, virtual_loop()
        self.world = World(self.loop, plan.backends, plan.seed, Rules(plan.grace_ms), plan.services)
        for region in range(REGIONS):
            host, port = address(region).split(":")
            self.loop.hosts[host, int(port)] = Door(self.world.list, region)
        self.known = self.world.list.whole()
        self.rss_before = self.rss_started = self.rss_most = resident()
        tier = plan.tier or plan.proxies
        self.proxies = [
            HollowProxy(self.world, n, plan.seed, tier, plan.pushed, plan.rate, n < plan.frozen)
            for n in range(plan.proxies)
        ]

    def run(self) -> dict[str, Any]:
        """The whole plan, and its figures. Raises BadPlan where memory does not suffice."""
        plan, began, said = self.plan, monotonic(), monotonic()
        most = plan.memory_mb * 1e6 or half_the_machine()
        for number, proxy in enumerate(self.proxies):
            # Not all in one moment of the clock, and memory is looked at between them.
            self.loop.run_until(ORIGIN_S + number / len(self.proxies))
            proxy.start(self.known)
            if number % max(1, len(self.proxies) // 20) == 0:
                self._look(most)
        self.world.churn(plan.churn)
        if plan.weights:
            self.loop.call_later(1.0, self.world.renew_weights)
        for second in range(1, plan.seconds + 1):
            self.loop.run_until(ORIGIN_S + second)
            self._look(most)
            if second == plan.event_at // 2:
                gc.collect()
                gc.freeze()  # as the program does once it has started
                self.rss_started = resident()
            if second == plan.event_at:
                self.happen()
            if monotonic() - said > PROGRESS_S:
                said = monotonic()
                took = f"{said - began:.0f} s real, {self.rss_most / 1e6:.0f} MB"
                print(f"fleet: {second} of {plan.seconds} s, {took}", file=sys.stderr, flush=True)
        gc.unfreeze()
        return self.figures(process_time())

    def _look(self, most: float) -> None:
        self.rss_most = max(self.rss_most, resident())
        if self.rss_most > most:
            raise BadPlan(f"memory: {self.rss_most / 1e6:.0f} MB is more than the {most / 1e6:.0f} allowed")

    def happen(self) -> None:
        """The plan's event begins now."""
        plan, world = self.plan, self.world
        if plan.event == "rack":
            world.rack()
        elif plan.event == "zone":
            world.zone(plan.lasts)
        elif plan.event == "release":
            world.release(plan.seconds / 3)
        elif plan.event == "split":
            world.part(plan.lasts)
            world.release(plan.lasts)  # so that there is something to fall behind with
        elif plan.event == "down":
            world.silence(frozenset(range(REGIONS)), DOWN_S)
            world.release(DOWN_S)
        elif plan.event == "restart":
            for proxy in self.proxies:
                proxy.stop()
            # What they were configured with is older than any change the service has kept.
            world.drain_active(world.active()[:1])
            world.list.forget()
            for proxy in self.proxies:
                self.loop.call_later(KILLED_S, proxy.start, self.known)

    # Figures

    def figures(self, cpu_s: float) -> dict[str, Any]:
        """A JSON object; `a proxy` figures are means over the proxies unless they say otherwise."""
        plan, service = self.plan, self.world.list
        accounts = [proxy.account for proxy in self.proxies]
        counts: Counter[str] = Counter()
        for account in accounts:
            counts.update(account.counts)
        started, event_at = plan.event_at // 2, plan.event_at
        phases = {
            "start": range(started),
            "steady": range(started, event_at),
            "event": range(event_at, plan.seconds),
        }
        costs = {}
        for name, seconds in phases.items():
            cpu = [[a.cpu.at(s) * 1000 for a in accounts] for s in seconds]
            size = [[a.bytes.at(s) for a in accounts] for s in seconds]
            costs[name] = {
                "cpu_ms": round(mean([mean(row) for row in cpu]), 3),
                "cpu_ms_worst": round(max(mean(row) for row in cpu), 3),
                "cpu_ms_worst_proxy": round(max(max(row) for row in cpu), 3),
                "bytes": round(mean([mean(row) for row in size])),
                "bytes_worst": round(max(mean(row) for row in size)),
                "bytes_worst_proxy": round(max(max(row) for row in size)),
                "calls": round(mean([service.calls.at(s) for s in seconds]), 1),
                "calls_worst": round(max(service.calls.at(s) for s in seconds)),
                "service_bytes_worst": round(max(service.bytes.at(s) for s in seconds)),
            }
        return {
            "plan": asdict(plan),
            "a_proxy_a_second": costs,
            "memory": {
                "mb_a_proxy": round((self.rss_started - self.rss_before) / plan.proxies / 1e6, 3),
                "mb_a_proxy_most": round((self.rss_most - self.rss_before) / plan.proxies / 1e6, 3),
                "mb_most": round(self.rss_most / 1e6),
            },
            "list": {"bytes": len(service.whole()), "versions": service.rev, "wholes": service.wholes},
            "spread": self.spread(),
            "counts": {name: counts[name] for name in COUNTS},
            "failures": {n: c for n, c in sorted(counts.items()) if n.startswith("failed calls: ")},
            "other_errors": len(self.loop.errors),
            "first_error": self.loop.errors[0] if self.loop.errors else "",
            "callbacks": self.loop.ran,
            "process_s": round(cpu_s, 1),
        }

    def spread(self) -> dict[str, Any]:
        """How long (ms) changes since the end of the start took to each proxy: from their moment or the
        proxy's start, over those `held`; for `reached`, from when its region could reach the service.
        `overdue` are those that a proxy did not hold as they counted as told; `missed` those that it did not
        hold at the end, without changes of the last seconds."""
        world, waits, reached = self.world, list[float](), list[float]()
        overdue = missed = changes = 0
        end, first = self.loop.time(), ORIGIN_S + self.plan.event_at // 2
        for rev, when in enumerate(world.list.versions, 1):
            if when < first:
                continue
            changes += 1
            for proxy in self.proxies:
                account = proxy.account
                held, had = account.held.since(rev), max(when, account.started)
                due = world.reached(proxy.region, had)
                overdue += (end if held is None else held) > proxy.told_at(rev) + SLACK_MS / 1000
                if held is not None:
                    waits.append((held - had) * 1000)
                    reached.append(max(held - due, 0.0) * 1000)
                elif due < end - SETTLE_S:
                    missed += 1
        return {
            "changes": changes,
            "held": len(waits),
            "p99_ms": round(part(waits, 0.99), 1),
            "last_ms": round(max(waits, default=0.0), 1),
            "reached_p99_ms": round(part(reached, 0.99), 1),
            "reached_last_ms": round(max(reached, default=0.0), 1),
            "overdue": overdue,
            "missed": missed,
        }


def mean(values: list[float]) -> float:
    return sum(values) / max(len(values), 1)


def part(values: list[float], share: float) -> float:
    """The least value that `share` of them do not exceed; 0 of none."""
    return sorted(values)[max(ceil(len(values) * share) - 1, 0)] if values else 0.0


def table(figures: dict[str, Any]) -> str:
    """The figures for a person, in lines."""
    plan, memory, spread = figures["plan"], figures["memory"], figures["spread"]
    listed = figures["list"]
    mode = "pushed" if plan["pushed"] else "asked for"
    lines = [
        f"{plan['proxies']} hollow proxies (the settings name {plan['tier'] or plan['proxies']}), "
        f"{plan['backends']} backends, {plan['seconds']} s, seed {plan['seed']}, lists {mode}"
        + (", live weights" if plan["weights"] else ""),
        f"event: {plan['event']}; the whole list {listed['bytes'] / 1e6:.3f} MB, "
        f"{listed['versions']} versions, {listed['wholes']} whole lists sent",
        f"{'a proxy a second':24}{'start':>14}{'steady':>14}{'event':>14}",
    ]
    rows = {
        "cpu_ms": "processor ms, mean",
        "cpu_ms_worst": "  in the worst second",
        "cpu_ms_worst_proxy": "  of the worst proxy",
        "bytes": "bytes, mean",
        "bytes_worst": "  in the worst second",
        "bytes_worst_proxy": "  of the worst proxy",
        "calls": "calls on the service",
        "calls_worst": "  in the worst second",
        "service_bytes_worst": "its bytes, worst second",
    }
    for key, text in rows.items():
        values = [figures["a_proxy_a_second"][phase][key] for phase in ("start", "steady", "event")]
        lines.append(f"{text:24}" + "".join(f"{value:>14}" for value in values))
    lines += [
        f"memory a proxy: {memory['mb_a_proxy']} MB started, {memory['mb_a_proxy_most']} MB at most "
        f"(process {memory['mb_most']} MB)",
        f"a change at 99 in 100 proxies after {spread['p99_ms']} ms, at the last after {spread['last_ms']}; "
        f"once reachable {spread['reached_p99_ms']} and {spread['reached_last_ms']} ms; "
        f"{spread['changes']} changes, held {spread['held']}, overdue {spread['overdue']}, "
        f"missed {spread['missed']}",
        ", ".join(f"{name} {count}" for name, count in figures["counts"].items()),
        f"other errors {figures['other_errors']}, process {figures['process_s']} s",
    ]
    return "\n".join(lines)
