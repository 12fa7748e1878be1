"""When a simulated proxy counts as notified, and how its attempts end."""

from __future__ import annotations

from random import Random

from dunecove.policy.models import AttemptResult
from scale.fleet.clock import ORIGIN_S
from scale.fleet.cluster import REGION_COUNT
from scale.fleet.disruptions import SEPARATED_REGIONS
from scale.fleet.plan import Plan
from scale.fleet.proxy import SimulatedProxy
from scale.fleet.run import Fleet
from tests.tools.fleet.support import SMALL, advance


def test_when_a_proxy_counts_as_notified_of_a_change() -> None:
    run = Fleet(Plan(**SMALL))
    cluster = run.cluster
    proxy = run.proxies[3]
    assert proxy.region in SEPARATED_REGIONS
    cluster.cut_discovery(SEPARATED_REGIONS, 10.0)
    advance(run.loop, 1.0)
    cluster.publish(cluster.active_backends()[:1])
    assert proxy.notified_at(cluster.discovery.revision) == float("inf")
    advance(run.loop, 10.0)
    assert proxy.notified_at(cluster.discovery.revision) == ORIGIN_S + 10.0 + 6.0
    assert run.proxies[0].notified_at(cluster.discovery.revision) == ORIGIN_S + 1.0 + 6.0
    proxy.metrics.notified.record(cluster.discovery.revision, ORIGIN_S + 12.0)
    assert proxy.notified_at(cluster.discovery.revision) == ORIGIN_S + 12.0


def test_how_attempts_end() -> None:
    run = Fleet(Plan(**SMALL))
    cluster = run.cluster
    rng = Random(1)
    other = [backend for backend in cluster.active_backends() if backend.region not in SEPARATED_REGIONS]
    lost = other[0]
    drained = other[1]
    apart = cluster.active_backends(lambda backend: backend.region in SEPARATED_REGIONS)[0]
    assert cluster.attempt(lost.backend_id, 0, rng)[0] is AttemptResult.OK
    cluster.lose([lost])
    cluster.drain([drained])
    assert cluster.attempt(lost.backend_id, 0, rng) == (
        AttemptResult.CONNECT_FAILED,
        cluster.settings.connect_timeout_ms,
    )
    assert cluster.attempt(drained.backend_id, 0, rng)[0] is AttemptResult.OK  # inside its grace
    advance(run.loop, 2.0)
    assert cluster.attempt(drained.backend_id, 0, rng)[0] is AttemptResult.REJECTED
    cluster.separate(SEPARATED_REGIONS, 5.0)
    assert cluster.attempt(apart.backend_id, 0, rng)[0] is AttemptResult.CONNECT_FAILED
    assert cluster.attempt(apart.backend_id, next(iter(SEPARATED_REGIONS)), rng)[0] is AttemptResult.OK


def test_regions_have_proxies_of_all_zones() -> None:
    run = Fleet(Plan(**SMALL))
    assert {proxy.region for proxy in run.proxies} == set(range(REGION_COUNT))
    assert all(isinstance(proxy, SimulatedProxy) for proxy in run.proxies)
