"""A hollow proxy: the real module and the real list code; its clients and backends are drawn at random."""

from __future__ import annotations

import sys
import traceback
from contextvars import copy_context
from random import Random
from typing import Any

import orjson

from dunecove.policy.actions import Action, Fail, Forward, PollDiscovery, Reject, SetTimer
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import (
    AttemptEnded,
    BackendListUpdate,
    ClientDisconnected,
    Event,
    ListUpdateKind,
    RequestArrived,
    TimerFired,
)
from dunecove.policy.models import AttemptResult
from dunecove.proxy.connection_pool import ConnectionPool
from dunecove.proxy.discovery_client import DiscoveryClient
from dunecove.proxy.endpoint_json import read_list_update
from dunecove.proxy.endpoint_list import EndpointListUpdate
from dunecove.wire.settings import read_proxy_settings, read_settings
from scale.fleet.account import ACCOUNT, Account
from scale.fleet.world import LEAVING, LEFT, REGIONS, ZONES, Rules, World, region_of, zone_name

AIM_MS, DEADLINE_MS, MOST_TRIES = 300.0, 1000.0, 3
TOLD_S = 6.0  # s after which what discovery had and could tell counts as told
SLACK_MS = 50.0  # longer than the settings say is each time limit on sockets
MODULE_REST_S = 0.1  # s until a module that broke is followed by another, as in the real engine


def settings(number: int, tier: int, pushed: bool, rules: Rules) -> dict[str, Any]:
    """The settings object that the platform would give to this proxy of `tier` proxies."""
    return {
        "Lanes": [{"Name": "lookup", "AimMs": AIM_MS, "HardLimitMs": DEADLINE_MS, "Effect": "read_like"}],
        "Dcs": [zone_name(zone) for zone in range(ZONES)],
        "Kinds": ["m1"],
        "Balancers": tier,
        "Me": number,
        "Az": number % ZONES,
        "Discovery": "push" if pushed else "ask",
        "Limits": {"MayCancel": True, "MostTries": MOST_TRIES, "ConnectTimeoutMs": rules.connect_ms},
        "Obligations": {"DrainGraceMs": rules.drain_grace_ms, "ColdMs": rules.cold_ms, "StartCapacity": 0.3},
    }


def address(region: int) -> str:
    return f"10.255.{region}.1:80"


MEMORY_MB = 128.0  # of each proxy at the target size: a list as long as that bears is read


class Open:
    """A request that is not forgotten yet."""

    def __init__(self) -> None:
        self.attempts, self.out, self.over = 0, 0, False


