"""A simulated proxy with the real balancer and discovery client; its requests and outcomes are random."""

from __future__ import annotations

import sys
import traceback
from contextvars import copy_context
from dataclasses import dataclass
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
from scale.fleet.cluster import (
    ACTIVE,
    REGION_COUNT,
    ZONE_COUNT,
    AttemptOutcome,
    ClusterSettings,
    SimulatedCluster,
    region_of,
    zone_name,
)
from scale.fleet.metrics import CURRENT_METRICS, Count, ProxyMetrics

OBJECTIVE_MS = 300.0
DEADLINE_MS = 1000.0
MAX_ATTEMPTS = 3
NOTIFICATION_LIMIT_S = 6.0  # time after which a proxy that can reach discovery counts as notified
SOCKET_SLACK_MS = 50.0  # time by which socket operations may exceed each limit in the settings
BALANCER_RESTART_S = 0.1  # delay until a failed balancer is replaced, as in the real engine
MEMORY_MB = 128.0  # memory limit of each proxy in the target deployment, which bounds the list that it reads
SEED_STRIDE = 100_003

assert REGION_COUNT <= 256  # the region is one byte of an address


def raw_proxy_settings(number: int, tier: int, pushed: bool, cluster: ClusterSettings) -> dict[str, Any]:
    """Return the settings of proxy `number` in a tier of `tier` proxies, as in its configuration file."""
    return {
        "Lanes": [
            {"Name": "lookup", "AimMs": OBJECTIVE_MS, "HardLimitMs": DEADLINE_MS, "Effect": "read_like"}
        ],
        "Dcs": [zone_name(zone) for zone in range(ZONE_COUNT)],
        "Kinds": ["m1"],
        "Balancers": tier,
        "Me": number,
        "Az": number % ZONE_COUNT,
        "Discovery": "push" if pushed else "ask",
        "Limits": {
            "MayCancel": True,
            "MostTries": MAX_ATTEMPTS,
            "ConnectTimeoutMs": cluster.connect_timeout_ms,
        },
        "Obligations": {
            "DrainGraceMs": cluster.drain_grace_ms,
            "ColdMs": cluster.cold_ms,
            "StartCapacity": 0.3,
        },
    }


def discovery_address(region: int) -> tuple[str, int]:
    """Return the address of discovery for the proxies of a region."""
    return f"10.255.{region}.1", 80


@dataclass
class RequestState:
    """A request that has attempts in flight or no final response."""

    attempts: int = 0  # number of attempts so far
    in_flight: int = 0
    is_done: bool = False


@dataclass(frozen=True)
class ProxyOptions:
    """Options shared by all proxies of a run."""

    seed: int
    tier: int  # number of proxies in the settings
    pushed: bool  # whether an agent pushes the lists
    rate: float  # requests per second


