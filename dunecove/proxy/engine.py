"""The engine: connects the balancer to the sockets, with one balancer step per event loop iteration."""

from __future__ import annotations

import asyncio
import traceback
from math import inf

from dunecove.policy.actions import (
    Action,
    BackendEjected,
    CancelAttempt,
    Fail,
    Forward,
    PollDiscovery,
    Reject,
    SendGossip,
    SendHealthCheck,
    SetTimer,
)
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import (
    BackendListUpdate,
    DiscoveryMoved,
    Event,
    GossipReceived,
    HealthCheckResult,
    ListUpdateKind,
    TimerFired,
)
from dunecove.policy.models import AttemptResult
from dunecove.policy.settings import Settings
from dunecove.proxy.attempt import Attempt
from dunecove.proxy.cached_list_feed import CachedListFeed
from dunecove.proxy.clock import now_ms
from dunecove.proxy.connection_pool import ConnectionPool
from dunecove.proxy.discovery_client import DiscoveryClient
from dunecove.proxy.endpoint_list import CachedEndpointList, EndpointListUpdate
from dunecove.proxy.gossip import GossipChannel
from dunecove.proxy.http_exchange import Response
from dunecove.proxy.log_writer import log
from dunecove.proxy.memory_budget import ContentBudgets
from dunecove.proxy.request_lifecycle import RequestLifecycle
from dunecove.proxy.telemetry import CounterName, Telemetry
from dunecove.wire.settings import ProxySettings

RESTART_DELAY_S = 0.1  # between the failure of a balancer and the first step of its replacement
HEALTH_CHECK_HEAD = b"GET /stats HTTP/1.1\r\nhost: backend.local\r\n"