class HollowProxy:
    """`frozen` plants a fault: whatever list comes after its first is not passed on."""

    def __init__(
        self, world: World, number: int, seed: int, tier: int, pushed: bool, rate: float, frozen: bool = False
    ) -> None:
        self.world, self.loop, self.number, self.seed = world, world.loop, number, seed
        self.pushed, self.rate, self.frozen = pushed, rate, frozen
        self.info = settings(number, tier, pushed, world.rules)
        self.region = region_of(number % ZONES)
        self.account = Account()
        self.rng = Random(f"proxy {seed} {number}")
        self.context = copy_context()
        self.context.run(ACCOUNT.set, self.account)
        self.life = self.arrivals = 0
        self.discovery: DiscoveryClient | None = None

    def start(self, known: bytes) -> None:
        """A new process with this saved list, as its configuration would hold it."""
        self.loop.call_soon(self._start, known, context=self.context)

    def stop(self) -> None:
        """Killed: nothing of it runs on."""
        self.life += 1
        if self.discovery is not None:
            self.discovery.close()
            self.backends.close()

    def _start(self, known: bytes) -> None:
        self.stop()
        self.account.start(self.loop.time())
        # The program reads its configuration at the start only; a whole list is not shared between proxies.
        self.settings, self.wire = read_settings(self.info), read_proxy_settings(self.info)
        listing = read_list_update(orjson.loads(known), self.wire)
        self.backends = ConnectionPool(self.wire.connect_timeout_ms, self.wire.conn_idle_ms, 1)
        self.balancer = Balancer(self.settings, self.seed * 100_003 + self.number)
        self.news: list[BackendListUpdate] = []
        self.events: list[Event] = []
        self.requests: dict[str, Open] = {}
        self.waking = False
        self.discovery = DiscoveryClient(
            address(self.region),
            self.wire,
            listing.revision,
            self.on_list,
            self.on_failure,
            self.pushed,
            memory_mb=MEMORY_MB,
            endpoints=self.backends.endpoints,
        )
        self._take(listing, ListUpdateKind.CACHED)
        if self.pushed:
            self.discovery.watch()
        if self.rate > 0:
            self.loop.call_later(self.rng.expovariate(self.rate), self.arrive, self.life)

    # The list

    def on_list(self, listing: EndpointListUpdate) -> None:
        if not self.frozen:
            self._take(listing, ListUpdateKind.SNAPSHOT if listing.is_snapshot else ListUpdateKind.DELTA)

    def _take(self, listing: EndpointListUpdate, kind: ListUpdateKind) -> None:
        self.backends.update(listing.endpoints, listing.is_snapshot)
        self.news.append(BackendListUpdate(kind, tuple(target.info for target in listing.endpoints)))
        self.account.held.add(self.loop.time(), listing.revision)
        self.wake()

    def on_failure(self, reason: str) -> None:
        self.account.counts["failed calls"] += 1
        self.account.counts[f"failed calls: {reason}"] += 1
        self.news.append(BackendListUpdate(ListUpdateKind.FAILED))
        self.wake()

    # Turns

    def wake(self) -> None:
        if not self.waking:
            self.waking = True
            self.loop.call_soon(self.turn, self.life)

    def tell(self, event: Event) -> None:
        self.events.append(event)
        self.wake()

    def turn(self, life: int) -> None:
        if life != self.life:
            return
        self.waking = False
        batch: list[Event] = [*self.news, *self.events]
        self.news, self.events = [], []
        try:
            actions = self.balancer.step(self.loop.now_ms(), batch)
        except Exception:
            self._module_broke()
            return
        for action in actions:
            self.carry_out(action)

    def _module_broke(self) -> None:
        """As in the real engine: another module takes over with the list that the pools have."""
        if not self.account.counts["module exceptions"]:
            print(
                f"fleet: the module of proxy {self.number} broke\n{traceback.format_exc()}", file=sys.stderr
            )
        self.account.counts["module exceptions"] += 1
        self.life += 1
        self.balancer = Balancer(self.settings, self.seed * 100_003 + self.number + self.life)
        entries = self.backends.backend_infos(list(self.backends.endpoints))
        self.news, self.events, self.requests = [BackendListUpdate(ListUpdateKind.CACHED, entries)], [], {}
        self.waking = True
        self.loop.call_later(MODULE_REST_S, self.turn, self.life)
        if self.pushed and self.discovery is not None:
            self.discovery.watch()
        if self.rate > 0:
            self.loop.call_later(self.rng.expovariate(self.rate), self.arrive, self.life)

    def carry_out(self, action: Action) -> None:
        if isinstance(action, Forward):
            self.send(action)
        elif isinstance(action, SetTimer):
            self.loop.call_later(action.delay_ms / 1000, self.on_timer, action.token, self.life)
        elif isinstance(action, PollDiscovery) and self.discovery is not None:
            self.discovery.watch()
        elif isinstance(action, (Reject, Fail)):
            self.account.counts["refused" if isinstance(action, Reject) else "failed"] += 1
            self._over(action.request_id)

    def on_timer(self, token: int, life: int) -> None:
        if life == self.life:
            self.tell(TimerFired(token))

    # Requests

    def arrive(self, life: int) -> None:
        if life != self.life:
            return
        self.arrivals += 1
        request = f"{self.number}.{self.arrivals}"
        self.requests[request] = Open()
        self.account.counts["requests"] += 1
        self.tell(RequestArrived(request, 0, 0, None, self.loop.now_ms() + DEADLINE_MS))
        self.loop.call_later(DEADLINE_MS / 1000, self._deadline, request, life)
        self.loop.call_later(self.rng.expovariate(self.rate), self.arrive, life)

    def _deadline(self, request: str, life: int) -> None:
        held = self.requests.get(request)
        if life == self.life and held is not None and not held.over:
            self.account.counts["unanswered"] += 1
            self._over(request)
            self.tell(ClientDisconnected(request))

    def _over(self, request: str) -> None:
        held = self.requests.get(request)
        if held is not None:
            held.over = True
            if held.out == 0:
                del self.requests[request]

    def send(self, action: Forward) -> None:
        held = self.requests.get(action.request_id)
        if held is None:
            return
        attempt = held.attempts
        held.attempts += 1
        held.out += 1
        self.check(action.backend_id)
        result, delay = self.world.serve(action.backend_id, self.region, self.rng)
        if delay > action.timeout_ms:
            result, delay = AttemptResult.TIMEOUT, action.timeout_ms
        self.loop.call_later(
            delay / 1000, self.on_outcome, action.request_id, attempt, result, delay, self.life
        )

    def on_outcome(self, request: str, attempt: int, result: AttemptResult, delay: float, life: int) -> None:
        held = self.requests.get(request)
        if life != self.life or held is None:
            return
        held.out -= 1
        if result is AttemptResult.OK and not held.over:
            held.over = True
            self.account.counts["served"] += 1
        self.tell(AttemptEnded(request, attempt, result, delay, held.over))
        if held.over and held.out == 0:
            del self.requests[request]

    def check(self, uid: str) -> None:
        """Count a send by what the list service had told of its backend."""
        counts, backend, now = self.account.counts, self.world.all[uid], self.loop.now_ms()
        counts["sends"] += 1
        if not backend.up:
            counts["sends to gone"] += 1
        if now < backend.boot_ms + self.world.rules.cold_ms and backend.boot_ms > 0:
            counts["sends to cold"] += 1
        rev = self.world.ended.get(uid)
        if rev is not None and backend.state in (LEAVING, LEFT):
            grace_ms = self.world.rules.drain_grace_ms + SLACK_MS
            if now > self.told_at(rev) * 1000 + grace_ms:
                counts["sends after grace"] += 1

    def told_at(self, rev: int) -> float:
        """When (s) this proxy counts as told of a version: as it came, or at the latest 6 s after discovery
        had it and could be reached; where lists are pushed, as soon as that."""
        came = self.account.told.since(rev)
        had = max(self.world.list.versions[rev - 1], self.account.started)
        allowed = 0.0 if self.pushed else TOLD_S
        due = self.world.reached(self.region, had, allowed) + allowed
        return due if came is None else min(came, due)


assert REGIONS <= 256  # addresses hold the region in one byte