class SimulatedProxy:
    """A simulated proxy; `frozen` injects a fault: lists after the cached one are ignored.

    Callbacks carry the incarnation in which they were scheduled, and do nothing in a later incarnation.
    """

    def __init__(
        self, cluster: SimulatedCluster, number: int, options: ProxyOptions, frozen: bool = False
    ) -> None:
        self._cluster = cluster
        self._loop = cluster.loop
        self._number = number
        self._options = options
        self._is_frozen = frozen
        self._raw_settings = raw_proxy_settings(number, options.tier, options.pushed, cluster.settings)
        self.region = region_of(number % ZONE_COUNT)
        self.metrics = ProxyMetrics()
        self._random = Random(f"proxy {options.seed} {number}")
        self._context = copy_context()
        self._context.run(CURRENT_METRICS.set, self.metrics)
        self._incarnation = self._arrivals = 0
        self._discovery: DiscoveryClient | None = None

    def start(self, cached: bytes) -> None:
        """Start a new process with a cached list, as from its configuration."""
        self._loop.call_soon(self._start, cached, context=self._context)

    def stop(self) -> None:
        """Kill the process and stop all of its callbacks."""
        self._incarnation += 1
        if self._discovery is not None:
            self._discovery.close()
            self._pool.close()

    def _start(self, cached: bytes) -> None:
        self.stop()
        self.metrics.restart(self._loop.time())
        # The real proxy reads its configuration only at the start, and shares its list with no other proxy.
        self._settings = read_settings(self._raw_settings)
        proxy_settings = read_proxy_settings(self._raw_settings)
        update = read_list_update(orjson.loads(cached), proxy_settings)
        self._pool = ConnectionPool(
            proxy_settings.connect_timeout_ms, proxy_settings.backend_idle_timeout_ms, 1
        )
        self.balancer = self._create_balancer(0)
        self._list_updates: list[BackendListUpdate] = []
        self._events: list[Event] = []
        self._requests: dict[str, RequestState] = {}
        self._step_is_scheduled = False
        host, port = discovery_address(self.region)
        self._discovery = DiscoveryClient(
            f"{host}:{port}",
            proxy_settings,
            update.revision,
            self._on_list,
            self._on_discovery_failure,
            self._options.pushed,
            memory_mb=MEMORY_MB,
            endpoints=self._pool.endpoints,
        )
        self._apply(update, ListUpdateKind.CACHED)
        self._start_load()

    def _create_balancer(self, seed_offset: int) -> Balancer:
        seed = self._options.seed * SEED_STRIDE + self._number + seed_offset
        return Balancer(self._settings, seed)

    def _start_load(self) -> None:
        if self._options.pushed and self._discovery is not None:
            self._discovery.watch()
        if self._options.rate > 0:
            delay_s = self._random.expovariate(self._options.rate)
            self._loop.call_later(delay_s, self._on_arrival, self._incarnation)

    # List updates

    def _on_list(self, update: EndpointListUpdate) -> None:
        if not self._is_frozen:
            self._apply(update, ListUpdateKind.SNAPSHOT if update.is_snapshot else ListUpdateKind.DELTA)

    def _apply(self, update: EndpointListUpdate, kind: ListUpdateKind) -> None:
        self._pool.update(update.endpoints, update.is_snapshot)
        infos = tuple(endpoint.info for endpoint in update.endpoints)
        self._list_updates.append(BackendListUpdate(kind, infos))
        self.metrics.applied.record(update.revision, self._loop.time())
        self._schedule_step()

    def _on_discovery_failure(self, reason: str) -> None:
        self.metrics.counts[Count.FAILED_DISCOVERY_CALLS] += 1
        self.metrics.counts[f"{Count.FAILED_DISCOVERY_CALLS}: {reason}"] += 1
        self._list_updates.append(BackendListUpdate(ListUpdateKind.FAILED))
        self._schedule_step()

    # Steps of the balancer

    def _schedule_step(self) -> None:
        if not self._step_is_scheduled:
            self._step_is_scheduled = True
            self._loop.call_soon(self._step, self._incarnation)

    def _notify(self, event: Event) -> None:
        self._events.append(event)
        self._schedule_step()

    def _step(self, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        self._step_is_scheduled = False
        events: list[Event] = [*self._list_updates, *self._events]
        self._list_updates = []
        self._events = []
        try:
            actions = self.balancer.step(self._loop.now_ms(), events)
        except Exception:
            self._replace_balancer()
            return
        for action in actions:
            self._execute(action)

    def _replace_balancer(self) -> None:
        """Replace a failed balancer; the new one gets the connection pool's list, as in the real engine."""
        counts = self.metrics.counts
        if not counts[Count.BALANCER_ERRORS]:
            print(
                f"fleet: the balancer of proxy {self._number} failed and is replaced; further failures are "
                f"only counted\n{traceback.format_exc()}",
                file=sys.stderr,
            )
        counts[Count.BALANCER_ERRORS] += 1
        self._incarnation += 1
        self.balancer = self._create_balancer(self._incarnation)
        infos = self._pool.backend_infos(list(self._pool.endpoints))
        self._list_updates = [BackendListUpdate(ListUpdateKind.CACHED, infos)]
        self._events = []
        self._requests = {}
        self._step_is_scheduled = True
        self._loop.call_later(BALANCER_RESTART_S, self._step, self._incarnation)
        self._start_load()

    def _execute(self, action: Action) -> None:
        if isinstance(action, Forward):
            self._forward(action)
        elif isinstance(action, SetTimer):
            self._loop.call_later(action.delay_ms / 1000, self._on_timer, action.token, self._incarnation)
        elif isinstance(action, PollDiscovery) and self._discovery is not None:
            self._discovery.watch()
        elif isinstance(action, (Reject, Fail)):
            self.metrics.counts[Count.REJECTED if isinstance(action, Reject) else Count.FAILED] += 1
            self._end_request(action.request_id)

    def _on_timer(self, token: int, incarnation: int) -> None:
        if incarnation == self._incarnation:
            self._notify(TimerFired(token))

    # Requests

    def _on_arrival(self, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        self._arrivals += 1
        request_id = f"{self._number}.{self._arrivals}"
        self._requests[request_id] = RequestState()
        self.metrics.counts[Count.REQUESTS] += 1
        self._notify(RequestArrived(request_id, 0, 0, None, self._loop.now_ms() + DEADLINE_MS))
        self._loop.call_later(DEADLINE_MS / 1000, self._on_deadline, request_id, incarnation)
        self._loop.call_later(self._random.expovariate(self._options.rate), self._on_arrival, incarnation)

    def _on_deadline(self, request_id: str, incarnation: int) -> None:
        request = self._requests.get(request_id)
        if incarnation == self._incarnation and request is not None and not request.is_done:
            self.metrics.counts[Count.UNANSWERED] += 1
            self._end_request(request_id)
            self._notify(ClientDisconnected(request_id))

    def _end_request(self, request_id: str) -> None:
        request = self._requests.get(request_id)
        if request is not None:
            request.is_done = True
            if request.in_flight == 0:
                del self._requests[request_id]

    def _forward(self, action: Forward) -> None:
        request = self._requests.get(action.request_id)
        if request is None:
            return
        attempt = request.attempts
        request.attempts += 1
        request.in_flight += 1
        self._count_forward(action.backend_id)
        outcome = self._cluster.attempt(action.backend_id, self.region, self._random)
        if outcome.duration_ms > action.timeout_ms:
            outcome = AttemptOutcome(AttemptResult.TIMEOUT, action.timeout_ms)
        self._loop.call_later(
            outcome.duration_ms / 1000,
            self._on_outcome,
            action.request_id,
            attempt,
            outcome,
            self._incarnation,
        )

    def _on_outcome(self, request_id: str, attempt: int, outcome: AttemptOutcome, incarnation: int) -> None:
        request = self._requests.get(request_id)
        if incarnation != self._incarnation or request is None:
            return
        request.in_flight -= 1
        if outcome.result is AttemptResult.OK and not request.is_done:
            request.is_done = True
            self.metrics.counts[Count.SERVED] += 1
        self._notify(AttemptEnded(request_id, attempt, outcome.result, outcome.duration_ms, request.is_done))
        if request.is_done and request.in_flight == 0:
            del self._requests[request_id]

    def _count_forward(self, backend_id: str) -> None:
        """Count a forward, also by the state of its backend."""
        counts = self.metrics.counts
        backend = self._cluster.backends[backend_id]
        counts[Count.FORWARDS] += 1
        if not backend.is_up:
            counts[Count.FORWARDS_TO_STOPPED] += 1
        if self._cluster.is_cold(backend):
            counts[Count.FORWARDS_TO_COLD] += 1
        revision = self._cluster.end_revisions.get(backend_id)
        if revision is not None and backend.state != ACTIVE:
            grace_ms = self._cluster.settings.drain_grace_ms + SOCKET_SLACK_MS
            if self._loop.now_ms() > self.notified_at(revision) * 1000 + grace_ms:
                counts[Count.FORWARDS_AFTER_DRAIN_GRACE] += 1

    def notified_at(self, revision: int) -> float:
        """Return the time (s) at which this proxy counts as notified of a revision.

        That is when it received the revision, but at the latest 6 s after the revision was published and
        discovery reachable; if lists are pushed, as soon as discovery is reachable.
        """
        received_at = self.metrics.notified.first_at(revision)
        published_at = max(self._cluster.discovery.published_at(revision), self.metrics.started_at)
        allowed_s = 0.0 if self._options.pushed else NOTIFICATION_LIMIT_S
        due_at = self._cluster.reachable_from(self.region, published_at, allowed_s) + allowed_s
        return due_at if received_at is None else min(received_at, due_at)
