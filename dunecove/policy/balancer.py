"""The decisions of one proxy: `Balancer.step` takes a batch of events and returns the actions to carry out.

Each rule is in the module that owns its state; this module passes the events on. The order within a step is:
1. each event: arriving requests are admitted or shed, outcomes of attempts update the estimates and may cause
   a retry, endpoint list updates change the backends, ticks do the housekeeping;
2. dispatch of pinned retries, which are restricted to their deduplication scope;
3. dispatch of the queues, and failure of requests that have waited too long.
"""

from __future__ import annotations

from random import Random

from dunecove.policy.actions import (
    Action,
    CancelAttempt,
    EndReason,
    Fail,
    PollDiscovery,
    Reject,
    SetTimer,
)
from dunecove.policy.admission import Admission
from dunecove.policy.bandit import Bandit
from dunecove.policy.client_retries import ClientRetries
from dunecove.policy.discovery_polling import DiscoveryPolling
from dunecove.policy.dispatcher import Dispatcher
from dunecove.policy.events import (
    AttemptEnded,
    BackendListUpdate,
    ClientDisconnected,
    DiscoveryMoved,
    Event,
    GossipReceived,
    ListUpdateKind,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from dunecove.policy.feedback import Feedback
from dunecove.policy.in_flight_limit import InFlightLimit
from dunecove.policy.latency_tracker import LatencyTracker
from dunecove.policy.list_updates import CACHED_KINDS, ListUpdates
from dunecove.policy.outlier_detection import OutlierDetector
from dunecove.policy.pinned_retries import PinnedRetries
from dunecove.policy.queue_timeouts import TICK_MS, QueueTimeouts
from dunecove.policy.request import Request
from dunecove.policy.request_queue import create_queues
from dunecove.policy.request_rules import first_executed_attempt
from dunecove.policy.retry_policy import Retry, RetryPolicy
from dunecove.policy.settings import Settings
from dunecove.policy.slow_start import SlowStart
from dunecove.policy.slow_start_budget import SlowStartBudget
from dunecove.policy.subsetting import BackendSet

SLOW_TICK_MS = 1000.0  # minimum interval of updates of the estimates that decay over time


class Balancer:
    """The decisions of one proxy. It must get every event, and every action must be carried out.

    Times are in ms.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings = settings
        rng = Random(seed)
        is_sparse = settings.is_sparse_tier
        queue_by_objective = create_queues(
            {request_class.latency_objective_ms for request_class in settings.classes},
            settings.step_interval_ms,
        )
        self.queues = list(queue_by_objective.values())
        self._queue_by_class = [queue_by_objective[c.latency_objective_ms] for c in settings.classes]
        self.latencies = LatencyTracker(len(settings.classes), is_sparse)
        self.in_flight_limit = InFlightLimit(
            settings.proxy_count, self.queues[0].objective_ms, self.latencies
        )
        self._slow_start = SlowStart(settings.slow_start_ms)
        self._slow_start_budget = SlowStartBudget(settings, rng, self._slow_start)
        self.backends = BackendSet(settings, self.queues, self.in_flight_limit, self._slow_start_budget)
        self._list_updates = ListUpdates(
            self.backends, self._slow_start, self._slow_start_budget, self.in_flight_limit
        )
        self.bandit = Bandit(settings, rng, self.latencies)
        self._outliers = OutlierDetector(settings, rng, self.backends)
        self._feedback = Feedback(
            settings, self.backends, self.latencies, self.in_flight_limit, self.bandit, self._outliers
        )
        self.admission = Admission(settings, rng, self.latencies, self.in_flight_limit)
        self.client_retries = ClientRetries(len(settings.classes))
        self.retry_policy = RetryPolicy(settings, self.latencies)
        self._timeouts = QueueTimeouts(settings, self.latencies)
        self._dispatcher = Dispatcher(
            settings, self.queues, self.backends, self.in_flight_limit, self.latencies, self.bandit
        )
        self.pinned_retries = PinnedRetries(self.backends, self._dispatcher)
        self.polling = DiscoveryPolling(settings, rng)
        self.requests: dict[str, Request] = {}  # without a final response, or with an open attempt
        self._is_started = False
        self._last_slow_tick_at = 0.0
        self._actions: list[Action] = []

    def step(self, now: float, events: list[Event]) -> list[Action]:
        """Process a batch of events that happened up to `now`; return the actions in order."""
        self._actions = []
        if not self._is_started and events:
            self._start(now)
        for event in events:
            self._handle(now, event)
        if self.pinned_retries.waiting:
            self._actions += self.pinned_retries.dispatch(now)
        self._actions += self._dispatcher.dispatch(now)
        self._process_due_requests(now)
        if self._outliers.backends_to_report:
            self._actions.append(self._outliers.take_gossip())
        return self._actions

    def _start(self, now: float) -> None:
        self._is_started = True
        self._last_slow_tick_at = now
        self._slow_start_budget.start(now)
        self.in_flight_limit.start(now)
        self.admission.quotas.start(now)
        self._actions.append(SetTimer(TICK_MS, 0))
        self.polling.start(now)

    def _handle(self, now: float, event: Event) -> None:
        match event:
            case RequestArrived():
                self._on_arrival(now, event)
            case AttemptEnded():
                self._on_attempt_ended(now, event)
            case TimerFired():
                self._on_tick(now)
            case ClientDisconnected():
                self._on_client_disconnected(event)
            case BackendListUpdate():
                self._on_list_update(now, event)
            case GossipReceived():
                self._outliers.on_gossip(now, event)
            case DiscoveryMoved():
                self._on_discovery_moved(now)
            case ResponseStarted():
                self._on_response_started(event)

    # Requests

    def _on_arrival(self, now: float, event: RequestArrived) -> None:
        request_class = self.settings.classes[event.class_index]
        queue = self._queue_by_class[event.class_index]
        level = self.admission.priority_level(now, request_class, event.tenant, event.work_hint_ms)
        if not event.is_retry:
            self.admission.quotas.record_original_request(event.tenant)
        self.retry_policy.record_arrival()
        previous_wait_ms = self.client_retries.previous_wait_ms(now, event, queue.objective_ms)
        request = Request(event, request_class, queue, now, now - previous_wait_ms)
        self.requests[request.id] = request
        if self.admission.should_shed(now, level, queue):
            self.client_retries.expect_retries()
            retry_after_ms = self.admission.retry_after_ms(queue)
            self._actions.append(Reject(request.id, retry_after_ms, EndReason.LOAD_SHED))
            self._finish(request)
        elif self._timeouts.is_deadline_too_close(now, request):
            self._fail(request, EndReason.DEADLINE_TOO_CLOSE)
        else:
            queue.push(request)
            self._timeouts.schedule_queued(request)

    def _on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None or event.attempt_index >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt_index]
        if not attempt.is_open:
            return
        attempt.end(event.result)
        request.open_attempt_count -= 1
        attempt.backend.end_attempt()
        self.in_flight_limit.end_attempt(event)
        ejection = self._feedback.record(now, request, attempt.backend, event)
        if ejection is not None:
            self._actions.append(ejection)
        if event.request_finished or request.is_finished:
            self._finish(request)
        elif request.open_attempt_count == 0:
            self._apply_retry_decision(request, self.retry_policy.after_failure(now, request, event.result))

    def _apply_retry_decision(self, request: Request, decision: Retry | EndReason) -> None:
        """Retry or fail a request, as decided after a failed attempt."""
        if isinstance(decision, EndReason):
            self._fail(request, decision)
        elif decision is Retry.QUEUED:
            request.queue.push_front(request)
            self._timeouts.schedule_queued(request)
        elif decision is Retry.BACKOFF:
            self._timeouts.schedule(request.retry_at, request)
        else:
            executed = first_executed_attempt(request.attempts)
            assert executed is not None  # otherwise the retry would not be restricted to a scope
            self.pinned_retries.add(request)
            self._timeouts.schedule_pinned_retry(request, executed)

    def _on_response_started(self, event: ResponseStarted) -> None:
        request = self.requests.get(event.request_id)
        if request is not None:
            request.is_queued = False

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.request_id)
        if request is None:
            return
        self.client_retries.expect_retries()
        if self.settings.may_cancel:
            for index, attempt in enumerate(request.attempts):
                if attempt.is_open:
                    self._actions.append(CancelAttempt(request.id, index))
        self._finish(request)

    def _process_due_requests(self, now: float) -> None:
        """Check the waiting requests whose timers have expired."""
        while (request := self._timeouts.pop_due(now)) is not None:
            if request.is_queued:
                if not self._timeouts.try_extend(now, request):
                    self._fail(request, EndReason.QUEUE_TIMEOUT)
            elif request.has_backoff_ended(now):
                self._apply_retry_decision(request, self.retry_policy.after_backoff(now, request))

    def _fail(self, request: Request, reason: EndReason) -> None:
        """Send a final error response for a request."""
        self._actions.append(Fail(request.id, reason))
        self._finish(request)

    def _finish(self, request: Request) -> None:
        """Mark a request as finished, and remove it unless it has open attempts."""
        request.is_finished = True
        request.is_queued = False
        if request.open_attempt_count == 0:
            del self.requests[request.id]

    # Backends and time

    def _on_list_update(self, now: float, update: BackendListUpdate) -> None:
        if update.kind is ListUpdateKind.FAILED:
            self.polling.on_failure(now)
            return
        if update.kind not in CACHED_KINDS:
            self.polling.on_update()
        self._list_updates.apply(now, update)

    def _on_discovery_moved(self, now: float) -> None:
        self.polling.on_moved(now)
        self._actions.append(PollDiscovery())

    def _on_tick(self, now: float) -> None:
        self._actions.append(SetTimer(TICK_MS, 0))
        self._process_due_requests(now)  # also before dispatch: retries after a backoff are sent in this step
        cold = self.backends.cold_subset
        self._slow_start_budget.refill(now, cold, self.backends.proxies_per_backend() if cold else 1.0)
        if self.polling.start_poll_if_due(now):
            self._actions.append(PollDiscovery())
        if now - self._last_slow_tick_at >= SLOW_TICK_MS:
            self._on_slow_tick(now)

    def _on_slow_tick(self, now: float) -> None:
        seconds = (now - self._last_slow_tick_at) / 1000
        self._last_slow_tick_at = now
        self.client_retries.decay()
        self.admission.quotas.update_traffic_share(seconds)
        self.backends.shrink_subscriptions()
        self._slow_start.prune(now)
        self.backends.choose_subset(now)
        self.bandit.decay(self.backends.active, self.backends.subset)
        self._slow_start_budget.observe(now, seconds, self.backends.active, self.backends.subset)
