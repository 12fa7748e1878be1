"""The simulated backends, the changes of their list, and who can reach whom."""

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
RACK_SIZE = 40  # machines in one, or fewer, so that there are MIN_RACKS
MIN_RACKS = 2 * ZONE_COUNT
LOSS_DETECTION_S = 3.0  # until discovery sees that a machine is gone
DRAIN_LINGER_S = 2.0  # beyond the drain grace until a drained machine is gone
REPLACEMENT_S = 5.0  # from the loss of a machine to the one that takes its place
REFUSAL_MS = 1.0
MEAN_SERVICE_MS = 30.0
COLD_SLOWNESS = 2.0  # times the service time while cold
ACTIVE = "active"
DRAINING = "leaving"
REMOVED = "left"


class ClusterSettings(NamedTuple):
    """What the settings of all proxies say of the backends."""

    drain_grace_ms: float = 1000.0
    cold_ms: float = 8000.0
    connect_timeout_ms: float = 250.0


class AttemptOutcome(NamedTuple):
    """How an attempt ends, and after how long."""

    result: AttemptResult
    duration_ms: float


def region_of(zone: int) -> int:
    """Return the region in which a zone lies."""
    return zone % REGION_COUNT


def zone_name(zone: int) -> str:
    """Return the name of a zone in lists and settings."""
    return f"z{zone}"


class SimulatedBackend:
    """One machine that answers requests."""

    def __init__(self, number: int, zone: int, rack: int, service: int, boot_ms: float) -> None:
        self.backend_id = f"s-{number:08x}"
        self.address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:3000"
        self.zone = zone
        self.rack = rack
        self.service = service
        self.boot_ms = boot_ms  # when it started; 0 for long ago
        self.state = ACTIVE
        self.weight = 1.0
        self.is_up = True  # the machine is there, whatever the list says

    @property
    def region(self) -> int:
        """The region in which the machine stands."""
        return region_of(self.zone)

    def as_change(self) -> EntryChange:
        """Return its entry as it is now."""
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
        # A copy: what orjson gives holds on to 4 KB, and the service keeps one for each backend.
        data = bytes(memoryview(orjson.dumps(entry)))
        return EntryChange(self.backend_id, data, self.state == REMOVED)


class SimulatedCluster:
    """The backends, and the discovery service that lists them.

    `listed` holds those that the list names, `backends` also those that are gone, and `ended_by` the
    revision that drained or removed each of them.
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
        self.ended_by: dict[str, int] = {}
        # From when to when (s) each region could not reach discovery, in order.
        self._outages: list[list[tuple[float, float]]] = [[] for _ in range(REGION_COUNT)]
        self.separated_regions: frozenset[int] = frozenset()  # that the others can't reach
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
        """Publish one new revision of the list, with these backends as they are now."""
        if not backends:
            return
        revision = self.discovery.publish([backend.as_change() for backend in backends])
        for backend in backends:
            if backend.state == ACTIVE:
                self.ended_by.pop(backend.backend_id, None)
                self.listed[backend.backend_id] = backend
            else:
                self.ended_by.setdefault(backend.backend_id, revision)
            if backend.state == REMOVED:
                self.listed.pop(backend.backend_id, None)

    def active_backends(
        self, matches: Callable[[SimulatedBackend], bool] = lambda backend: True
    ) -> list[SimulatedBackend]:
        """Return those that match and are listed as active and up."""
        return [
            backend
            for backend in self.listed.values()
            if backend.state == ACTIVE and backend.is_up and matches(backend)
        ]

    def drain(self, backends: list[SimulatedBackend]) -> None:
        """Drain backends as planned; cold ones take their places."""
        for backend in backends:
            backend.state = DRAINING
        self.publish(backends)
        after_s = self.settings.drain_grace_ms / 1000 + DRAIN_LINGER_S
        self.loop.call_later(after_s, self._replace, backends)

    def drain_active(self, backends: list[SimulatedBackend]) -> None:
        """Drain those among them that are still active."""
        self.drain([backend for backend in backends if backend.state == ACTIVE and backend.is_up])

    def _replace(self, backends: list[SimulatedBackend]) -> None:
        for backend in backends:
            backend.state = REMOVED
            backend.is_up = False
        now_ms = self.loop.now_ms()
        added = [self._add(backend.zone, backend.rack, backend.service, now_ms) for backend in backends]
        self.publish([*backends, *added])

    def lose(self, backends: list[SimulatedBackend], returns_after_s: float | None = None) -> None:
        """Let backends become unresponsive now; the list leaves them out once that is detected.

        The same machines start again after `returns_after_s`; where that is None, others take their places
        after REPLACEMENT_S.
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

    def separate(self, regions: frozenset[int], duration_s: float) -> None:
        """Cut regions off from the others and from discovery."""
        self.separated_regions = regions
        self.cut_discovery(regions, duration_s)

    def cut_discovery(self, regions: frozenset[int], duration_s: float) -> None:
        """Cut regions off from discovery."""
        self.discovery.unreachable_regions |= regions
        for region in regions:
            self._outages[region].append((self.loop.time(), inf))
        self.loop.call_later(duration_s, self._reconnect, regions)

    def _reconnect(self, regions: frozenset[int]) -> None:
        self.discovery.unreachable_regions -= regions
        self.separated_regions = frozenset()
        for region in regions:
            started_at, _ = self._outages[region].pop()
            self._outages[region].append((started_at, self.loop.time()))

    def reachable_from(self, region: int, since: float, for_s: float = 0.0) -> float:
        """Return the first moment (s) from `since` on from which a region reaches discovery for `for_s`.

        It is infinite while that is not known.
        """
        reachable_at = since
        for started_at, ended_at in self._outages[region]:
            if reachable_at < ended_at and reachable_at + for_s >= started_at:
                reachable_at = ended_at
        return reachable_at

    def attempt(self, backend_id: str, region: int, random: Random) -> AttemptOutcome:
        """Draw how an attempt sent now from a region ends."""
        backend = self.backends[backend_id]
        is_separated = (region in self.separated_regions) != (backend.region in self.separated_regions)
        if not backend.is_up or is_separated:
            # A machine taken down refuses; one that vanished does not respond.
            is_refused = not backend.is_up and backend.state != ACTIVE
            duration_ms = REFUSAL_MS if is_refused else self.settings.connect_timeout_ms
            return AttemptOutcome(AttemptResult.CONNECT_FAILED, duration_ms)
        if backend.state == DRAINING and self._ended_for_ms(backend_id) > self.settings.drain_grace_ms:
            return AttemptOutcome(AttemptResult.REJECTED, REFUSAL_MS)
        slowness = COLD_SLOWNESS if self.is_cold(backend) else 1.0
        return AttemptOutcome(AttemptResult.OK, random.expovariate(1 / MEAN_SERVICE_MS) * slowness)

    def is_cold(self, backend: SimulatedBackend) -> bool:
        """Whether a backend has started a short while ago."""
        return backend.boot_ms > 0 and self.loop.now_ms() < backend.boot_ms + self.settings.cold_ms

    def _ended_for_ms(self, backend_id: str) -> float:
        """Return the time since the list drained or removed a backend; 0 for one that it did not."""
        revision = self.ended_by.get(backend_id)
        if revision is None:
            return 0.0
        return (self.loop.time() - self.discovery.published_at(revision)) * 1000
