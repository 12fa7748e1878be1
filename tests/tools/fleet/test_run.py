"""Whole runs: one seed, one course; what is counted is what was done."""

from __future__ import annotations

from typing import Any

import pytest

from scale.fleet.disruptions import SEPARATED_REGIONS
from scale.fleet.plan import Plan
from scale.fleet.run import Fleet
from tests.tools.fleet.support import SMALL


def machine_independent(figures: dict[str, Any]) -> dict[str, Any]:
    """What must not depend on the machine."""
    costs = figures["a_proxy_a_second"].values()
    kept = {name: figures[name] for name in ("counts", "failures", "spread", "list", "callbacks")}
    return kept | {"bytes": [cost["bytes_worst_proxy"] for cost in costs]}


@pytest.mark.parametrize("event", ["zone", "restart"])
def test_one_seed_gives_the_same_counts(event: str) -> None:
    plan = Plan(**SMALL, event=event, churn=20_000.0)
    first = Fleet(plan).run()
    second = Fleet(plan).run()
    assert machine_independent(first) == machine_independent(second)
    assert first["other_errors"] == first["counts"]["module exceptions"] == 0
    assert first["counts"]["served"] > 0


def test_another_seed_gives_other_counts() -> None:
    assert machine_independent(Fleet(Plan(**SMALL)).run()) != machine_independent(
        Fleet(Plan(**SMALL, seed=2)).run()
    )


@pytest.mark.parametrize("pushed", [False, True])
def test_a_drain_reaches_all_and_nothing_is_forwarded_after_its_grace(pushed: bool) -> None:
    figures = Fleet(Plan(**SMALL, event="release", pushed=pushed)).run()
    assert figures["spread"]["changes"] >= 10
    assert figures["spread"]["missed"] == figures["spread"]["overdue"] == 0
    assert 0 < figures["spread"]["last_ms"] < 100
    assert figures["counts"]["sends after grace"] == 0


def test_a_cut_region_is_behind_and_catches_up() -> None:
    run = Fleet(Plan(**SMALL, event="split", lasting=8.0))
    figures = run.run()
    behind = {proxy.region for proxy in run.proxies if proxy.metrics.counts["failed calls"]}
    assert behind == set(SEPARATED_REGIONS)
    assert figures["spread"]["last_ms"] >= 8000
    assert figures["spread"]["reached_last_ms"] <= 6000
    assert figures["spread"]["missed"] == 0
    assert figures["counts"]["sends after grace"] == 0
    assert {proxy.metrics.applied.latest for proxy in run.proxies} == {run.cluster.discovery.revision}


def test_restarted_proxies_get_a_snapshot() -> None:
    run = Fleet(Plan(**SMALL, event="restart"))
    figures = run.run()
    assert figures["list"]["wholes"] == len(run.proxies)
    assert figures["spread"]["missed"] == 0
    assert {proxy.metrics.applied.latest for proxy in run.proxies} == {run.cluster.discovery.revision}
    assert figures["counts"]["sends after grace"] == 0


def test_a_frozen_list_is_counted_as_forwards_after_the_grace() -> None:
    run = Fleet(Plan(**(SMALL | {"rate": 20.0}), event="release", frozen=1))
    figures = run.run()
    late = [proxy.metrics.counts["sends after grace"] for proxy in run.proxies]
    assert late[0] > 0
    assert not any(late[1:])
    assert figures["counts"]["sends after grace"] == late[0]
    assert figures["spread"]["missed"] > 0
    assert figures["spread"]["overdue"] >= figures["spread"]["missed"]


def test_a_balancer_that_fails_is_counted_and_replaced() -> None:
    run = Fleet(Plan(**SMALL))
    run.loop.call_later(15.0, lambda: setattr(run.proxies[1].balancer.backends, "subset", None))
    figures = run.run()
    assert figures["counts"]["module exceptions"] == 1
    assert run.proxies[1].metrics.counts["module exceptions"] == 1
    assert run.proxies[1].metrics.cpu_s.at(29) > 0


def test_live_weights_are_renewed_for_all() -> None:
    still, live = (Fleet(Plan(**SMALL, weights=weights)).run() for weights in (False, True))
    assert live["list"]["versions"] >= 30 / 0.9
    assert live["a_proxy_a_second"]["steady"]["bytes"] > 20 * still["a_proxy_a_second"]["steady"]["bytes"]
