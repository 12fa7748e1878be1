"""A real proxy process that is handed a list: memory, processor time, and how long it answers nobody."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

import orjson

from scale import made
from scale.measures import Plan, Series, Trouble, Values, measure, note
from scale.proxy import Probe, Proxy
from scale.registry import Registry, change, nothing

PIECE = 4000  # entries in one answer where the list comes in pieces: well under 1 MiB
TAKE_S = 60.0  # s in which a list must have been taken
# s after taking a list, in which work put off is still its cost; s at rest; s after changes. The first two
# are whole seconds, as some of what a proxy does at rest comes once a second.
SETTLE_S, REST_S, AFTER_S = 2.0, 3.0, 0.5
CHANGES = 10
SMALL = 3  # entries of the saved list


def series(name: str, how: str) -> tuple[Series, ...]:
    return (
        Series(f"{name}-resident", "MB", f"in memory once it has taken a list that came {how}"),
        Series(
            f"{name}-take",
            "ms",
            f"to take it, until {SETTLE_S:g} s after the next watch, less so long at rest",
        ),
        Series(f"{name}-rest", "ms", "a second at rest with that list"),
        Series(f"{name}-change", "ms", "a change of two entries, rest taken off"),
        Series(
            f"{name}-gap", "ms", "longest wall time between two answers of its readiness while it takes it"
        ),
        Series(f"{name}-change-gap", "ms", f"the same while {CHANGES} changes come, one after the other"),
        Series(f"{name}-ready", "us", "an answer of its readiness with that list, rest taken off"),
    )


def follow(name: str, plan: Plan, answers: list[bytes]) -> Values:
    """Two proxies, one after the other, are handed `answers` from version 1 on, and then changes: one that
    nobody asks anything, for its processor time, and one whose readiness is asked all the time."""
    values: Values = dict.fromkeys(one.name for one in series(name, ""))
    try:
        with started(plan) as (registry, proxy):
            before = proxy.cpu_ms()
            rev = hand_out(registry, answers, 1)
            time.sleep(SETTLE_S)
            take = proxy.cpu_ms() - before
            resident = proxy.resident() / 1e6
            rest = cpu_part(proxy, REST_S)
            before, start = proxy.cpu_ms(), time.monotonic()
            change_all(registry, rev)
            time.sleep(AFTER_S)
            spent = proxy.cpu_ms() - before - rest * 1000 * (time.monotonic() - start)
        with started(plan) as (registry, proxy), Probe(proxy.address) as probe:
            probe.mark()
            rev = hand_out(registry, answers, 1)
            time.sleep(SETTLE_S)
            gap, _ = probe.mark()
            asked = cpu_part(proxy, REST_S)
            _, asks = probe.mark()
            change_all(registry, rev)
            time.sleep(AFTER_S)
            change_gap, _ = probe.mark()
    except Refused as refused:
        size = max(map(len, answers))
        note(f"{name}: a list in {len(answers)} answers of up to {size:,} bytes was not taken: {refused}")
        return values
    found = (
        resident,
        take - rest * 1000 * SETTLE_S,
        rest * 1000,
        spent / CHANGES,
        gap,
        change_gap,
        (asked - rest) * REST_S * 1e6 / max(asks, 1),
    )
    return dict(zip(values, found, strict=True))


class Refused(Exception):
    """The proxy ended the connection on an answer; the text is the last line of its log."""


@contextmanager
def started(plan: Plan) -> Iterator[tuple[Registry, Proxy]]:
    """A proxy that has just begun its first watch, from version 1 on."""
    known = [made.entry(n) for n in range(SMALL)]
    with Registry(nothing(1)) as registry:
        config = made.configuration(registry.address, "127.0.0.1:0", made.settings(plan.proxies), known)
        with Proxy(config) as proxy:
            try:
                wait_for(registry, 1)
                yield registry, proxy
            except Refused:
                raise Refused(proxy.next_line()) from None


def wait_for(registry: Registry, rev: int) -> None:
    if not registry.taken(rev, TAKE_S):
        if registry.refused:
            raise Refused
        raise Trouble(f"the proxy did not take version {rev} of the list within {TAKE_S:g} s")


def hand_out(registry: Registry, answers: list[bytes], rev: int) -> int:
    """Each is news after the version before; returns the last, once a watch has named it."""
    for answer in answers:
        registry.offer(rev, answer)
        rev += 1
    wait_for(registry, rev)
    return rev


def change_all(registry: Registry, rev: int) -> None:
    for after in range(rev, rev + CHANGES):
        hand_out(registry, [change(after + 1, 2)], after)


def cpu_part(proxy: Proxy, seconds: float) -> float:
    """The part of a core that it takes over so long."""
    before, start = proxy.cpu_ms(), time.monotonic()
    time.sleep(seconds)
    return (proxy.cpu_ms() - before) / 1000 / (time.monotonic() - start)


@measure("process", "backend", *series("process", "whole, in one answer"))
def process(plan: Plan, size: int) -> Values:
    return follow("process", plan, [made.list_bytes(2, size)])


@measure("pieces", "backend", *series("pieces", f"as changes of {PIECE:,} entries each"))
def pieces(plan: Plan, size: int) -> Values:
    answers = []
    for rev, start in enumerate(range(0, size, PIECE), 2):
        entries = [made.entry(n) for n in range(start, min(start + PIECE, size))]
        answers.append(orjson.dumps(made.listing(rev, entries, whole=False)))
    return follow("pieces", plan, answers)
