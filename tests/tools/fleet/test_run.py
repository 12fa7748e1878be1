"""Complete runs of a small fleet: reproducible counts, propagation of changes, and injected faults."""

from __future__ import annotations

from typing import Any

import pytest

from scale.fleet.disruptions import PARTITIONED_REGIONS
from scale.fleet.plan import Plan
from scale.fleet.run import Fleet
from tests.tools.fleet.support import SMALL


def machine_independent(figures: dict[str, Any]) -> dict[str, Any]:
    """Return the figures that must not depend on the machine."""
    costs = figures["a_proxy_a_second"].values()
    kept = {name: figures[name] for name in ("counts", "failures", "spread", "list", "callbacks")}
    return kept | {"bytes": [cost["bytes_worst_proxy"] for cost in costs]}


@pytest.mark.parametrize("event", ["zone", "restart"])
def test_runs_with_the_same_seed_have_equal_counts(event: str) -> None:
    plan = Plan(**SMALL, event=event, churn=20_000.0)
    first = Fleet(plan).run()
    second = Fleet(plan).run()
    assert machine_independent(first) == machine_independent(second)
    assert first["other_errors"] == first["counts"]["module exceptions"] == 0
    assert first["counts"]["served"] > 0


def test_runs_with_different_seeds_have_different_counts() -> None:
    assert machine_independent(Fleet(Plan(**SMALL)).run()) != machine_independent(
        Fleet(Plan(**SMALL, seed=2)).run()
    )


@pytest.mark.parametrize("pushed", [False, True])
def test_drain_reaches_all_proxies_and_nothing_is_forwarded_after_its_grace(pushed: bool) -> None:
    figures = Fleet(Plan(**SMALL, event="release", pushed=pushed)).run()
    assert figures["spread"]["changes"] >= 10
    assert figures["spread"]["missed"] == figures["spread"]["overdue"] == 0
    assert 0 < figures["spread"]["last_ms"] < 100
    assert figures["counts"]["sends after grace"] == 0


def test_partitioned_regions_miss_changes_and_catch_up_after_the_partition() -> None:
    run = Fleet(Plan(**SMALL, event="split", lasting=8.0))
    figures = run.run()
    failing_regions = {proxy.region for proxy in run.proxies if proxy.metrics.counts["failed calls"]}
    assert failing_regions == set(PARTITIONED_REGIONS)
    assert figures["spread"]["last_ms"] >= 8000
    assert figures["spread"]["reached_last_ms"] <= 6000
    assert figures["spread"]["missed"] == 0
    assert figures["counts"]["sends after grace"] == 0
    assert {proxy.metrics.applied.latest for proxy in run.proxies} == {run.cluster.discovery.revision}


def test_restarted_proxies_each_get_a_snapshot() -> None:
    run = Fleet(Plan(**SMALL, event="restart"))
    figures = run.run()
    assert figures["list"]["wholes"] == len(run.proxies)
    assert figures["spread"]["missed"] == 0
    assert {proxy.metrics.applied.latest for proxy in run.proxies} == {run.cluster.discovery.revision}
    assert figures["counts"]["sends after grace"] == 0


def test_proxy_with_a_frozen_list_is_counted_for_forwards_after_the_grace() -> None:
    run = Fleet(Plan(**(SMALL | {"rate": 20.0}), event="release", frozen=1))
    figures = run.run()
    forwards = [proxy.metrics.counts["sends after grace"] for proxy in run.proxies]
    assert forwards[0] > 0
    assert not any(forwards[1:])
    assert figures["counts"]["sends after grace"] == forwards[0]
    assert figures["spread"]["missed"] > 0
    assert figures["spread"]["overdue"] >= figures["spread"]["missed"]


def test_balancer_failure_is_counted_and_the_balancer_is_replaced() -> None:
    run = Fleet(Plan(**SMALL))
    run.loop.call_later(15.0, lambda: setattr(run.proxies[1].balancer.backends, "subset", None))
    figures = run.run()
    assert figures["counts"]["module exceptions"] == 1
    assert run.proxies[1].metrics.counts["module exceptions"] == 1
    assert run.proxies[1].metrics.cpu_s.at(29) > 0


def test_live_weights_are_updated_for_all_backends_every_900_ms_or_sooner() -> None:
    static, live = (Fleet(Plan(**SMALL, weights=weights)).run() for weights in (False, True))
    assert live["list"]["versions"] >= 30 / 0.9
    assert live["a_proxy_a_second"]["steady"]["bytes"] > 20 * static["a_proxy_a_second"]["steady"]["bytes"]
