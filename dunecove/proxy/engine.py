"""Between the decision module and the sockets: events in, actions out, requests and attempts by id."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from typing import NamedTuple

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
    AttemptEnded,
    BackendListUpdate,
    ClientDisconnected,
    DiscoveryMoved,
    Event,
    GossipReceived,
    HealthCheckResult,
    ListUpdateKind,
    RequestArrived,
    TimerFired,
)
from dunecove.policy.models import AttemptResult, BackendInfo
from dunecove.policy.request_rules import (
    EXPECTED_DENIALS,
    RESPONSE_GRACE_MS,
    Denial,
    Violation,
    attempt_denial,
    may_reject,
)
from dunecove.policy.settings import Settings
from dunecove.proxy.clock import now_ms
from dunecove.proxy.connection_pool import Attempt, Backends
from dunecove.proxy.discovery_client import PIECE, Discovery, Listing, Saved
from dunecove.proxy.gossip import Peers
from dunecove.proxy.http1 import Response
from dunecove.proxy.telemetry import Telemetry, log
from dunecove.wire.settings import ProxySettings

MODULE_REST_S = 0.1  # s from the end of a broken module to the first step of the next
KNOWN_S = 4.0  # s at least that an id is remembered after its request came: no client waits for longer
KNOWN_MOST = 20_000  # ids remembered at most
# What a client needs to read a body; all else is between the proxy and the backend.
PASSED_ON = (b"content-type", b"content-encoding", b"content-language")
PROBE_HEAD = b"GET /stats HTTP/1.1\r\nhost: backend.local\r\n"


class Answer(NamedTuple):
    status: int
    headers: bytes = b""  # whole lines
    body: bytes = b""


class Taken(NamedTuple):
    """A request that the proxy has read whole."""

    id: str
    cls: int
    tenant: int
    key: int | None
    budget_ms: float
    repeat: bool
    work_ms: float  # the client's guess; 0 where it makes none
    head: bytes  # request line and headers for the backend, without the empty line at the end
    body: bytes
    answer: Callable[[Answer], None]
    gone: Callable[[], bool]  # looks whether its client has left by now, and tells the engine


class Held:
    """A request until it is answered and its last attempt has ended."""

    def __init__(self, taken: Taken) -> None:
        self.taken = taken
        self.give_up = self.answer_by = now_ms() + taken.budget_ms  # when its client stops waiting
        self.attempts: list[Attempt] = []
        self.over = False
        self.timer: asyncio.TimerHandle | None = None


class Engine:
    def __init__(self, settings: Settings, wire: ProxySettings, seed: int, most_connections: int) -> None:
        self.settings, self.seed = settings, seed
        self.telemetry = Telemetry()
        self.balancer = Balancer(settings, seed)
        self.backends = Backends(wire.connect_timeout_ms, wire.conn_idle_ms, most_connections)
        self.probe_limit_ms = wire.connect_timeout_ms
        self.discovery: Discovery | None = None
        self.peers: Peers | None = None
        self.requests: dict[str, Held] = {}
        self.known: dict[str, float] = {}  # ids of late, with the time at which they came, oldest first
        self.longest_ms = max(c.deadline_ms for c in settings.classes)
        self.news: list[BackendListUpdate] = []
        self.untold: list[str] = []  # uids that the module has still to hear of, the next one last
        self.events: list[Event] = []
        self.ended: list[Held] = []  # to be forgotten once the module has been told of their end
        self.turn: asyncio.Handle | None = None
        self.ending = False  # no new request could be answered in time any more
        self.stepped = 0.0  # when the module was last asked: the times of its actions count from then
        self.life = 0  # of the module; a new one starts after it broke
        self.loop = asyncio.get_running_loop()

    # What happens outside

    def on_list(self, listing: Listing, kind: ListUpdateKind | None = None) -> None:
        # The pools hear of a drain here and now, before anything else of this turn can be written.
        self.backends.update(listing.targets, listing.whole)
        kind = kind or (ListUpdateKind.SNAPSHOT if listing.whole else ListUpdateKind.DELTA)
        self.telemetry.count(f"list.{kind.value}")
        if kind is ListUpdateKind.CACHED:
            self._tell_held([target.uid for target in listing.targets])
        else:
            self.news.append(BackendListUpdate(kind, tuple(target.info for target in listing.targets)))
        self._wake()

    def take_saved(self, saved: Saved) -> None:
        """Before all else; the table is the pools' from now on."""
        self.backends.targets = saved.table
        self._tell_held(saved.uids)
        self._wake()

    def _tell_held(self, uids: list[str]) -> None:
        """A module that has just begun hears of the whole list, of a long one by and by."""
        self.untold = uids[::-1]
        self.news = [BackendListUpdate(ListUpdateKind.CACHED, self._next_held())]

    def _next_held(self) -> tuple[BackendInfo, ...]:
        piece = self.untold[-PIECE:][::-1]
        del self.untold[-PIECE:]
        return self.backends.infos(piece)

    def on_list_failure(self, reason: str) -> None:
        self.news.append(BackendListUpdate(ListUpdateKind.FAILED))
        self._wake()
        self.telemetry.count("list.failed")
        log(f"list: {reason}")

    def on_peer(self, peer: int, data: bytes) -> None:
        self._raise(GossipReceived(peer, data))

    def move_list(self, address: str) -> None:
        """The list comes from another service from now on; the one held stands until that has answered."""
        if self.discovery is not None and self.discovery.move(address):
            self.telemetry.count("list.moved")
            log(f"list: now from {address}")
            self._raise(DiscoveryMoved())

    def take(self, taken: Taken) -> bool:
        """False if a request of this id is open or was of late: ids don't return, and another's must not."""
        self._forget_ids()
        if taken.id in self.known or taken.id in self.requests:
            self.telemetry.count("request.id_open")
            return False
        self.known[taken.id] = now_ms()
        # No client waits longer than its class allows: a larger budget would skew what the module learns.
        budget = min(taken.budget_ms, self.settings.classes[taken.cls].deadline_ms)
        held = self.requests[taken.id] = Held(taken)
        self.telemetry.note(taken.id, "taken")
        if self.ending:
            self.loop.call_soon(self._refuse_at_end, held)
            return True
        held.timer = self.loop.call_later(max(budget, 0.0) / 1000, self._deadline, held)
        give_up, again = now_ms() + budget, taken.repeat
        self._raise(
            RequestArrived(taken.id, taken.cls, taken.tenant, taken.key, give_up, again, taken.work_ms)
        )
        return True

    def _forget_ids(self) -> None:
        oldest = now_ms() - max(KNOWN_S * 1000, self.longest_ms)
        while self.known:
            first = next(iter(self.known))
            if self.known[first] > oldest and len(self.known) < KNOWN_MOST:
                break
            del self.known[first]

    def client_gone(self, request_id: str) -> None:
        held = self.requests.get(request_id)
        if held is None or held.over:
            return
        self.telemetry.note(request_id, "client_disconnected")
        self._close(held)
        self._abandon(held)

    def _deadline(self, held: Held) -> None:
        """The module let the client's time run out; the client gets its one answer all the same."""
        if not held.over:
            self._answer(held, Answer(504), "overtaken" if held.answer_by < held.give_up else "deadline")
            self._abandon(held)

    def hurry(self, request_id: str, until: float) -> None:
        """It has to be answered by then: others behind it on its connection can't be answered before."""
        held = self.requests.get(request_id)
        if held is None or held.over or held.timer is None or until >= held.answer_by:
            return
        held.answer_by = until
        held.timer.cancel()
        held.timer = self.loop.call_later(max(until - now_ms(), 0.0) / 1000, self._deadline, held)

    def _refuse_at_end(self, held: Held) -> None:
        if not held.over:
            self._answer(held, Answer(503), Denial.SHUTTING_DOWN.value)
            self.requests.pop(held.taken.id, None)

    def _abandon(self, held: Held) -> None:
        """Nobody waits for it any more. Whether attempts that are out may be called off is the module's
        affair; one whose bytes have not gone out is none yet, and never goes out."""
        self._raise(ClientDisconnected(held.taken.id))
        for attempt in held.attempts:
            self.backends.withdraw(attempt)

    def _on_attempt(
        self, held: Held, number: int, attempt: Attempt, result: AttemptResult, got: Response | None
    ) -> None:
        if result is AttemptResult.OK and got is not None and not held.over:
            headers = b"".join(b"%b: %b\r\n" % pair for pair in got.headers if pair[0] in PASSED_ON)
            self._answer(held, Answer(200, headers, got.body), "served")
        self.telemetry.note(held.taken.id, "attempt_ended", result.value)
        delay = now_ms() - attempt.started
        self._raise(AttemptEnded(held.taken.id, number, result, delay, held.over))
        self._forget(held)

    def _on_probe(self, attempt: Attempt, result: AttemptResult, _: Response | None) -> None:
        self._raise(HealthCheckResult(attempt.uid, result, now_ms() - attempt.started))

    def _on_timer(self, token: int, life: int) -> None:
        if life == self.life:
            self._raise(TimerFired(token))

    # One turn of the loop, one step

    def _raise(self, event: Event) -> None:
        self.events.append(event)
        self._wake()

    def _wake(self) -> None:
        if self.turn is None:
            self.turn = self.loop.call_soon(self._step)

    def _step(self) -> None:
        self.turn = None
        batch: list[Event] = [*self.news, *self.events]
        self.news, self.events = [], []
        if self.untold:
            self.news.append(BackendListUpdate(ListUpdateKind.CACHED_CONTINUED, self._next_held()))
            self._wake()
        ended, self.ended = self.ended, []
        try:
            self.stepped = now_ms()
            actions = self.balancer.step(self.stepped, batch)
        except Exception:
            self._module_broke()
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:  # the other actions of the batch, the next beat among them, must not go with it
                log(f"bug: {action} was not carried out\n{traceback.format_exc()}")
        for held in ended:
            # Not earlier: the module may have sent it again in the step that told it of the end, and each
            # sending is owed its outcome.
            if self.requests.get(held.taken.id) is held and all(attempt.ended for attempt in held.attempts):
                del self.requests[held.taken.id]

    def _module_broke(self) -> None:
        """What a module that raised still knows can't be trusted: its requests fail, a new one takes over."""
        log(f"the decision module broke\n{traceback.format_exc()}")
        self.life += 1
        self.balancer = Balancer(self.settings, self.seed + self.life)
        self._tell_held(list(self.backends.targets))
        self.events, self.ended = [], []
        if self.turn is not None:
            self.turn.cancel()
        # One that breaks at once, again and again, must leave time for answering.
        self.turn = self.loop.call_later(MODULE_REST_S, self._step)
        if self.discovery is not None and not self.settings.polls_discovery:
            # Word that the watch ended may have gone with the old module. A pushed list is read at all times;
            # one that must be asked for the new module asks for by itself.
            self.discovery.watch()
        # An answer may bring the next request of its connection, which is the new module's.
        broken, self.requests = self.requests, {}
        for held in broken.values():
            for attempt in held.attempts:
                self.backends.cancel(attempt)
            if not held.over:
                self._answer(held, Answer(500), "module_broke")

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Forward):
            self._send(action)
        elif isinstance(action, (Reject, Fail)):
            held = self.requests.get(action.request_id)
            if held is not None and not held.over:
                self._answer(held, self._final(held, action), action.reason.value)
        elif isinstance(action, CancelAttempt):
            held = self.requests.get(action.request_id)
            if held is not None and action.attempt_index < len(held.attempts):
                self.backends.cancel(held.attempts[action.attempt_index])
        elif isinstance(action, SetTimer):
            self.loop.call_later(action.delay_ms / 1000, self._on_timer, action.token, self.life)
        elif isinstance(action, PollDiscovery):
            if self.discovery is not None:
                self.discovery.watch()
        elif isinstance(action, SendGossip):
            if self.peers is not None:
                self.peers.tell(action.payload)
        elif isinstance(action, SendHealthCheck):
            self.backends.start(
                Attempt(action.backend_id, PROBE_HEAD, b"", self.probe_limit_ms, self._on_probe)
            )
        elif isinstance(action, BackendEjected):
            log(str(action))

    def _send(self, action: Forward) -> None:
        held = self.requests.get(action.request_id)
        if held is None:
            return
        number, taken, spent = len(held.attempts), held.taken, now_ms() - self.stepped
        attempt = Attempt(
            action.backend_id,
            taken.head,
            taken.body,
            action.timeout_ms - spent,
            lambda ended, result, response: self._on_attempt(held, number, ended, result, response),
            action.write_within_ms - spent,
            lambda: self._denial(held, number),
        )
        held.attempts.append(attempt)
        self.telemetry.note(taken.id, "attempt")
        self.backends.start(attempt)

    def _denial(self, held: Held, number: int) -> Denial | None:
        """Whether attempt `number` of a request may be written now. That its client has left may wait for its
        turn of the loop, or lie behind what isn't read for now, so the kernel is asked."""
        spec, attempt = self.settings.classes[held.taken.cls], held.attempts[number]
        denial: Denial | None
        if held.over:
            denial = Denial.ANSWERED
        elif held.taken.gone():
            denial = Denial.CLIENT_DISCONNECTED
        else:
            denial = attempt_denial(self.settings, spec, held.attempts[:number], attempt, now_ms())
        if denial is not None:
            self.telemetry.note(held.taken.id, "denied", denial.value)
            if denial not in EXPECTED_DENIALS:
                self.telemetry.violation(Violation.FORBIDDEN_ATTEMPT, held.taken.id, denial.value)
        return denial

    def _final(self, held: Held, action: Reject | Fail) -> Answer:
        if isinstance(action, Fail):
            return Answer(504)
        if may_reject(self.settings.classes[held.taken.cls], held.attempts):
            return refusal(action)
        self.telemetry.violation(Violation.FORBIDDEN_REJECTION, held.taken.id, action.reason.value)
        return Answer(504)

    def give_up(self) -> None:
        """The program ends: whoever still waits gets an answer now, and so does what was sent ahead. What
        comes from now on is refused at once."""
        self.ending = True
        while waiting := [held for held in self.requests.values() if not held.over]:
            for held in waiting:
                self._deadline(held)

    def close(self) -> None:
        for held in self.requests.values():
            if not held.over:
                self.telemetry.violation(Violation.UNANSWERED, held.taken.id, "the program ends")
        self.backends.close()
        if self.discovery is not None:
            self.discovery.close()
            self.discovery = None  # a signal or a step that comes yet must not open a watch again
        if self.peers is not None:
            self.peers.close()

    # The end of a request

    def _answer(self, held: Held, answer: Answer, reason: str) -> None:
        self.telemetry.note(held.taken.id, "answered", reason)
        if (late := now_ms() - held.give_up) > RESPONSE_GRACE_MS:
            self.telemetry.violation(Violation.LATE_RESPONSE, held.taken.id, f"{late:.0f} ms, {reason}")
        self._close(held)
        held.taken.answer(answer)

    def _close(self, held: Held) -> None:
        held.over = True
        if held.timer is not None:
            held.timer.cancel()
        self._forget(held)

    def _forget(self, held: Held) -> None:
        if held.over and all(attempt.ended for attempt in held.attempts):
            self.ended.append(held)


def refusal(action: Reject) -> Answer:
    if action.retry_after_ms <= 0:
        return Answer(503)
    return Answer(503, b"retry-after: %.3f\r\n" % (action.retry_after_ms / 1000))