class Engine:
    """Collects events, passes them to the balancer once per loop iteration, and executes its actions."""

    def __init__(
        self,
        settings: Settings,
        proxy_settings: ProxySettings,
        seed: int,
        max_backend_connections: int,
        budgets: ContentBudgets | None = None,
        max_executed_ids: float = inf,
    ) -> None:
        """Create an engine without backends; requires a running event loop.

        `budgets` limit the content of messages (None: nothing does), `max_executed_ids` the kept ids.
        """
        self.budgets = ContentBudgets.unlimited() if budgets is None else budgets
        self.telemetry = Telemetry()
        self.balancer = Balancer(settings, seed)
        self.connection_pool = ConnectionPool(
            proxy_settings.connect_timeout_ms,
            proxy_settings.backend_idle_timeout_ms,
            max_backend_connections,
            self.budgets.responses,
        )
        self.requests = RequestLifecycle(
            settings, self.connection_pool, self.telemetry, self._raise_event, max_executed_ids
        )
        self.cached_list_feed = CachedListFeed(self.connection_pool)
        self.discovery: DiscoveryClient | None = None
        self.gossip: GossipChannel | None = None
        self.is_closed = False
        self._settings = settings
        self._seed = seed
        self._health_check_timeout_ms = proxy_settings.connect_timeout_ms
        self._list_updates: list[BackendListUpdate] = []  # delivered before all other events
        self._events: list[Event] = []
        self._next_step: asyncio.Handle | None = None
        self._step_time = 0.0  # start of the last step, in ms of `now_ms`; durations in actions count from it
        self._incarnation = 0  # number of times that the balancer has been replaced after a failure
        self._loop = asyncio.get_running_loop()

    # Input from discovery, gossip and signals

    def on_list_update(self, update: EndpointListUpdate, kind: ListUpdateKind | None = None) -> None:
        """Apply an endpoint list update. By default, `kind` is derived from the update."""
        # The pool is updated at once, so that nothing is written to a draining backend in this iteration.
        self.connection_pool.update(update.endpoints, update.is_snapshot)
        kind = kind or (ListUpdateKind.SNAPSHOT if update.is_snapshot else ListUpdateKind.DELTA)
        self.telemetry.count(CounterName.LIST_UPDATE, kind.value)
        if kind is ListUpdateKind.CACHED:
            self._feed_cached_list([endpoint.backend_id for endpoint in update.endpoints])
        else:
            entries = tuple(endpoint.info for endpoint in update.endpoints)
            self._list_updates.append(BackendListUpdate(kind, entries))
        self._schedule_step()

    def load_cached_list(self, cached_list: CachedEndpointList) -> None:
        """Load an endpoint list from before this process started; the pool takes over its table."""
        self.connection_pool.endpoints = cached_list.table
        self._feed_cached_list(cached_list.backend_ids)
        self._schedule_step()

    def on_list_failure(self, reason: str) -> None:
        """Notify the balancer that the watch on the endpoint list has ended with an error."""
        self._list_updates.append(BackendListUpdate(ListUpdateKind.FAILED))
        self._schedule_step()
        self.telemetry.count(CounterName.LIST_UPDATE, ListUpdateKind.FAILED.value)
        log(f"discovery poll failed: {reason}; the current endpoint list stays in use")

    def on_gossip(self, sender_index: int, payload: bytes) -> None:
        """Pass a gossip message from another proxy to the balancer."""
        self._raise_event(GossipReceived(sender_index, payload))

    def move_discovery(self, address: str) -> None:
        """Poll discovery at `address` from now on; the current list stays in use until it responds."""
        if self.discovery is not None and self.discovery.set_address(address):
            self.telemetry.count(CounterName.DISCOVERY_MOVED)
            log(f"discovery address changed to {address}")
            self._raise_event(DiscoveryMoved())

    def close(self) -> None:
        """Close everything except client connections, and report unanswered requests."""
        self.is_closed = True
        self.requests.report_unanswered()
        self.connection_pool.close()
        if self.discovery is not None:
            self.discovery.close()
            self.discovery = None  # a later signal or step must not open a new watch
        if self.gossip is not None:
            self.gossip.close()

    def _on_health_check_ended(self, attempt: Attempt, result: AttemptResult, _: Response | None) -> None:
        self._raise_event(HealthCheckResult(attempt.backend_id, result, now_ms() - attempt.started_at))

    def _on_timer(self, token: int, incarnation: int) -> None:
        if incarnation == self._incarnation:
            self._raise_event(TimerFired(token))

    # Balancer steps

    def _feed_cached_list(self, backend_ids: list[str]) -> None:
        """Start to pass the cached list, or after a failure the current one, to the balancer in slices."""
        self._list_updates = [self.cached_list_feed.start(backend_ids)]

    def _raise_event(self, event: Event) -> None:
        self._events.append(event)
        self._schedule_step()

    def _schedule_step(self) -> None:
        if self._next_step is None:
            self._next_step = self._loop.call_soon(self._step)

    def _step(self) -> None:
        self._next_step = None
        batch = self._pop_events()
        ended = self.requests.pop_ended()
        try:
            self._step_time = now_ms()
            actions = self.balancer.step(self._step_time, batch)
        except Exception:
            self._restart_balancer()
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:  # the other actions, such as a `SetTimer`, must still be executed
                log(f"internal error: action {action} failed\n{traceback.format_exc()}")
        self.requests.remove_ended(ended)

    def _pop_events(self) -> list[Event]:
        """Return and clear the pending events, list updates first."""
        batch: list[Event] = [*self._list_updates, *self._events]
        self._list_updates = []
        self._events = []
        if not self.cached_list_feed.is_done:
            self._list_updates.append(self.cached_list_feed.next_update())
            self._schedule_step()
        return batch

    def _restart_balancer(self) -> None:
        """Replace a balancer whose step raised, as its state can't be trusted, and fail its requests."""
        log(f"the balancer failed; replacing it and failing all open requests\n{traceback.format_exc()}")
        self._incarnation += 1
        self.balancer = Balancer(self._settings, self._seed + self._incarnation)
        self._feed_cached_list(list(self.connection_pool.endpoints))
        self._events = []
        if self._next_step is not None:
            self._next_step.cancel()
        # The delay leaves time to respond to clients if each new balancer fails in its first step.
        self._next_step = self._loop.call_later(RESTART_DELAY_S, self._step)
        if self.discovery is not None and not self._settings.polls_discovery:
            # The event that the watch had ended may have been lost with the old balancer. A pushed list
            # needs a watch at all times; for a polled list, the new balancer starts polling by itself.
            self.discovery.watch()
        self.requests.fail_all()

    # Execution of actions

    def _execute(self, action: Action) -> None:
        match action:
            case Forward():
                self.requests.forward(action, self._step_time)
            case Reject() | Fail():
                self.requests.send_final_response(action)
            case CancelAttempt():
                self.requests.cancel_attempt(action)
            case SetTimer():
                delay_s = action.delay_ms / 1000
                self._loop.call_later(delay_s, self._on_timer, action.token, self._incarnation)
            case PollDiscovery():
                self._watch_discovery()
            case SendGossip():
                self._send_gossip(action.payload)
            case SendHealthCheck():
                self._check_health(action.backend_id)
            case BackendEjected():
                log(str(action))

    def _watch_discovery(self) -> None:
        if self.discovery is not None:
            self.discovery.watch()

    def _send_gossip(self, payload: bytes) -> None:
        if self.gossip is not None:
            self.gossip.send(payload)

    def _check_health(self, backend_id: str) -> None:
        self.connection_pool.start(
            Attempt(
                backend_id,
                HEALTH_CHECK_HEAD,
                b"",
                self._health_check_timeout_ms,
                self._on_health_check_ended,
            )
        )
