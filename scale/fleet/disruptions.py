"""Disruptions of a cluster: regular churn, weight updates, and the event of a run."""

from __future__ import annotations

from scale.fleet.cluster import ACTIVE, REGION_COUNT, ZONE_COUNT, SimulatedBackend, SimulatedCluster

PARTITIONED_REGIONS = frozenset((3, 4))
# Per machine on an ordinary day: 54,000 planned replacements and 590 failures among 150,000 machines, the
# planned size of the deployment.
PLANNED_PER_DAY = 54_000 / 150_000
FAILURES_PER_DAY = 590 / 150_000
ENDED_PER_DAY = PLANNED_PER_DAY + FAILURES_PER_DAY
DAY_S = 86_400
RELEASE_STEPS = 5
RELEASE_SHARE = 0.1  # share of the backends of one service that a release replaces
DISCOVERY_OUTAGE_S = 8.0
WEIGHT_INTERVAL_MS = (500.0, 900.0)  # range of the time between two updates of all weights


class Disruptions:
    """Disrupts a cluster at random, with the cluster's own random number generator."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self._random = cluster.random
        self._loop = cluster.loop

    def start_churn(self, factor: float) -> None:
        """Drain and lose single backends, `factor` times as often as on an ordinary day."""
        rate_per_s = ENDED_PER_DAY / DAY_S * len(self._cluster.listed) * factor
        if rate_per_s > 0:
            self._loop.call_later(self._random.expovariate(rate_per_s), self._churn_one, factor)

    def _churn_one(self, factor: float) -> None:
        backend = self._random.choice(list(self._cluster.listed.values()))
        if backend.state == ACTIVE and backend.is_up:
            if self._random.random() < FAILURES_PER_DAY / ENDED_PER_DAY:
                self._cluster.lose([backend])
            else:
                self._cluster.drain([backend])
        self.start_churn(factor)

    def renew_weights(self) -> None:
        """Update the weights of all backends now and periodically, in one new revision each time."""
        backends = list(self._cluster.listed.values())
        for backend in backends:
            backend.weight = round(self._random.uniform(0.5, 1.5), 3)
        self._cluster.publish(backends)
        self._loop.call_later(self._random.uniform(*WEIGHT_INTERVAL_MS) / 1000, self.renew_weights)

    def lose_rack(self) -> None:
        """Lose the machines of one rack, which are replaced by new ones."""
        rack = self._random.choice(self._cluster.active_backends()).rack
        self._cluster.lose(self._cluster.active_backends(lambda backend: backend.rack == rack))

    def lose_zone(self, duration_s: float) -> None:
        """Lose the machines of one zone, which restart cold after `duration_s`."""
        zone = self._random.randrange(ZONE_COUNT)
        self._cluster.lose(self._cluster.active_backends(lambda backend: backend.zone == zone), duration_s)

    def release(self, duration_s: float) -> None:
        """Replace a tenth of the backends of one service in steps over `duration_s`."""
        service = self._random.randrange(self._cluster.services)
        members = self._cluster.active_backends(lambda backend: backend.service == service)
        count = max(1, round(len(members) * RELEASE_SHARE)) if members else 0
        chosen: list[SimulatedBackend] = self._random.sample(members, count)
        for step in range(RELEASE_STEPS):
            delay_s = step * duration_s / RELEASE_STEPS
            self._loop.call_later(delay_s, self._cluster.drain_active, chosen[step::RELEASE_STEPS])

    def partition_regions(self, duration_s: float) -> None:
        """Partition two regions from the others and from discovery, during a release."""
        self._cluster.partition(PARTITIONED_REGIONS, duration_s)
        self.release(duration_s)  # changes that the partitioned regions miss until they reconnect

    def stop_discovery(self) -> None:
        """Make discovery unreachable from all regions for a while, during a release."""
        self._cluster.disconnect_discovery(frozenset(range(REGION_COUNT)), DISCOVERY_OUTAGE_S)
        self.release(DISCOVERY_OUTAGE_S)
