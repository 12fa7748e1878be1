"""Every decision of the balancer. Its types, events and actions are in api.py.

Order of decisions, one call of `step` per batch of events:
  1. Events in order: arrivals are judged (admit or refuse), outcomes teach and may ask for another
     attempt, the list moves servers in and out, the beat expires, refills cold budgets and asks the list.
  2. Dispatch: while a buffer holds work and a ready server has room, the head that has waited the
     largest part of its aim goes first; the pick chooses its server.
Settings (unit, reason). All else comes from the deployment's settings or from what was observed.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush, nlargest, nsmallest
from marshal import dumps, loads
from math import inf, log, sqrt
from random import Random
from zlib import crc32

from dunecove.policy.actions import (
    Action,
    BackendEjected,
    CancelAttempt,
    EndReason,
    Fail,
    Forward,
    PollDiscovery,
    Reject,
    SendGossip,
    SetTimer,
)
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
from dunecove.policy.models import (
    NEVER_EXECUTED,
    AttemptResult,
    BackendInfo,
    BackendState,
    DeduplicationScope,
    Idempotency,
)
from dunecove.policy.request_rules import first_executed_attempt, in_dedup_scope, retry_denial
from dunecove.policy.settings import RequestClass, Settings
from dunecove.policy.slow_start import SlowStart

BEAT_MS = 25.0  # ms between housekeeping rounds: expiry and recovery need no finer grain
WINDOW_OF_AIM = 0.5  # part of the aim: the detector's window, so a verdict comes while it still helps
WINDOW_SENDS = 8  # sends a window must hold: fewer say nothing, so a sparse window is stretched
WAIT_OF_SLACK = 0.08  # part of (aim - usual latency) that the least wait may take before the flag is set
RELEASE_AIMS = (0.5, 4.0)  # aims after the flag over which level 4 is let in again, shortest and longest
RELEASE_STRICT = 1.0  # aims: a longer release keeps level 4 out also while nothing waits
SOON = 0.5  # part of (release + 1) aims after the flag within which one that is back has come back soon
# Worth relative to the best class: at or above is level 1, 2, 3; below is 4. Half the best is level 3, which
# may be shed: when work must go, the same work of the best class earns twice as much.
LEVELS = (0.75, 0.55, 0.25)
OVER_BURST_S = 1.0  # s of quota that a tenant may use at once before it counts as beyond its share
USAGE_STEP = 0.3  # weight of one second in a tenant's usage: some seconds even out chance
PAYOFF_STEP = 0.1  # weight of one outcome in a server's payoff: the last ten or so count
BONUS = 0.2  # payoff given to a server with no recent outcomes per root of log total: re-tries the idle
PLAYS_KEEP = 0.8  # part of a server's outcome count kept each second: a verdict lasts ten seconds at most
TIE = 0.1  # payoffs closer than this are equal: one outcome moves a payoff by as much
SHORT_OF_AIM = 0.1  # part of the aim that a first try may lack: the way here takes some of a client's wait
AWAY_EACH, AWAY_MOST = 2.0, 200.0  # repeats to expect for one turned away, here or by another proxy; in all
# Part of its wait after which a request never sent is refused: its client can still come again.
UNSENT_PART = 0.45
START_LIMIT = 4.0  # requests of all proxies in flight at a server nothing is known of
LATENCY_STEP = 1 / 16  # weight of one answer in a server's latency: tails must not steer the limit
FLOOR_DRIFT = 1 / 400  # pull of one answer on the uncrowded latency: a slow spell is believed in the end
QUEUE_LOW, QUEUE_HIGH = 2.0, 4.0  # of all proxies, waiting inside a server: below, raise; above, lower
CROWD = 1 / 5  # part of the aim that answers of one server may take on average before its limit is cut
FLOOR_LIMIT = 2.0  # requests of all proxies: the least limit of a server
LIMIT_CUT = 0.75  # factor on the limit when too many wait there
FAIL_CUT = 0.8  # factor on the limit after a failure that tells of load
FAIR_SPREADS = 3.0  # mean deviations above the usual latency that an attempt needs to have a fair chance
SILENT = 2.0  # usual latencies without an answer after which a server that holds requests may hang
# ms until a request for which this proxy lacked a connection twice is sent again, doubled at each attempt
# (all would else be used up in that moment). After the first another server may have a connection left.
LACK_MS = 50.0
STRIKES = 3  # failures in a row after which a server rests
REST_MS = (500.0, 8000.0)  # ms, first rest and the longest: doubled each time, jittered
OUTLIER = 0.6  # part of the usual payoff below which one of many proxies takes a server for bad
RETRY_SHARE = 0.1  # attempts beyond the first per arrival: retries can't add more than this to any load
RETRY_BURST = 10.0  # retries saved up at most
ASK_TURN_MS, ASK_SPREAD = 100.0, 0.7  # ms of each proxy's turn at the list; part of the obliged time for all
ASK_RETRY_MS = 10.0  # ms of each proxy's turn after a failed call
ASK_FIRST_MS, ASK_DOUBLINGS = 250.0, 6  # ms until one is made again, doubled at each, so often at most
MOVED_MS = 4000.0  # ms after a move to another list service in which its news counts as told
SOON_MS = 100.0  # ms at most until a failed call is made again then, or where lists are pushed: it is free
# ms at most until the first call, from a failed one to the next, and from its start to the next. What could
# be read counts as told after 6 s: a call may hang for 2 s, and the first two times 2 s more are gone, as a
# watch had fallen silent unseen.
ASK_START_MS, ASK_SOON_MS, ASK_LATEST_MS = 2500.0, 750.0, 3500.0
WARM_KEEP = 0.9  # part of the load known of a warm server that is kept each second without one to look at
COLD_HEAT = 1.2  # times its part of a warm server's load that a cold one gets, or half the rule's multiple

HEAVY = 0.35  # part of the aim that work may usually take on a server's kind and still be sent to it
LONG = 1.0, 0.4  # part of the aim beyond which work is expected to last; part of its worth it then brings
LONG_MANY = 0.6, 0.2  # the same for one of many: where they share servers, half of what takes so long is late
PACE_STEP, PACE_STEP_FEW = 1 / 32, 1 / 10  # weight of one answer in a kind's pace; for one of many
FIT_LEAST = 3  # times the servers of such a kind must make up what a proxy keeps to: few would be swamped
PACE_TIE = 1.15  # times the fastest pace: kinds this close are as fast
COLD_PACE = 2.0  # times its kind's pace that a cold server is taken to need

# "One of many" is a proxy whose part of START_LIMIT is under one request: it cannot judge a server alone.
NEAR = 8  # servers that it keeps to at least: with a few requests a second it learns of no more in time
ALLOW_UP, ALLOW_DOWN = 0.1, 0.2  # steps of its limit on all in flight: at one, level where a third are spoilt
ALLOW_BURST = 4.0  # requests, beyond the limit, that may be in flight at once after idling
ALLOW_LEAST = 0.05  # least such limit: one request in twenty usual latencies still looks
HANG = 4.0  # usual latencies, beyond which an attempt hangs at its own server: no sign that all are full
SPOILT = 0.85  # part of the aim: an answer beyond it was crowded, the way to the client takes the rest
# Share of its outcomes above which one of many counts itself overloaded: a few are always long.
SPOILT_SHARE = 0.15
FORGET = 0.1  # part of the way back to the usual payoff in a second without outcomes
OVER_LEAST = 5.0  # least requests of quota that a tenant may use at once: chance must not look like excess

# Of a long list a proxy keeps to the first in its own order, by rank, and no cost grows with the rest.
RESERVE = 256  # servers of which all that was learned is kept, at least; one of many: twice its near ones
RESERVE_SLACK = 64  # more than that before the last of them are given up: the list moves all the time
RESERVE_KEEP = 0.9  # part of a larger number that is kept each second when load falls
LOAD_SERVERS, LOAD_STEP = 2, 128  # of few proxies: servers kept for each request here; more at once at most
GROUP = 8  # servers of a keyed request's group that are looked for beyond the kept ones
FAR_SHIFT = 54  # bits of a rank below those that tell its bucket: some hundred servers in each

# One of many meets a server too seldom to judge it soon, so all tell one another of failures. Three within
# a second are no chance, and of two proxies: one that is itself cut off must not speak for all.
BLAME_MS, BLAMES, BLAMERS = 1000.0, 3, 2
BLAME_AGAIN_MS = 100.0  # ms until a proxy tells of the same server again: more often says nothing more
BLAME_SPREAD = (1.0, 3.0)  # times its rest: all eject it in the same moment, and must not all return so
BLAME_MARK = b"\x01"  # first byte of a message that names servers seen to fail
BLAME_MOST = 60  # servers in one message of at most 256 bytes
FAULTS = (
    AttemptResult.ERROR,
    AttemptResult.RESET,
    AttemptResult.CONNECT_FAILED,
)  # failures that are the server's, not its load's

Traits = tuple[int, int, int, float | None, float]  # what ServerInfo tells beside name and state
GIVEN_UP = (AttemptResult.TIMEOUT, AttemptResult.CANCELLED)  # we stopped waiting


class Backend:
    """What this proxy knows of one server."""

    __slots__ = (
        "proxy_count",
        "id",
        "name_hash",
        "started_at",
        "state",
        "zone",
        "kind",
        "cell",
        "in_flight",
        "rank",
        "weight",
        "limit",
        "peak_in_flight",
        "window_responses",
        "latency_ms",
        "base_latency_ms",
        "response_count",
        "saturation",
        "payoff",
        "outcome_count",
        "consecutive_failures",
        "ejected_until",
        "ejection_ms",
        "responses_this_second",
        "response_rate",
        "slow_start_tokens",
        "failure_reports",
        "gossiped_at",
        "responsive_at",
        "cold_until",
        "next_draw_at",
    )

    def __init__(self, info: BackendInfo, proxies: int) -> None:
        self.proxy_count = proxies
        self.id, self.name_hash = info.backend_id, crc32(info.backend_id.encode())
        self.started_at: float | None
        self.state, self.zone, self.kind, self.cell = info.state, info.zone, info.kind, info.cell
        self.in_flight, self.rank, self.weight = 0, 0, 1.0
        self.forget()

    def forget(self) -> None:
        """A process that has just started shares nothing with the one before it."""
        self.limit, self.peak_in_flight, self.window_responses = START_LIMIT / self.proxy_count, 0, 0
        self.latency_ms, self.base_latency_ms, self.response_count = 0.0, 0.0, 0
        self.saturation = 0.0  # smoothed latency as a part of the aim
        self.payoff, self.outcome_count = 1.0, 0.0
        self.consecutive_failures, self.ejected_until, self.ejection_ms = 0, 0.0, REST_MS[0]
        self.responses_this_second, self.response_rate, self.slow_start_tokens = 0, 0.0, 0.0
        self.next_draw_at = 0.0  # when it is next drawn whether a cold one may get a request of this proxy
        self.failure_reports: list[tuple[float, int]] = []  # when and by which proxy it was last seen to fail
        self.gossiped_at = -inf  # when this proxy last told the others of it
        self.responsive_at = 0.0  # its last answer, or the first send since it held nothing of ours
        self.started_at, self.cold_until = None, 0.0

    def has_capacity(self, now: float, each: float = 0.0) -> bool:
        if self.ejected_until > now:
            return False
        if self.consecutive_failures >= STRIKES:  # back from a rest: one request on trial, not a full load
            return self.in_flight == 0
        if self.cold_until > now and self.slow_start_tokens < 1.0:
            return False
        return self.in_flight < max(self.limit, each)

    def record_latency(self, latency: float, part_of_aim: float) -> None:
        """The limit follows the requests of ours that wait inside the server: limit x (1 - floor/latency)."""
        self.response_count += 1
        step = max(LATENCY_STEP, 1 / self.response_count)
        self.latency_ms += (min(latency, 2 * (self.latency_ms or latency)) - self.latency_ms) * step
        self.saturation += (part_of_aim - self.saturation) * step
        if self.response_count <= 1 / LATENCY_STEP:  # a floor from one lucky answer would last for long
            self.base_latency_ms = self.latency_ms
        self.base_latency_ms = min(
            self.base_latency_ms + (self.latency_ms - self.base_latency_ms) * FLOOR_DRIFT, self.latency_ms
        )
        self.window_responses += 1
        if self.window_responses < max(8, self.limit):
            return
        waiting = (
            min(self.peak_in_flight, self.limit)
            * (1 - self.base_latency_ms / self.latency_ms)
            * self.proxy_count
        )
        if waiting > QUEUE_HIGH or self.saturation > CROWD:
            self.reduce_limit(LIMIT_CUT)
        elif waiting < QUEUE_LOW and self.peak_in_flight + 1 > self.limit:
            self.limit += min(1.0, 2 / self.proxy_count)
        self.window_responses, self.peak_in_flight = 0, self.in_flight

    def reduce_limit(self, factor: float) -> None:
        """Each proxy is one of several. Together they never go below one request at work and one to follow,
        or the server would stand idle between two."""
        self.limit = min(self.limit, max(FLOOR_LIMIT / self.proxy_count, self.limit * factor))


class UnsubscribedBackends:
    """The servers beyond those that a proxy keeps to: what the list tells of them, and nothing learned. By
    rank in buckets, so that none of this takes longer the more there are. Bytes, which the collector has no
    work with, and names as keys: those that rank alike are still two."""

    def __init__(self, me: int) -> None:
        self.proxy_index, self.count = me, 0
        self.buckets: dict[int, dict[str, bytes]] = {}
        # Which buckets may hold servers of a cell or zone, as bits: hints, put right as they are followed.
        self.cells: dict[int, int] = {}
        self.zones: dict[int, int] = {}

    def rank(self, name: str) -> tuple[int, str]:
        return mix(self.proxy_index + 1, crc32(name.encode())), name

    def put(self, name: str, traits: Traits) -> None:
        number = self.rank(name)[0] >> FAR_SHIFT
        bucket = self.buckets.setdefault(number, {})
        self.count += name not in bucket
        bucket[name] = dumps(traits, 2)
        for hints, group in ((self.zones, traits[0]), (self.cells, traits[2])):
            hints[group] = hints.get(group, 0) | 1 << number

    def pop(self, name: str) -> Traits | None:
        if not self.count:
            return None
        number = self.rank(name)[0] >> FAR_SHIFT
        bucket = self.buckets.get(number, {})
        told = bucket.pop(name, None)
        self.count -= told is not None
        if not bucket:
            self.buckets.pop(number, None)
        return None if told is None else loads(told)

    def get(self, name: str) -> Traits | None:
        if not self.count:
            return None
        told = self.buckets.get(self.rank(name)[0] >> FAR_SHIFT, {}).get(name)
        return None if told is None else loads(told)

    def first(self, most: int) -> list[str]:
        found: list[str] = []
        for number in sorted(self.buckets):
            if len(found) >= most:
                break
            found += nsmallest(most - len(found), self.buckets[number], key=self.rank)
        return found

    def members(self, scope: DeduplicationScope, ran: Attempt) -> list[str]:
        """Some of the group that may see a keyed request again."""
        if scope is DeduplicationScope.ALL:
            return self.first(GROUP)
        hints, group, trait = (
            (self.zones, ran.zone, 0) if scope is DeduplicationScope.ZONE else (self.cells, ran.cell, 2)
        )
        found: list[str] = []
        left = hints.get(group, 0)
        while left and len(found) < GROUP:
            number = (left & -left).bit_length() - 1
            left &= left - 1
            here = [name for name, t in self.buckets.get(number, {}).items() if loads(t)[trait] == group]
            found += here
            if not here:
                hints[group] &= ~(1 << number)
        return found


class Attempt:
    def __init__(self, server: Backend, sent: float) -> None:
        self.backend, self.sent_at, self.is_open, self.may_have_executed = server, sent, True, True
        self.zone, self.cell = server.zone, server.cell  # where it was sent, wherever the list puts it later


class Request:
    def __init__(
        self, event: RequestArrived, spec: RequestClass, place: RequestQueue, now: float, first: float
    ) -> None:
        self.id, self.class_index, self.affinity_key, self.deadline = (
            event.request_id,
            event.class_index,
            event.affinity_key,
            event.deadline,
        )
        self.request_class, self.queue, self.arrived_at, self.work_hint_ms = (
            spec,
            place,
            now,
            event.work_hint_ms,
        )
        # Where late answers earn something a late repeat still does; failing it brings it back once more.
        self.objective_end = (now if spec.late_weight > 0 else first) + spec.latency_objective_ms
        # After this an answer is worth nothing, or the client has left.
        self.useful_until = (
            event.deadline if spec.late_weight > 0 else min(event.deadline, self.objective_end)
        )
        self.attempts: list[Attempt] = []
        self.latest_send = event.deadline  # the last moment to send it
        self.open_attempts = 0  # attempts without an outcome
        self.is_queued = self.is_finished = self.stream = False
        self.local_failures, self.retry_at = (
            0,
            0.0,
        )  # attempts for which this proxy lacked a connection; next one


class RequestQueue:
    """Classes with one aim: a first-come buffer and its overload detector."""

    def __init__(self, aim: float, tick: float) -> None:
        self.objective_ms, self.step_interval_ms = aim, tick
        self.requests: deque[Request] = deque()
        self.usual_latency_ms = 0.0  # usual time from send to answer
        self.half_window_at, self.last_send_at, self.flagged_at = 0.0, 0.0, -1e9
        self.flagged, self.release_objectives = False, RELEASE_AIMS[0]
        self.min_wait_ms, self.previous_min_wait_ms, self.send_count = (
            0.0,
            0.0,
            0,
        )  # least wait in this half window and the last

    def record_send(self, now: float, wait: float) -> None:
        if (
            self.send_count >= WINDOW_SENDS / 2
            and now - self.half_window_at >= self.objective_ms * WINDOW_OF_AIM / 2
        ):
            self.previous_min_wait_ms, self.send_count, self.half_window_at = self.min_wait_ms, 0, now
        self.min_wait_ms = wait if self.send_count == 0 else min(self.min_wait_ms, wait)
        self.send_count += 1
        self.last_send_at = now

    def set_overloaded(self, now: float, overloaded: bool) -> None:
        """One flag may be chance, and is soon over. Where it returns at once, clients ask for more than there
        is: let in as fast as before, they would bring it back again and again."""
        if overloaded and not self.flagged:
            soon = now - self.flagged_at < 0.5 * (self.release_objectives + 1) * self.objective_ms
            self.release_objectives = (
                min(2 * self.release_objectives, RELEASE_AIMS[1]) if soon else RELEASE_AIMS[0]
            )
        self.flagged = overloaded
        if overloaded:
            self.flagged_at = now

    def head(self) -> Request | None:
        while self.requests and not self.requests[0].is_queued:
            self.requests.popleft()
        return self.requests[0] if self.requests else None

    def overload_ratio(self, now: float) -> float:
        """The windowed minimum wait over its threshold; above 1 the endpoint is overloaded."""
        head = self.head()
        if head is None:
            return 0.0  # nothing waits: whatever an old window says, the next request leaves at once
        low = min(self.min_wait_ms, self.previous_min_wait_ms)
        if now - self.last_send_at > self.objective_ms * WINDOW_OF_AIM:
            low = now - head.arrived_at  # nothing leaves: a stuck queue must not look like a calm one
        return low / self.threshold_ms()

    def threshold_ms(self) -> float:
        return max(
            WAIT_OF_SLACK * (self.objective_ms - self.usual_latency_ms), 2 * self.step_interval_ms
        )  # ms


class Balancer:
    """One proxy's decisions. Feed it every event; carry out every action."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings, self.rng = settings, Random(seed)
        self.sparse = settings.proxy_count > START_LIMIT  # one of many
        by_aim = {
            a: RequestQueue(a, settings.step_interval_ms)
            for a in sorted({c.latency_objective_ms for c in settings.classes})
        }
        self.queues = list(by_aim.values())
        self.endpoint_of = [by_aim[c.latency_objective_ms] for c in settings.classes]
        self.patience = [0.0] * len(settings.classes)  # longest wait left to a client seen, by class
        self.best_worth = max(c.priority_weight for c in settings.classes)
        self.quota_left = [q / settings.proxy_count * OVER_BURST_S for q in settings.tenant_quotas]
        self.quota_at = [0.0] * len(settings.tenant_quotas)
        self.part = 1 / settings.proxy_count  # of the deployment's traffic that comes to this proxy
        self.asked = [0] * len(settings.tenant_quotas)  # first tries of each tenant in this second
        self.usage = [0.0] * len(settings.tenant_quotas)  # smoothed rate of first tries over the quota
        self.class_latency = [(0.0, 0.0)] * len(settings.classes)  # smoothed latency and deviation
        self.all_latency = 0.0
        self.crowd, self.crowd_samples = 0.0, 0  # smoothed latency as a part of the aim, all servers
        self.backends: dict[str, Backend] = {}  # those of which what was learned is kept
        self.active: list[Backend] = []  # of these
        self.unsubscribed, self.edge = (
            UnsubscribedBackends(settings.proxy_index),
            (0, ""),
        )  # all others, and the last rank that is not of them
        self.slow_start = SlowStart(settings.slow_start_ms)
        self.heard_list = False  # since this process began
        self.reserve, self.listed = RESERVE, 0  # servers to keep; active ones of the whole list
        self.cold: list[Backend] = []  # those of `near` that were cold as it was chosen
        self.subset: list[Backend] = []  # those it sends to: all active, or as one of many its own few
        self.near_size, self.each = 0, 0.0  # how many it keeps to; least limit of one
        self.spoilt = 0.0  # smoothed share of outcomes that were spoilt, as one of many
        self.allow = 1.0  # limit on all requests in flight, as one of many proxies
        self.credit, self.credit_at, self.out_count = 1e9, 0.0, 0  # ms in flight still to use; attempts out
        self.pace: dict[int, float] = {}  # smoothed latency over the work hinted at, by kind
        self.warm_floor: dict[int, float] = {}  # uncrowded latency of a warm server, by kind
        self.warm_rate: dict[int, float] = {}  # answers per second of a warm server, by kind
        self.requests: dict[str, Request] = {}
        self.bound: list[Request] = []  # held ones that only one group may see again
        self.due: list[tuple[float, int, Request]] = []  # held ones, by the time at which to look again
        self.outcomes = 1.0  # all outcomes lately, decayed like each server's plays
        self.order, self.retries = 0, RETRY_BURST
        self.turned_away = RETRY_BURST  # repeats still to be expected
        self.beating, self.second_at, self.beat_at = False, 0.0, 0.0
        self.ask_at: float | None = None
        self.ask_failures, self.asked_at, self.moved_at = 0, -inf, -inf
        self.by_hash: dict[int, list[Backend]] = {}  # as peers name them: hardly ever two
        self.to_tell: list[Backend] = []  # those seen to fail in this step
        self.out: list[Action] = []

    def step(self, now: float, events: list[Event]) -> list[Action]:
        self.out = []
        if not self.beating and events:
            self.start(now)
        for event in events:
            if isinstance(event, RequestArrived):
                self.on_arrival(now, event)
            elif isinstance(event, AttemptEnded):
                self.on_outcome(now, event)
            elif isinstance(event, TimerFired):
                self.on_beat(now)
            elif isinstance(event, ClientDisconnected):
                self.on_client_gone(event)
            elif isinstance(event, BackendListUpdate):
                self.on_list(now, event)
            elif isinstance(event, GossipReceived):
                self.on_peer(now, event)
            elif isinstance(event, DiscoveryMoved):
                self.on_moved(now)
            elif isinstance(event, ResponseStarted):
                self.on_stream(event)
        if self.bound:
            self.send_bound(now)
        self.dispatch(now)
        self.expire(now)
        if self.to_tell:
            self.tell()
        return self.out

    def start(self, now: float) -> None:
        self.beating = True
        self.second_at = self.beat_at = self.credit_at = now
        self.quota_at = [now] * len(self.quota_at)
        self.out.append(SetTimer(BEAT_MS, 0))
        if self.settings.polls_discovery:
            # Proxies restarted together must not call the list service in the same moment: each has its
            # turn. Past the time the settings oblige, a proxy counts as told of drains it never heard of.
            proxies, me = self.settings.proxy_count, self.settings.proxy_index
            span = min(ASK_TURN_MS * proxies, ASK_SPREAD * self.settings.max_poll_interval_ms, ASK_START_MS)
            self.ask_at = now + span * (me % proxies + self.rng.random()) / proxies

    # 1. Events

    def on_arrival(self, now: float, event: RequestArrived) -> None:
        spec, endpoint = self.settings.classes[event.class_index], self.endpoint_of[event.class_index]
        level = self.level_of(now, spec, event.tenant, event.work_hint_ms)
        if event.tenant < len(self.asked) and not event.is_retry:
            self.asked[event.tenant] += 1
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        # A client's wait runs over all its tries: one that has less of it left than others had is a repeat,
        # and its aim counts from the first. Clients don't say so everywhere.
        left = event.deadline - now
        self.patience[event.class_index] = max(self.patience[event.class_index], left)
        waited = self.patience[event.class_index] - left
        if waited > SHORT_OF_AIM * endpoint.objective_ms and not event.is_retry:
            # Only as many are repeats as were turned away. Others just come with less time: taken for
            # repeats whose aim has passed they would fail unsent beside idle servers.
            if self.turned_away < 1:
                waited = 0.0
            self.turned_away = max(self.turned_away - 1, 0.0)
        request = Request(event, spec, endpoint, now, now - waited)
        self.requests[event.request_id] = request
        if level >= 3:
            excess = endpoint.overload_ratio(now)
            if self.sparse:  # its buffer is mostly empty, and few waits are seen: the wait to come counts
                wait = -self.refill_credit(now) * self.all_latency / self.allow
                # And what one of many has too much of waits in the servers, where only time-outs show it.
                excess = max(excess, wait / endpoint.threshold_ms(), self.spoilt / SPOILT_SHARE)
            endpoint.set_overloaded(now, excess > 1)
            # Level 3 goes in proportion to the wait beyond the flag. Level 4 goes as soon as it is set and
            # comes back by degrees: let in at once, it would fill the servers up to the next flag.
            cleared = (now - endpoint.flagged_at) / (endpoint.release_objectives * endpoint.objective_ms)
            # After a lone flag it is let in beside an empty buffer: refused there, it leaves servers idle.
            kept_out = excess > 0 or endpoint.release_objectives > RELEASE_STRICT
            if self.rng.random() < (1 - cleared if level == 4 and kept_out else excess / 3 - 1):
                self.refuse(request)
                return
        if min(event.deadline, request.useful_until) <= now + 2 * self.settings.step_interval_ms:
            self.end(request, EndReason.DEADLINE_TOO_CLOSE)  # as it comes: no later batch could answer it
        else:
            self.hold(request, False)

    def level_of(self, now: float, spec: RequestClass, tenant: int, work: float = 0.0) -> int:
        worth = spec.priority_weight / self.best_worth
        part, brings = LONG_MANY if self.sparse else LONG
        if work * min(self.pace.values(), default=0.0) > part * spec.latency_objective_ms:
            worth *= brings  # on the fastest kind it is usually late: for the same work, others earn more
        if tenant < len(self.quota_left):
            rate = self.settings.tenant_quotas[tenant] * self.part  # the quota is for all proxies together
            left = self.quota_left[tenant] + (now - self.quota_at[tenant]) * rate / 1000
            left = min(left, max(rate * OVER_BURST_S, OVER_LEAST))
            self.quota_at[tenant] = now
            if left >= 1:
                left -= 1
            else:
                worth *= self.settings.over_quota_weight
            self.quota_left[tenant] = left
        return 1 + sum(worth < bound for bound in LEVELS)

    def hold(self, request: Request, front: bool) -> None:
        request.is_queued, queue = True, request.queue.requests
        (queue.appendleft if front else queue.append)(request)
        # Sent later than this it can't be useful. At most half its time is set aside: were the usual
        # latency above the aim, nothing would ever be sent again and the latency never be corrected.
        spare = self.fair_chance(request)
        request.latest_send = min(
            request.useful_until - spare, request.deadline - BEAT_MS - 2 * self.settings.step_interval_ms
        )
        if not request.attempts:
            half = request.arrived_at + UNSENT_PART * (request.deadline - request.arrived_at)
            request.latest_send = min(request.latest_send, half)
        self.at(min(request.latest_send, request.objective_end - spare), request)

    def fair_chance(self, request: Request) -> float:
        """How long an attempt may take and still be an ordinary one."""
        mean, spread = self.class_latency[request.class_index]
        return min(mean + FAIR_SPREADS * spread, request.queue.objective_ms / 2)

    def on_outcome(self, now: float, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None or event.attempt_index >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt_index]
        if not attempt.is_open:
            return
        attempt.is_open, attempt.may_have_executed = False, event.result not in NEVER_EXECUTED
        request.open_attempts -= 1
        attempt.backend.in_flight -= 1  # also of one given up: work stops when its connection closes
        self.out_count -= 1
        if event.result not in FAULTS:  # no work was in flight there, or it has ended
            self.credit -= min(event.latency_ms, HANG * (self.all_latency or event.latency_ms))
        self.learn(now, request, attempt.backend, event)
        if event.request_finished or request.is_finished:
            self.close(request)
            return
        if request.open_attempts == 0:
            self.again(now, request, event.result)

    def learn(self, now: float, request: Request, server: Backend, event: AttemptEnded) -> None:
        # A delay of nothing, below the clock's grain, must not become a latency to divide by.
        result, delay = event.result, max(event.latency_ms, 0.001)
        if result in GIVEN_UP:
            # Were only the answers counted, each attempt given up would make the next look later still.
            fair = self.fair_chance(request)
            self.learn_class(request.class_index, delay)
            if delay < fair:
                return  # sent too late to have a fair chance: says nothing of the server
        if result in (
            AttemptResult.CANCELLED,
            AttemptResult.WITHDRAWN,
            AttemptResult.NO_LOCAL_RESOURCE,
            AttemptResult.BAD_REQUEST,
        ):
            return  # our own doing, likewise, or the client's
        server.outcome_count = min(server.outcome_count + 1, 1 / PAYOFF_STEP)
        self.outcomes += 1
        # The aim counts from the send here: a server isn't blamed for the wait in our buffer.
        won = result is AttemptResult.OK and delay <= request.queue.objective_ms
        if self.sparse:
            self.learn_allow(request, server, result, delay)
        # Of few outcomes each counts for more, or one of many proxies would never tell servers apart.
        step = max(PAYOFF_STEP, self.sparse / (1 + server.outcome_count))
        server.payoff += ((1.0 if won else 0.0) - server.payoff) * step
        if result is AttemptResult.OK:
            server.consecutive_failures, server.responsive_at = 0, now
            blamed = bool(server.failure_reports) and now - server.failure_reports[-1][0] < REST_MS[1]
            if not (self.sparse and (blamed or self.outlier(server))):
                server.ejection_ms = REST_MS[0]
            server.responses_this_second += 1
            endpoint = request.queue
            endpoint.usual_latency_ms = smooth(endpoint.usual_latency_ms, delay)
            mean = self.learn_class(request.class_index, delay)
            self.all_latency = smooth(self.all_latency, delay)
            if request.work_hint_ms > 0 and server.cold_until <= now:
                self.learn_pace(server.kind, delay / request.work_hint_ms)
            part_of_aim = min(delay / endpoint.objective_ms, 1.0)
            if not self.sparse:
                self.learn_crowd(part_of_aim)
            # Classes differ in work: scale to the mix, so a run of long ones doesn't look like a queue.
            server.record_latency(delay * self.all_latency / mean, part_of_aim)
            return
        if result in (AttemptResult.REJECTED, AttemptResult.TIMEOUT):
            server.reduce_limit(FAIL_CUT)
            if self.sparse and request.work_hint_ms > 0 and server.cold_until <= now:  # at least so slow
                self.learn_pace(
                    server.kind, max(delay / request.work_hint_ms, self.pace.get(server.kind, 0.0))
                )
        server.consecutive_failures += 1
        # Seldom met, a server that fails every other request seldom fails three in a row.
        if self.sparse and self.settings.may_gossip and result in FAULTS:
            self.blame(now, server, self.settings.proxy_index)
            if now - server.gossiped_at >= BLAME_AGAIN_MS:
                server.gossiped_at = now
                self.to_tell.append(server)
        # A time-out may tell of load alone, in which all share.
        bad = self.sparse and result is not AttemptResult.TIMEOUT and self.outlier(server)
        if (bad or server.consecutive_failures >= STRIKES) and server.ejected_until <= now:
            self.rest(now, server)

    def learn_crowd(self, part_of_aim: float) -> None:
        """All servers together: one of several proxies sees too few answers of each to cut limits in time."""
        self.crowd += (part_of_aim - self.crowd) * LATENCY_STEP
        self.crowd_samples += 1
        if self.crowd_samples >= max(1 / LATENCY_STEP, sum(s.limit for s in self.active)):
            self.crowd_samples = 0
            for server in self.active if self.crowd > CROWD else ():
                server.reduce_limit(LIMIT_CUT)

    def learn_allow(self, request: Request, server: Backend, result: AttemptResult, delay: float) -> None:
        """One of many proxies has less than one request at each server: only a limit on all it has in flight
        can follow the load, and only outcomes of all servers together are enough to learn it from. Work
        differs tenfold within a class: only the aim, not a usual latency, tells a long answer from a late."""
        spoilt = (
            result in (AttemptResult.REJECTED, AttemptResult.TIMEOUT)
            or delay > SPOILT * request.queue.objective_ms
        )
        self.spoilt += (spoilt - self.spoilt) * LATENCY_STEP
        if spoilt:
            if server.payoff > self.usual_payoff() / 2:  # a server known to be bad tells nothing of the rest
                self.allow = max(ALLOW_LEAST, self.allow * (1 - ALLOW_DOWN))
        elif result is AttemptResult.OK and self.allow < 2 + 2 * self.out_count:
            self.allow += ALLOW_UP * sqrt(self.allow)

    def learn_class(self, cls: int, delay: float) -> float:
        mean, spread = self.class_latency[cls]
        spread = spread + (abs(delay - mean) - spread) * LATENCY_STEP if mean else delay / 2
        mean = smooth(mean, delay)
        self.class_latency[cls] = (mean, spread)
        return mean

    def learn_pace(self, kind: int, pace: float) -> None:
        """By kind: hints are rough, and one server alone is met too seldom. Smoothed by its logarithm, since
        a hint may be tenfold off either way."""
        known = self.pace.get(kind, pace)
        self.pace[kind] = known * (pace / known) ** (PACE_STEP_FEW if self.sparse else PACE_STEP)

    def fit(self, now: float, request: Request, room: list[Backend]) -> list[Backend]:
        """Those of a kind on which work of this size is usually done well inside the aim; where there is no
        such kind, the fastest. A slow server would be late with it and be kept from shorter work for long."""
        if request.work_hint_ms <= 0 or not self.pace:
            return room
        usual = min(self.pace.values())
        most = max(HEAVY * request.queue.objective_ms / request.work_hint_ms, PACE_TIE * usual)
        fit = []
        for server in room:
            pace = self.pace.get(server.kind, usual)
            if pace * (COLD_PACE if server.cold_until > now else 1.0) <= most:
                fit.append(server)
        return fit if len(fit) * FIT_LEAST >= len(self.subset) else room

    def rest(self, now: float, server: Backend) -> None:
        # When all are slow the trouble is not this server: more than half never rest, nor does a usual one.
        resting = sum(1 for s in self.active if s.consecutive_failures >= STRIKES and s is not server)
        if 2 * (resting + 1) > len(self.active) or not self.outlier(server):
            server.consecutive_failures = 0
            return
        self.out.append(BackendEjected(server.id, server.consecutive_failures))
        self.lay_off(now, server, 0.75, 1.25)

    def lay_off(self, now: float, server: Backend, low: float, high: float) -> None:
        server.ejected_until = now + server.ejection_ms * self.rng.uniform(low, high)
        server.ejection_ms = min(2 * server.ejection_ms, REST_MS[1])

    def blame(self, now: float, server: Backend, proxy: int) -> None:
        """A server failed a request of this proxy or of another: once enough say so, it rests here too."""
        recent = [b for b in server.failure_reports if b[0] > now - BLAME_MS]
        server.failure_reports = [*recent[-BLAME_MOST:], (now, proxy)]
        if len(server.failure_reports) < BLAMES or len({by for _, by in server.failure_reports}) < BLAMERS:
            return
        resting = sum(1 for s in self.active if s.ejected_until > now)
        if server.ejected_until <= now and 2 * (resting + 1) <= len(self.active):
            server.consecutive_failures = max(
                server.consecutive_failures, STRIKES
            )  # it comes back with one request on trial
            self.lay_off(now, server, *BLAME_SPREAD)

    def tell(self) -> None:
        data = b"".join(s.name_hash.to_bytes(4, "big") for s in self.to_tell[:BLAME_MOST])
        self.to_tell = []
        self.out.append(SendGossip(BLAME_MARK + data))

    def on_peer(self, now: float, event: GossipReceived) -> None:
        """Messages of another kind, from a later release maybe, are passed over."""
        if (
            not self.sparse
            or event.sender_index == self.settings.proxy_index
            or not event.payload.startswith(BLAME_MARK)
        ):
            return
        for at in range(len(BLAME_MARK), len(event.payload) - 3, 4):
            alike = self.by_hash.get(int.from_bytes(event.payload[at : at + 4], "big"))
            if alike is not None:
                self.blame(now, alike[-1], event.sender_index)

    def outlier(self, server: Backend) -> bool:
        return server.payoff <= (OUTLIER if self.sparse else 0.5) * self.usual_payoff()

    def usual_payoff(self) -> float:
        return sum(s.payoff for s in self.subset) / max(len(self.subset), 1)

    def again(self, now: float, request: Request, result: AttemptResult) -> None:
        """An attempt failed and none is out: another one, a refusal or a failure."""
        if result is AttemptResult.WITHDRAWN:
            self.end(request, EndReason.ATTEMPT_WITHDRAWN)
        elif result is AttemptResult.BAD_REQUEST:
            self.end(request, EndReason.BAD_REQUEST)
        elif not self.may_follow(now, request):
            self.end(request, EndReason.RETRY_NOT_ALLOWED)
        elif result is AttemptResult.NO_LOCAL_RESOURCE:
            request.local_failures += 1
            if request.local_failures == 1:
                self.follow(request)
            else:
                request.retry_at = now + LACK_MS * 2 ** (request.local_failures - 2)
                self.at(request.retry_at, request)
        else:
            self.follow(request)

    def follow(self, request: Request) -> None:
        """Get it ready for another attempt."""
        spec, ran = request.request_class, first_executed_attempt(request.attempts)
        if ran is None:
            self.hold(request, True)
        elif self.retries < 1:
            self.end(request, EndReason.RETRY_BUDGET_EXHAUSTED)
        elif spec.idempotency is Idempotency.IDEMPOTENT:
            self.retries -= 1
            self.hold(request, True)
        else:
            self.retries -= 1
            request.is_queued = True
            self.bound.append(request)
            usual = min(self.class_latency[request.class_index][0], spec.latency_objective_ms / 2)
            request.latest_send = min(
                request.useful_until - usual, ran.sent_at + spec.dedup_window_ms - BEAT_MS
            )
            self.at(request.latest_send, request)

    def send_bound(self, now: float) -> None:
        """Only the group that drops a keyed request's repeats may see it again, as soon as it has room."""
        waiting, self.bound = self.bound, []
        for request in waiting:
            ran = first_executed_attempt(request.attempts)
            if not request.is_queued or ran is None:
                continue
            group = [s for s in self.active if in_dedup_scope(request.request_class.dedup_scope, s, ran)]
            if self.unsubscribed.count and len(group) < GROUP:
                self.bring_near(now, self.unsubscribed.members(request.request_class.dedup_scope, ran))
                group = [s for s in self.active if in_dedup_scope(request.request_class.dedup_scope, s, ran)]
            group = [s for s in group if s.has_capacity(now, self.each)]
            if group and now < request.latest_send:
                request.is_queued = False
                self.send(now, request, self.pick(now, request, group))
            else:
                self.bound.append(request)

    def end(self, request: Request, reason: EndReason) -> None:
        """The final answer for a request that will not be sent again."""
        self.out.append(Fail(request.id, reason))
        self.close(request)

    def refuse(self, request: Request) -> None:
        """Low levels are let in again over the endpoint's release: that is when to come back."""
        wait = min(
            request.queue.release_objectives * request.queue.objective_ms, self.settings.max_retry_after_ms
        )
        self.turned_away = min(self.turned_away + AWAY_EACH, AWAY_MOST)
        wait = wait if self.settings.sends_retry_after else 0.0
        self.out.append(Reject(request.id, wait, EndReason.LOAD_SHED))
        self.close(request)

    def close(self, request: Request) -> None:
        """It is over; it is kept only until the attempts still out have ended."""
        request.is_finished, request.is_queued = True, False
        if request.open_attempts == 0:
            del self.requests[request.id]

    def on_client_gone(self, event: ClientDisconnected) -> None:
        if (request := self.requests.get(event.request_id)) is None:
            return
        self.turned_away = min(self.turned_away + AWAY_EACH, AWAY_MOST)
        if self.settings.may_cancel:
            self.out.extend(CancelAttempt(request.id, n) for n, a in enumerate(request.attempts) if a.is_open)
        self.close(request)

    def on_stream(self, event: ResponseStarted) -> None:
        if (request := self.requests.get(event.request_id)) is not None:
            request.stream, request.is_queued = True, False

    def on_list(self, now: float, event: BackendListUpdate) -> None:
        if event.kind is ListUpdateKind.FAILED:
            self.ask_failures = min(self.ask_failures + 1, ASK_DOUBLINGS)
            turns = ASK_RETRY_MS * self.settings.proxy_count  # hundreds that call at once would keep it down
            most = max(ASK_SOON_MS, 0 if self.ask_failures <= 2 else ASK_LATEST_MS - (now - self.asked_at))
            wait = min(
                max(ASK_FIRST_MS * 2**self.ask_failures, turns), most, self.settings.max_poll_interval_ms / 2
            )
            if now < self.moved_at + MOVED_MS or not self.settings.polls_discovery:
                wait = SOON_MS
            self.ask_at = now + wait * self.rng.uniform(0.5, 1.0)
            return
        if event.kind not in (ListUpdateKind.CACHED, ListUpdateKind.CACHED_CONTINUED):
            self.ask_failures, self.ask_at, self.moved_at = 0, None, -inf
        before = self.unsubscribed
        if event.kind not in (ListUpdateKind.DELTA, ListUpdateKind.CACHED_CONTINUED):
            listed = {e.backend_id for e in event.entries}
            for server in [s for name, s in self.backends.items() if name not in listed]:
                self.drop(server, BackendState.REMOVED)
                self.slow_start.forget(server.id)
            self.unsubscribed = UnsubscribedBackends(self.settings.proxy_index)
        saved = event.kind in (ListUpdateKind.CACHED, ListUpdateKind.CACHED_CONTINUED)
        clock_was_right = self.slow_start.clock_is_right
        for entry in event.entries:
            self.date_start(now, entry, before, saved)
            self.on_entry(now, entry)
            if len(self.backends) > self.reserve + RESERVE_SLACK:
                self.trim()
        if saved or not self.heard_list or self.slow_start.clock_is_right != clock_was_right:
            for dated in [s for s in self.backends.values() if s.started_at is not None]:
                self.set_cold(now, dated)
        self.heard_list = self.heard_list or not saved
        self.find_active()
        if not self.subset or event.kind is ListUpdateKind.CACHED_CONTINUED:
            self.allow = max(ALLOW_LEAST, START_LIMIT * self.listed / self.settings.proxy_count)
        self.choose_near(now)

    def on_moved(self, now: float) -> None:
        """Failures of the old service say nothing of the new one, and its drains count as told soon."""
        self.ask_failures, self.moved_at = 0, now
        self.ask_at = now + self.settings.max_poll_interval_ms / 2  # should no word come back
        self.out.append(PollDiscovery())

    def choose_near(self, now: float) -> None:
        """Of many proxies each keeps to a few servers by hash, more with more traffic: few are soon known and
        have few connections each. Of any zone, and cold ones too: after a release they are most of what there
        is, and one zone's proxies alone would leave its servers half idle or carry too much."""
        if self.sparse:
            self.near_size = max(NEAR, int(2 * (self.allow + 1)))
        self.keep_reserve(now)
        self.subset = self.active
        if self.sparse:
            ranked = sorted(self.active, key=lambda s: s.rank)
            self.subset = [s for s in ranked if s.ejected_until <= now][: self.near_size] or ranked
            self.each = max(1.0, self.allow / max(len(self.subset), 1))
        self.cold = [s for s in self.subset if s.cold_until > now]

    def find_active(self) -> None:
        self.active = [s for s in self.backends.values() if s.state is BackendState.ACTIVE]
        self.listed = len(self.active) + self.unsubscribed.count

    def keep_reserve(self, now: float) -> None:
        """Those kept are the first by rank: as some of them leave the list, or load grows, the next follow.
        One of many keeps twice what it sends to, of which at most half rest. Few proxies send to all that
        they keep, so they keep more the more requests they have: no request waits beside idle servers."""
        need = 2 * self.near_size
        if not self.sparse:
            idle = sum(max(s.cold_until, s.ejected_until) > now for s in self.active)
            load = self.out_count + sum(len(e.requests) for e in self.queues)
            need = min(LOAD_SERVERS * load + min(idle, 2 * RESERVE), len(self.active) + LOAD_STEP)
        self.reserve = max(RESERVE, need, self.reserve)
        if self.unsubscribed.count and len(self.active) < self.reserve:
            names = self.unsubscribed.first(self.reserve - len(self.active))
            self.bring_near(now, names)
            self.edge = max(self.edge, self.unsubscribed.rank(names[-1]))
        if len(self.backends) > self.reserve + RESERVE_SLACK:
            self.trim()
            self.find_active()

    def bring_near(self, now: float, names: list[str]) -> None:
        for name in names:
            if (traits := self.unsubscribed.pop(name)) is not None:
                self.take(now, BackendInfo(name, BackendState.ACTIVE, *traits))
        self.find_active()

    def trim(self) -> None:
        """What was learned of the last by rank is forgotten, but for those in use."""
        for server in [s for s in self.backends.values() if s.state is not BackendState.ACTIVE]:
            self.drop(server, BackendState.DRAINING)
        if len(self.backends) <= self.reserve:
            return
        ranked = sorted(self.backends.values(), key=lambda s: (s.rank, s.id))
        last = (ranked[: self.reserve][-1].rank, ranked[: self.reserve][-1].id)
        self.edge = min(self.edge, last) if self.unsubscribed.count else last
        for s in ranked[self.reserve :]:
            if s.in_flight == 0:
                self.drop(s, BackendState.ACTIVE)
                self.unsubscribed.put(s.id, (s.zone, s.kind, s.cell, s.started_at, s.weight))

    def drop(self, server: Backend, state: BackendState) -> None:
        del self.backends[server.id]
        server.state = state
        alike = self.by_hash[server.name_hash]
        alike.remove(server)
        if not alike:
            del self.by_hash[server.name_hash]

    def date_start(self, now: float, entry: BackendInfo, before: UnsubscribedBackends, saved: bool) -> None:
        """Whether this entry tells of a start that this process had not heard of; `before`: what it held."""
        if entry.state is BackendState.REMOVED:
            self.slow_start.forget(entry.backend_id)
            return
        server = self.backends.get(entry.backend_id)
        traits = before.get(entry.backend_id) if server is None else None
        known = server is not None or traits is not None
        started = server.started_at if server is not None else traits[3] if traits is not None else None
        if known and started == entry.started_at:
            return
        if saved:
            self.slow_start.found(now, entry.backend_id, entry.started_at)
        elif self.heard_list:
            self.slow_start.restarted(now, entry.backend_id, entry.started_at)
        else:
            self.slow_start.first_told(now, entry.backend_id, entry.started_at)

    def on_entry(self, now: float, entry: BackendInfo) -> None:
        server, name = self.backends.get(entry.backend_id), entry.backend_id
        if server is not None and entry.state is BackendState.REMOVED:
            self.drop(server, BackendState.REMOVED)
        elif server is not None or (not self.unsubscribed.count and entry.state is not BackendState.REMOVED):
            self.take(now, entry)
        elif entry.state is not BackendState.ACTIVE:
            self.unsubscribed.pop(name)
        elif self.unsubscribed.rank(name) > self.edge:
            self.unsubscribed.put(name, entry[2:])
        else:
            self.take(now, entry)

    def take(self, now: float, entry: BackendInfo) -> None:
        server = self.backends.get(entry.backend_id)
        if server is None:
            server = self.backends[entry.backend_id] = Backend(entry, self.settings.proxy_count)
            server.rank = affinity(self.settings.proxy_index + 1, server)
            self.by_hash.setdefault(server.name_hash, []).append(server)
        server.state, server.zone, server.kind, server.cell = entry.state, entry.zone, entry.kind, entry.cell
        server.weight = max(entry.weight, 0.01)
        if entry.started_at != server.started_at:
            server.forget()
            server.started_at = entry.started_at
            self.set_cold(now, server)

    def set_cold(self, now: float, server: Backend) -> None:
        was_cold, server.cold_until = server.cold_until > now, self.slow_start.end(server.id)
        if server.cold_until > now and not was_cold:
            server.limit = min(1.0, server.limit)
            # All proxies hear of it at once: their first requests must not come at once as well.
            server.slow_start_tokens = self.rng.random() if self.sparse else 0.0
            server.next_draw_at = now + server.slow_start_tokens * self.settings.slow_start_window_ms

    def on_beat(self, now: float) -> None:
        self.out.append(SetTimer(BEAT_MS, 0))
        self.expire(now)
        for server in [s for s in self.cold if s.cold_until > now]:
            self.refill(now, server)
        self.beat_at = now
        if self.ask_at is not None and now >= self.ask_at:
            self.out.append(PollDiscovery())
            self.asked_at = now
            # Should no word come back, ask anew before this proxy counts as told of what it never heard.
            self.ask_at = now + self.settings.max_poll_interval_ms / 2
        if now - self.second_at >= 1000:
            self.every_second(now)

    def expire(self, now: float) -> None:
        while self.due and self.due[0][0] <= now:
            request = heappop(self.due)[2]
            if request.is_queued:
                self.time_up(now, request)
            elif not request.is_finished and 0 < request.retry_at <= now:
                request.retry_at = 0.0
                if self.may_follow(now, request):
                    self.follow(request)
                else:
                    self.end(request, EndReason.RETRY_NOT_ALLOWED)

    def at(self, when: float, request: Request) -> None:
        self.order += 1
        heappush(self.due, (when, self.order, request))

    def time_up(self, now: float, request: Request) -> None:
        """A held request has reached the end of its use; a late answer, if worth something, is only for
        times when there are servers to spare: under overload it costs a request that is still in time."""
        if request.queue.overload_ratio(now) > 1 or now >= request.latest_send:
            self.end(request, EndReason.QUEUE_TIMEOUT)
        else:
            self.at(min(now + 2 * BEAT_MS, request.latest_send), request)

    def may_follow(self, now: float, request: Request) -> bool:
        """Whether another attempt is allowed and of use if those so far may have run."""
        spec = request.request_class
        usual = min(self.class_latency[request.class_index][0], spec.latency_objective_ms / 2)
        denial = retry_denial(self.settings, spec, request.attempts, now + 2 * self.settings.step_interval_ms)
        return denial is None and now + usual <= request.useful_until

    def every_second(self, now: float) -> None:
        seconds, self.second_at = (now - self.second_at) / 1000, now
        self.outcomes = 1 + self.outcomes * PLAYS_KEEP
        self.turned_away *= PLAYS_KEEP
        self.find_part(seconds)
        self.reserve = int(self.reserve * RESERVE_KEEP)
        self.slow_start.prune(now)
        warm: dict[int, list[Backend]] = {}
        self.choose_near(now)
        usual, near = self.usual_payoff(), set(self.subset)
        for server in self.active:
            server.outcome_count *= PLAYS_KEEP
            if (
                server.outcome_count < 1
            ):  # under light load a server once bad would otherwise never be drawn again
                server.payoff += max(usual - server.payoff, 0.0) * (FORGET if self.sparse else 1)
            server.response_rate, server.responses_this_second = (
                (server.response_rate + server.responses_this_second / seconds) / 2,
                0,
            )
            mine = not self.sparse or server in near
            if server.cold_until <= now and server.latency_ms and mine:
                warm.setdefault(server.kind, []).append(server)
        # The better half tells what a server of this kind carries: slow and resting ones hide it. Held for
        # a while, for when a release leaves no warm server to look at.
        self.warm_rate = {kind: rate * WARM_KEEP for kind, rate in self.warm_rate.items()}
        for kind, servers in warm.items():
            rates = sorted(s.response_rate for s in servers)
            half = rates if self.sparse else rates[len(rates) // 2 :]
            self.warm_rate[kind] = max(self.warm_rate.get(kind, 0.0), sum(half) / len(half))
            self.warm_floor[kind] = sum(s.base_latency_ms for s in servers) / len(servers)

    def find_part(self, seconds: float) -> None:
        """Traffic is seldom split evenly: a proxy alone in its zone would judge all beyond their share. So
        the tenant in the middle is taken to keep its share, if that makes the part more than one in N."""
        for tenant, quota in enumerate(self.settings.tenant_quotas):
            usage = self.asked[tenant] / seconds / max(quota, 0.001)
            self.usage[tenant] += (usage - self.usage[tenant]) * USAGE_STEP
            self.asked[tenant] = 0
        if len(self.usage) > 1 and self.settings.zone_count > 1:
            # No more than a whole zone's part: in a flood all are beyond their share, the middle one too.
            middle = min(sorted(self.usage)[(len(self.usage) - 1) // 2], 1 / self.settings.zone_count)
            self.part = max(middle, 1 / self.settings.proxy_count)

    def refill(self, now: float, server: Backend) -> None:
        """A cold server's budget: its part of what we send to a warm one. What all proxies carry is under
        a server's capacity, so the sum of their parts is under the rule, however traffic is split."""
        settings = self.settings
        age = max(0.0, 1 - (server.cold_until - now) / max(settings.slow_start_ms, 1.0))
        part = settings.slow_start_capacity + (1 - settings.slow_start_capacity) * age
        if server.response_count * LATENCY_STEP >= 1 and server.kind in self.warm_floor:
            # It has shown its speed: measured against the uncrowded latency of warm ones of its kind.
            part = max(part, min(1.0, self.warm_floor[server.kind] / server.latency_ms))
        known = [self.warm_rate[server.kind]] if server.kind in self.warm_rate else self.warm_rate.values()
        rate = min(known, default=0.0) * part * min(COLD_HEAT, settings.slow_start_overload_factor / 2) / 1000
        # Nothing observed yet: one request a window, of all who keep to this server.
        sharers = max(1.0, settings.proxy_count * self.near_size / max(self.listed, 1))
        rate = max(rate, 1 / settings.slow_start_window_ms / (sharers if self.sparse else 1))
        if self.sparse and rate * settings.slow_start_window_ms < 1:
            # One request saved up by each while little came would be too many when all come at once: each
            # draws for each window whether it has one, and loses what it doesn't use.
            if now >= server.next_draw_at:
                server.slow_start_tokens = float(self.rng.random() < rate * settings.slow_start_window_ms)
                server.next_draw_at = now + settings.slow_start_window_ms
            return
        burst = max(1.0, rate * settings.slow_start_window_ms / 4)
        server.slow_start_tokens = min(burst, server.slow_start_tokens + rate * (now - self.beat_at))

    # 2. Dispatch

    def dispatch(self, now: float) -> None:
        heads = [(e, h) for e in self.queues if (h := e.head()) is not None]
        if not heads:
            return
        room = [s for s in self.subset if s.has_capacity(now, self.each)]
        if not room and self.sparse:  # nothing waits beside a ready server
            room = [s for s in self.active if s.cold_until <= now and s.has_capacity(now, self.each)]
        spare = self.refill_credit(now)
        if not self.sparse:
            spare = self.spare(now)
            if self.unsubscribed.count and (not room or spare < sum(len(e.requests) for e in self.queues)):
                self.choose_near(now)
                room, spare = [s for s in self.subset if s.has_capacity(now, self.each)], self.spare(now)
        while heads and room and spare > 0:
            spare -= 1
            # The one clear rule: the head that has waited the largest part of its aim goes first. So all
            # endpoints feel a shortage of servers alike, and each one's flag sheds its own.
            endpoint, request = max(heads, key=lambda eh: (now - eh[1].arrived_at) / eh[0].objective_ms)
            endpoint.requests.popleft()
            request.is_queued = False
            if not request.attempts:
                endpoint.record_send(now, now - request.arrived_at)
            server = self.pick(now, request, room)
            self.send(now, request, server)
            if not server.has_capacity(now, self.each):
                room.remove(server)
            heads = [(e, h) for e in self.queues if (h := e.head()) is not None]

    def spare(self, now: float) -> float:
        """Limits below one, the part of many proxies, add up: one each at every server would be too many. But
        a few servers that hang must not use up the sum: a silent one takes nothing from the others."""
        silent = now - SILENT * (self.all_latency or self.queues[-1].objective_ms)
        return sum(max(s.limit - s.in_flight, -1.0 if s.responsive_at > silent else 0.0) for s in self.subset)

    def refill_credit(self, now: float) -> float:
        """The limit on all in flight holds on average, not at each moment: with a limit near one, two
        requests that come together must not wait for one another. Returns the sends left."""
        usual = self.all_latency or self.queues[0].objective_ms / 4
        full = (ALLOW_BURST + self.allow) * usual
        self.credit = min(self.credit + self.allow * (now - self.credit_at), full)
        self.credit_at = now
        return self.credit / usual - self.out_count

    def pick(self, now: float, request: Request, room: list[Backend]) -> Backend:
        if request.attempts:
            tried = [a.backend for a in request.attempts]
            room = [s for s in room if s not in tried] or room
        room = self.fit(now, request, room)
        if len(room) == 1:
            return room[0]
        if self.settings.key_affinity and (key := request.affinity_key) is not None:
            # Servers do less work for a key met lately: every proxy draws the same two for it.
            a, b = nlargest(2, room, key=lambda s: affinity(key, s))
        elif self.sparse:
            a = self.draw(room)
            b = self.draw([s for s in room if s is not a])
        else:
            first = int(self.rng.random() * len(room))
            second = int(self.rng.random() * (len(room) - 1))
            a, b = room[first], room[second + (second >= first)]
        gap = self.score(a) - self.score(b)
        if abs(gap) < TIE:
            return b if b.in_flight < a.in_flight else a
        return a if gap > 0 else b

    def draw(self, servers: list[Backend]) -> Backend:
        """In proportion to registered size: few in flight, ties alone would load small servers like large."""
        left = self.rng.random() * sum(s.weight for s in servers)
        for server in servers:
            left -= server.weight
            if left < 0:
                break
        return server

    def score(self, server: Backend) -> float:
        return server.payoff + BONUS * sqrt(log(1 + self.outcomes) / (1 + server.outcome_count))

    def send(self, now: float, request: Request, server: Backend) -> None:
        ran, spec = first_executed_attempt(request.attempts), request.request_class
        request.attempts.append(Attempt(server, now))
        request.open_attempts += 1
        self.out_count += 1
        if server.in_flight == 0:
            server.responsive_at = now
        server.in_flight += 1
        server.peak_in_flight = max(server.peak_in_flight, server.in_flight)
        if server.cold_until > now:
            server.slow_start_tokens -= 1
        left = max(min(request.useful_until - self.settings.step_interval_ms, request.deadline) - now, 1.0)
        # Its connection may come up late; by then the servers that drop repeats of it may have forgotten it.
        within = (
            ran.sent_at + spec.dedup_window_ms - now if ran and spec.idempotency is Idempotency.KEYED else inf
        )
        self.out.append(Forward(request.id, server.id, left, within))


def smooth(mean: float, value: float) -> float:
    """The first value is taken whole, later ones by their weight."""
    return mean + (value - mean) * (LATENCY_STEP if mean else 1)


def affinity(key: int, server: Backend) -> int:
    """Rendezvous hash: the order of servers for a key is the same at every proxy, also as some leave."""
    return mix(key, server.name_hash)


def mix(key: int, number: int) -> int:
    mixed = (key * 0x9E3779B97F4A7C15 ^ number * 0xC2B2AE3D27D4EB4F) & 0xFFFFFFFFFFFFFFFF
    mixed = ((mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return mixed ^ mixed >> 32
