"""The simulated backends, the changes to their list, and network reachability between regions."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import NamedTuple

import orjson

from dunecove.policy.models import AttemptResult
from scale.fleet.clock import VirtualLoop
from scale.fleet.discovery import EntryChange, SimulatedDiscovery

ZONE_COUNT = 11
REGION_COUNT = 5
RACK_SIZE = 40  # machines per rack; fewer in a small cluster, so that there are at least MIN_RACKS
MIN_RACKS = 2 * ZONE_COUNT
LOSS_DETECTION_S = 3.0  # time until discovery detects the loss of a machine
DRAIN_LINGER_S = 2.0  # time after the drain grace until a drained machine is removed
REPLACEMENT_S = 5.0  # time from the loss of a machine to its replacement
REFUSAL_MS = 1.0
MEAN_SERVICE_MS = 30.0
COLD_SLOWNESS = 2.0  # factor on the service time of a cold backend
ACTIVE = "active"
DRAINING = "leaving"
REMOVED = "left"


class ClusterSettings(NamedTuple):
    """The settings of all proxies that concern backends."""

    drain_grace_ms: float = 1000.0
    cold_ms: float = 8000.0
    connect_timeout_ms: float = 250.0


class AttemptOutcome(NamedTuple):
    """The result of an attempt, and the time from its start to the result."""

    result: AttemptResult
    duration_ms: float


def region_of(zone: int) -> int:
    """Return the region of a zone."""
    return zone % REGION_COUNT


def zone_name(zone: int) -> str:
    """Return the name of a zone in lists and settings."""
    return f"z{zone}"


class SimulatedBackend:
    """A machine that serves requests."""

    def __init__(self, number: int, zone: int, rack: int, service: int, boot_ms: float) -> None:
        self.backend_id = f"s-{number:08x}"
        self.address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:3000"
        self.zone = zone
        self.rack = rack
        self.service = service
        self.boot_ms = boot_ms  # start time; 0: long ago
        self.state = ACTIVE
        self.weight = 1.0
        self.is_up = True  # whether the machine runs, regardless of its state in the list

    @property
    def region(self) -> int:
        """The region of the machine."""
        return region_of(self.zone)

    def as_change(self) -> EntryChange:
        """Return the current list entry of the backend as a change."""
        entry = {
            "uid": self.backend_id,
            "endpoint": self.address,
            "az": zone_name(self.zone),
            "model": "m1",
            "pod_group": self.rack,
            "state": self.state,
            "capacity_hint": self.weight,
            "boot_ms": round(self.boot_ms),
        }
        # Copied, since the bytes from orjson keep 4 KB allocated, and the service stores one per backend.
        data = bytes(memoryview(orjson.dumps(entry)))
        return EntryChange(self.backend_id, data, self.state == REMOVED)


class SimulatedCluster:
    """The backends, and the discovery service that lists them.

    `listed` holds the backends in the list, and `backends` also those removed from it. `end_revisions` holds
    the revision that drained or removed a backend, by backend id.
    """

    def __init__(
        self, loop: VirtualLoop, size: int, seed: int, settings: ClusterSettings, services: int = 1
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.services = services
        self.random = Random(f"world {seed}")
        self.discovery = SimulatedDiscovery(loop)
        self.listed: dict[str, SimulatedBackend] = {}
        self.backends: dict[str, SimulatedBackend] = {}
        self.end_revisions: dict[str, int] = {}
        # Start and end times (s) of the periods in which each region could not reach discovery, in order.
        self._outages: list[list[tuple[float, float]]] = [[] for _ in range(REGION_COUNT)]
        self.partitioned_regions: frozenset[int] = frozenset()  # unreachable from the other regions
        rack_size = min(RACK_SIZE, max(1, size // MIN_RACKS))
        for number in range(size):
            rack = number // rack_size
            self._add(rack % ZONE_COUNT, rack, self.random.randrange(services), 0.0)
        changes = (backend.as_change() for backend in self.listed.values())
        self.discovery.entries = {change.backend_id: change.entry for change in changes}

    def _add(self, zone: int, rack: int, service: int, boot_ms: float) -> SimulatedBackend:
        backend = SimulatedBackend(len(self.backends), zone, rack, service, boot_ms)
        self.listed[backend.backend_id] = self.backends[backend.backend_id] = backend
        return backend

    def publish(self, backends: list[SimulatedBackend]) -> None:
        """Publish a new revision of the list with the current entries of these backends."""
        if not backends:
            return
        revision = self.discovery.publish([backend.as_change() for backend in backends])
        for backend in backends:
            if backend.state == ACTIVE:
                self.end_revisions.pop(backend.backend_id, None)
                self.listed[backend.backend_id] = backend
            else:
                self.end_revisions.setdefault(backend.backend_id, revision)
            if backend.state == REMOVED:
                self.listed.pop(backend.backend_id, None)

    def active_backends(
        self, matches: Callable[[SimulatedBackend], bool] = lambda backend: True
    ) -> list[SimulatedBackend]:
        """Return the matching backends that are listed as active and up."""
        return [
            backend
            for backend in self.listed.values()
            if backend.state == ACTIVE and backend.is_up and matches(backend)
        ]

    def drain(self, backends: list[SimulatedBackend]) -> None:
        """Drain backends, and replace them with cold ones after the grace period."""
        for backend in backends:
            backend.state = DRAINING
        self.publish(backends)
        after_s = self.settings.drain_grace_ms / 1000 + DRAIN_LINGER_S
        self.loop.call_later(after_s, self._replace, backends)

    def drain_active(self, backends: list[SimulatedBackend]) -> None:
        """Drain the backends that are still active and up."""
        self.drain([backend for backend in backends if backend.state == ACTIVE and backend.is_up])

    def _replace(self, backends: list[SimulatedBackend]) -> None:
        for backend in backends:
            backend.state = REMOVED
            backend.is_up = False
        now_ms = self.loop.now_ms()
        added = [self._add(backend.zone, backend.rack, backend.service, now_ms) for backend in backends]
        self.publish([*backends, *added])

    def lose(self, backends: list[SimulatedBackend], returns_after_s: float | None = None) -> None:
        """Make backends unresponsive now; they are removed from the list once that is detected.

        The same machines start again after `returns_after_s`; if it is None, new machines replace them after
        REPLACEMENT_S.
        """
        for backend in backends:
            backend.is_up = False
        self.loop.call_later(LOSS_DETECTION_S, self._remove, backends)
        if returns_after_s is None:
            self.loop.call_later(REPLACEMENT_S, self._replace, backends)
        else:
            self.loop.call_later(max(returns_after_s, LOSS_DETECTION_S), self._restart, backends)

    def _remove(self, backends: list[SimulatedBackend]) -> None:
        for backend in backends:
            backend.state = REMOVED
        self.publish(backends)

    def _restart(self, backends: list[SimulatedBackend]) -> None:
        for backend in backends:
            backend.state = ACTIVE
            backend.is_up = True
            backend.boot_ms = self.loop.now_ms()
        self.publish(backends)

    def partition(self, regions: frozenset[int], duration_s: float) -> None:
        """Partition regions from the other regions and from discovery."""
        self.partitioned_regions = regions
        self.disconnect_discovery(regions, duration_s)

    def disconnect_discovery(self, regions: frozenset[int], duration_s: float) -> None:
        """Make discovery unreachable from regions."""
        self.discovery.unreachable_regions |= regions
        for region in regions:
            self._outages[region].append((self.loop.time(), inf))
        self.loop.call_later(duration_s, self._reconnect, regions)

    def _reconnect(self, regions: frozenset[int]) -> None:
        self.discovery.unreachable_regions -= regions
        self.partitioned_regions = frozenset()
        for region in regions:
            started_at, _ = self._outages[region].pop()
            self._outages[region].append((started_at, self.loop.time()))

    def reachable_from(self, region: int, since: float, duration_s: float = 0.0) -> float:
        """Return when, at `since` (s) or later, a region can first reach discovery for `duration_s`.

        The time is infinite while the region is disconnected.
        """
        reachable_at = since
        for started_at, ended_at in self._outages[region]:
            if reachable_at < ended_at and reachable_at + duration_s >= started_at:
                reachable_at = ended_at
        return reachable_at

    def attempt(self, backend_id: str, region: int, random: Random) -> AttemptOutcome:
        """Return a random outcome of an attempt that is sent from a region now."""
        backend = self.backends[backend_id]
        is_partitioned = (region in self.partitioned_regions) != (backend.region in self.partitioned_regions)
        if not backend.is_up or is_partitioned:
            # A lost machine does not respond; once it is removed from the list, connections are refused.
            is_refused = not backend.is_up and backend.state != ACTIVE
            duration_ms = REFUSAL_MS if is_refused else self.settings.connect_timeout_ms
            return AttemptOutcome(AttemptResult.CONNECT_FAILED, duration_ms)
        if backend.state == DRAINING and self._time_since_end_ms(backend_id) > self.settings.drain_grace_ms:
            return AttemptOutcome(AttemptResult.REJECTED, REFUSAL_MS)
        slowness = COLD_SLOWNESS if self.is_cold(backend) else 1.0
        return AttemptOutcome(AttemptResult.OK, random.expovariate(1 / MEAN_SERVICE_MS) * slowness)

    def is_cold(self, backend: SimulatedBackend) -> bool:
        """Return whether a backend has started less than the cold period ago."""
        return backend.boot_ms > 0 and self.loop.now_ms() < backend.boot_ms + self.settings.cold_ms

    def _time_since_end_ms(self, backend_id: str) -> float:
        """Return the time (ms) since a backend was drained or removed in the list; 0 if it was not."""
        revision = self.end_revisions.get(backend_id)
        if revision is None:
            return 0.0
        return (self.loop.time() - self.discovery.published_at(revision)) * 1000
