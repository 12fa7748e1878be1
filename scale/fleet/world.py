"""The backends of the world and what happens to them; the list service is told of it."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import NamedTuple

import orjson

from dunecove.policy.models import AttemptResult
from scale.fleet.clock import VirtualLoop
from scale.fleet.service import Change, ListService

ZONES, REGIONS = 11, 5
CUT_REGIONS = frozenset((3, 4))  # those that lose the others
# Machines a day and machine, on an ordinary day at the size that is coming: 54,000 planned, 590 failures.
PLANNED_A_DAY, FAILED_A_DAY = 54_000 / 150_000, 590 / 150_000
RACK, RACKS_LEAST = 40, 2 * ZONES  # machines in one; racks there are at least
DETECT_S = 3.0  # s until the list service sees that a machine is gone
LINGER_S = 2.0  # s beyond the drain grace until a drained machine is gone
BOOT_S = 5.0  # s from the loss of a machine to the one that takes its place
RELEASE_STEPS, RELEASE_PART = 5, 0.1
DOWN_S = 8.0  # s for which discovery is down
WEIGHTS_MS = (500.0, 900.0)  # between two renewals of all weights
REFUSED_MS, SERVE_MS, COLD_TIMES = 1.0, 30.0, 2.0  # a refusal; the mean of an answer; more while cold
ACTIVE, LEAVING, LEFT = "active", "leaving", "left"


class Rules(NamedTuple):
    """What the settings of all proxies say; ms."""

    drain_grace_ms: float = 1000.0
    cold_ms: float = 8000.0
    connect_ms: float = 250.0


class Backend:
    def __init__(self, number: int, zone: int, rack: int, service: int, boot_ms: float) -> None:
        self.uid = f"s-{number:08x}"
        self.endpoint = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:3000"
        self.zone, self.rack, self.service, self.boot_ms = zone, rack, service, boot_ms
        self.state, self.weight = ACTIVE, 1.0
        self.up = True  # the machine is there, whatever the list says

    @property
    def region(self) -> int:
        return region_of(self.zone)

    def change(self) -> Change:
        entry = {
            "uid": self.uid,
            "endpoint": self.endpoint,
            "az": zone_name(self.zone),
            "model": "m1",
            "pod_group": self.rack,
            "state": self.state,
            "capacity_hint": self.weight,
            "boot_ms": round(self.boot_ms),
        }
        # A copy: what orjson gives holds on to 4 KB, and the service keeps one for each backend.
        return Change(self.uid, bytes(memoryview(orjson.dumps(entry))), self.state == LEFT)


def region_of(zone: int) -> int:
    return zone % REGIONS


def zone_name(zone: int) -> str:
    return f"z{zone}"


class World:
    """`backends` holds those that the list names; `ended` the versions that drained or removed one."""

    def __init__(self, loop: VirtualLoop, size: int, seed: int, rules: Rules, services: int = 1) -> None:
        self.loop, self.rules, self.services = loop, rules, services
        self.rng = Random(f"world {seed}")
        self.list = ListService(loop)
        self.backends: dict[str, Backend] = {}
        self.all: dict[str, Backend] = {}  # also those that are gone
        self.ended: dict[str, int] = {}
        # From when to when (s) each region could not reach the list service, in order.
        self.outages: list[list[tuple[float, float]]] = [[] for _ in range(REGIONS)]
        self.split: frozenset[int] = frozenset()  # regions that the others can't reach
        self.numbers = 0
        rack = min(RACK, max(1, size // RACKS_LEAST))
        for number in range(size):
            self.add(number // rack % ZONES, number // rack, self.rng.randrange(services), 0.0)
        self.list.entries = {b.uid: b.change().entry for b in self.backends.values()}

    def add(self, zone: int, rack: int, service: int, boot_ms: float) -> Backend:
        backend = Backend(self.numbers, zone, rack, service, boot_ms)
        self.numbers += 1
        self.backends[backend.uid] = self.all[backend.uid] = backend
        return backend

    # Changes of the list

    def tell(self, backends: list[Backend]) -> None:
        """One new version of the list, with these as they are now."""
        if not backends:
            return
        rev = self.list.publish([backend.change() for backend in backends])
        for backend in backends:
            if backend.state == ACTIVE:
                self.ended.pop(backend.uid, None)
                self.backends[backend.uid] = backend
            else:
                self.ended.setdefault(backend.uid, rev)
            if backend.state == LEFT:
                self.backends.pop(backend.uid, None)

    def active(self, wanted: Callable[[Backend], bool] = lambda _: True) -> list[Backend]:
        return [b for b in self.backends.values() if b.state == ACTIVE and b.up and wanted(b)]

    def drain(self, backends: list[Backend]) -> None:
        """They leave as planned, and cold ones take their places."""
        for backend in backends:
            backend.state = LEAVING
        self.tell(backends)
        after = self.rules.drain_grace_ms / 1000 + LINGER_S
        self.loop.call_later(after, self.replace, backends)

    def replace(self, backends: list[Backend]) -> None:
        for backend in backends:
            backend.state, backend.up = LEFT, False
        now = self.loop.now_ms()
        self.tell([*backends, *(self.add(b.zone, b.rack, b.service, now) for b in backends)])

    def lose(self, backends: list[Backend], back_s: float | None = None) -> None:
        """They fall silent in this moment; the list leaves them out once that is seen. The same machines
        start again after `back_s`, or where that is None others take their places after BOOT_S."""
        for backend in backends:
            backend.up = False
        self.loop.call_later(DETECT_S, self._unlist, backends)
        if back_s is None:
            self.loop.call_later(BOOT_S, self.replace, backends)
        else:
            self.loop.call_later(max(back_s, DETECT_S), self._restart, backends)

    def _unlist(self, backends: list[Backend]) -> None:
        for backend in backends:
            backend.state = LEFT
        self.tell(backends)

    def _restart(self, backends: list[Backend]) -> None:
        for backend in backends:
            backend.state, backend.up, backend.boot_ms = ACTIVE, True, self.loop.now_ms()
        self.tell(backends)

    # What goes on at all times

    def churn(self, times: float) -> None:
        """The ordinary day at this size, so many times as fast."""
        a_second = (PLANNED_A_DAY + FAILED_A_DAY) / 86_400 * len(self.backends) * times
        if a_second > 0:
            self.loop.call_later(self.rng.expovariate(a_second), self._churn_one, times)

    def _churn_one(self, times: float) -> None:
        one = self.rng.choice(list(self.backends.values()))
        if one.state == ACTIVE and one.up:
            failed = self.rng.random() < FAILED_A_DAY / (PLANNED_A_DAY + FAILED_A_DAY)
            (self.lose if failed else self.drain)([one])
        self.churn(times)

    def renew_weights(self) -> None:
        """Live weights of all backends, in one new version each time."""
        for backend in self.backends.values():
            backend.weight = round(self.rng.uniform(0.5, 1.5), 3)
        self.tell(list(self.backends.values()))
        self.loop.call_later(self.rng.uniform(*WEIGHTS_MS) / 1000, self.renew_weights)

    # Events

    def rack(self) -> None:
        rack = self.rng.choice(self.active()).rack
        self.lose(self.active(lambda b: b.rack == rack))

    def zone(self, lasting_s: float) -> None:
        zone = self.rng.randrange(ZONES)
        self.lose(self.active(lambda b: b.zone == zone), lasting_s)

    def release(self, over_s: float) -> None:
        """A tenth of one service is replaced in steps."""
        service = self.rng.randrange(self.services)
        members = self.active(lambda b: b.service == service)
        chosen = self.rng.sample(members, max(1, round(len(members) * RELEASE_PART)) if members else 0)
        for step in range(RELEASE_STEPS):
            self.loop.call_later(
                step * over_s / RELEASE_STEPS, self.drain_active, chosen[step::RELEASE_STEPS]
            )

    def drain_active(self, backends: list[Backend]) -> None:
        """Those among them that are still active."""
        self.drain([b for b in backends if b.state == ACTIVE and b.up])

    def part(self, lasting_s: float) -> None:
        """Some regions lose the others and the list service."""
        self.split = CUT_REGIONS
        self.silence(CUT_REGIONS, lasting_s)

    def silence(self, regions: frozenset[int], lasting_s: float) -> None:
        """The list service can't be reached from these regions."""
        self.list.cut |= regions
        for region in regions:
            self.outages[region].append((self.loop.time(), inf))
        self.loop.call_later(lasting_s, self._heal, regions)

    def _heal(self, regions: frozenset[int]) -> None:
        self.list.cut -= regions
        self.split = frozenset()
        for region in regions:
            began, _ = self.outages[region].pop()
            self.outages[region].append((began, self.loop.time()))

    def reached(self, region: int, when: float, within_s: float = 0.0) -> float:
        """The first moment (s) from `when` on from which this region reaches discovery for `within_s`; inf
        while it is not known."""
        for began, ended in self.outages[region]:
            if when < ended and when + within_s >= began:
                when = ended
        return when

    # Requests

    def serve(self, uid: str, region: int, rng: Random) -> tuple[AttemptResult, float]:
        """How an attempt sent now from that region ends, and after how many ms."""
        backend, now = self.all[uid], self.loop.now_ms()
        if not backend.up or (region in self.split) != (backend.region in self.split):
            known = backend.state != ACTIVE  # a machine taken down refuses; one that vanished is silent
            return (
                AttemptResult.CONNECT_FAILED,
                REFUSED_MS if known and not backend.up else self.rules.connect_ms,
            )
        if backend.state == LEAVING and self.drained_for(uid) > self.rules.drain_grace_ms:
            return AttemptResult.REJECTED, REFUSED_MS
        cold = backend.boot_ms > 0 and now < backend.boot_ms + self.rules.cold_ms
        return AttemptResult.OK, rng.expovariate(1 / SERVE_MS) * (COLD_TIMES if cold else 1.0)

    def drained_for(self, uid: str) -> float:
        """ms since the list dropped or drained it; 0 for one that it did not."""
        rev = self.ended.get(uid)
        return (self.loop.time() - self.list.versions[rev - 1]) * 1000 if rev is not None else 0.0
