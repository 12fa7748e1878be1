"""Notification times of simulated proxies, and outcomes of attempts in the simulated cluster."""

from __future__ import annotations

from random import Random

from dunecove.policy.models import AttemptResult
from scale.fleet.clock import ORIGIN_S
from scale.fleet.cluster import REGION_COUNT
from scale.fleet.disruptions import PARTITIONED_REGIONS
from scale.fleet.plan import Plan
from scale.fleet.proxy import SimulatedProxy
from scale.fleet.run import Fleet
from tests.tools.fleet.support import SMALL, advance


def test_proxy_counts_as_notified_6_s_after_discovery_is_reachable_or_when_the_change_is_received() -> None:
    run = Fleet(Plan(**SMALL))
    cluster = run.cluster
    proxy = run.proxies[3]
    assert proxy.region in PARTITIONED_REGIONS
    cluster.disconnect_discovery(PARTITIONED_REGIONS, 10.0)
    advance(run.loop, 1.0)
    cluster.publish(cluster.active_backends()[:1])
    assert proxy.notified_at(cluster.discovery.revision) == float("inf")
    advance(run.loop, 10.0)
    assert proxy.notified_at(cluster.discovery.revision) == ORIGIN_S + 10.0 + 6.0
    assert run.proxies[0].notified_at(cluster.discovery.revision) == ORIGIN_S + 1.0 + 6.0
    proxy.metrics.notified.record(cluster.discovery.revision, ORIGIN_S + 12.0)
    assert proxy.notified_at(cluster.discovery.revision) == ORIGIN_S + 12.0


def test_attempt_outcome_depends_on_the_state_and_reachability_of_the_backend() -> None:
    run = Fleet(Plan(**SMALL))
    cluster = run.cluster
    random = Random(1)
    reachable = [
        backend for backend in cluster.active_backends() if backend.region not in PARTITIONED_REGIONS
    ]
    lost = reachable[0]
    drained = reachable[1]
    partitioned = cluster.active_backends(lambda backend: backend.region in PARTITIONED_REGIONS)[0]
    assert cluster.attempt(lost.backend_id, 0, random)[0] is AttemptResult.OK
    cluster.lose([lost])
    cluster.drain([drained])
    assert cluster.attempt(lost.backend_id, 0, random) == (
        AttemptResult.CONNECT_FAILED,
        cluster.settings.connect_timeout_ms,
    )
    assert cluster.attempt(drained.backend_id, 0, random)[0] is AttemptResult.OK  # within its drain grace
    advance(run.loop, 2.0)
    assert cluster.attempt(drained.backend_id, 0, random)[0] is AttemptResult.REJECTED
    cluster.partition(PARTITIONED_REGIONS, 5.0)
    assert cluster.attempt(partitioned.backend_id, 0, random)[0] is AttemptResult.CONNECT_FAILED
    assert (
        cluster.attempt(partitioned.backend_id, next(iter(PARTITIONED_REGIONS)), random)[0]
        is AttemptResult.OK
    )


def test_every_region_has_proxies() -> None:
    run = Fleet(Plan(**SMALL))
    assert {proxy.region for proxy in run.proxies} == set(range(REGION_COUNT))
    assert all(isinstance(proxy, SimulatedProxy) for proxy in run.proxies)
