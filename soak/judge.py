"""The operators' rules, on the records of a run: only what clients, backends and discovery saw."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from enum import Enum
from math import sqrt
from typing import NamedTuple

from dunecove.policy.models import Idempotency
from soak.records import Attempt, Journal, Life, Ran, Request

ANSWER_GRACE_S = 0.5  # after a request's time: later, or never, it is lost
LEFT_GRACE_S = 0.1  # after its client left
BUDGET_SLACK_MS = 150
SOCKET_SLACK_S = 0.05  # what the rules on sockets add to each limit
COPY_SLACK_S = 0.05  # an end and a new attempt reach this tool by two connections, in any order
TOLD_S = 6.0  # after discovery had it and could be reached
MOVED_S = 4.0  # after SIGHUP
BAD_CLIENT_S = 3.0
READY_S = 10.0
STOP_BEYOND_S = 0.7  # after the longest deadline, counted as 3 s at most, a stopping process is killed
LONGEST_S = 3.0
REFUSALS = (429, 503)


class Rule(Enum):
    LOST = "lost"
    WRONG_ANSWER = "wrong answer"
    DUPLICATE = "duplicate"
    WINDOW = "repeated after its window"
    SECOND_COPY = "second copy"
    REFUSED_AFTER_RUN = "refused after it may have run"
    DRAIN = "drain"
    SENT_AFTER_LEAVING = "sent after its client left"
    BUDGET = "budget"
    COLD = "failback"
    BAD_CLIENT = "bad client left waiting"
    CRASH = "crash"
    READY = "ready"
    STOP = "stop"
    SELF = "the program's own count"


class Breach(NamedTuple):
    rule: Rule
    subject: str  # a request, a backend or a process
    text: str


def judge(journal: Journal) -> list[Breach]:
    """All breaches of a run; `journal.lag_s`, by which the tool itself may be late, widens each limit."""
    by_request: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(journal.attempts, key=lambda attempt: attempt.last_byte):
        by_request[attempt.request].append(attempt)
    breaches: list[Breach] = []
    for request in journal.requests.values():
        breaches += judge_request(journal, request, by_request[request.id])
    breaches += judge_drains(journal)
    breaches += judge_cold(journal)
    for life in journal.lives:
        breaches += judge_life(journal, life)
    for client in journal.bad_clients:
        took = client.ended - client.opened if client.ended is not None else BAD_CLIENT_S * 2
        if took > BAD_CLIENT_S + SOCKET_SLACK_S + journal.lag_s:
            subject = f"proxy {client.proxy}.{client.life}"
            breaches.append(Breach(Rule.BAD_CLIENT, subject, f"{client.manner}, {took:.1f} s"))
    return breaches


def life_of(journal: Journal, request: Request) -> Life:
    return next(x for x in journal.lives if (x.proxy, x.life) == (request.proxy, request.life))


def judge_request(journal: Journal, request: Request, attempts: list[Attempt]) -> Iterator[Breach]:
    lane, life = journal.lanes[request.lane], life_of(journal, request)
    yield from judge_answer(journal, request, attempts, life)
    for attempt in attempts:
        if request.left is not None:
            late = attempt.first_byte - request.left
            if late > LEFT_GRACE_S + SOCKET_SLACK_S + journal.lag_s:
                yield Breach(Rule.SENT_AFTER_LEAVING, request.id, f"{late:.3f} s after")
        left_ms = (request.sent + request.budget_s - attempt.first_byte) * 1000
        if attempt.budget_ms > left_ms + BUDGET_SLACK_MS + 1000 * (SOCKET_SLACK_S + journal.lag_s):
            yield Breach(Rule.BUDGET, request.id, f"told {attempt.budget_ms} ms, {left_ms:.0f} ms were left")
    for before, after in zip(attempts, attempts[1:], strict=False):
        out = before.closed is None or before.closed > after.last_byte + COPY_SLACK_S + journal.lag_s
        if out:
            yield Breach(Rule.SECOND_COPY, request.id, f"{after.last_byte - before.last_byte:.3f} s later")
    ran = [attempt for attempt in attempts if attempt.ran is not Ran.REJECTED]
    for again in attempts[attempts.index(ran[0]) + 1 :] if ran else []:
        text = f"at {again.backend}, {again.last_byte - ran[0].last_byte:.3f} s after {ran[0].backend}"
        if lane.effect is Idempotency.NON_IDEMPOTENT:
            yield Breach(Rule.DUPLICATE, request.id, text)
        elif lane.effect is Idempotency.KEYED:
            if again.cell != ran[0].cell:
                yield Breach(Rule.DUPLICATE, request.id, text)
            if again.last_byte - ran[0].last_byte > lane.window_s + SOCKET_SLACK_S + journal.lag_s:
                yield Breach(Rule.WINDOW, request.id, text)
    if request.status in REFUSALS and lane.effect is not Idempotency.IDEMPOTENT and ran:
        yield Breach(Rule.REFUSED_AFTER_RUN, request.id, f"{request.status}")


def judge_answer(journal: Journal, request: Request, attempts: list[Attempt], life: Life) -> Iterator[Breach]:
    if request.answered is not None:
        late = request.answered - request.sent - request.budget_s
        if late > ANSWER_GRACE_S + SOCKET_SLACK_S + journal.lag_s:
            yield Breach(Rule.LOST, request.id, f"answered {late:.3f} s after its time")
        made = {f"{attempt.backend} {request.id}".encode() for attempt in attempts}
        if request.status == 200 and request.body not in made:
            yield Breach(Rule.WRONG_ANSWER, request.id, repr(request.body[:60]))
        return
    if request.left is not None or life.killed is not None:
        return
    if request.broken is not None and request.kept and not attempts:
        return  # it crossed the end of a resting connection
    state = "closed" if request.broken is not None else "silent"
    yield Breach(Rule.LOST, request.id, f"{state}, {len(attempts)} attempts, proxy {life.proxy}.{life.life}")


def deemed_told(journal: Journal, life: Life, backend: str) -> float | None:
    """When a process counts as told of a drain, by what was written to it or by what could be reached."""
    proxy, change = life.proxy, journal.drains[backend]
    written = [
        told.at
        for told in journal.told
        if told.proxy == proxy
        and told.at >= life.started
        and backend in told.drains
        and (life.ended is None or told.at <= life.ended)
    ]
    times = [min(written)] if written else []
    for begin, end in journal.agents[proxy].spans:
        start = max(change, begin, life.started)
        if end is None or end > start + TOLD_S:
            times.append(start + TOLD_S)
        for moved in journal.moved.get(proxy, []):
            since = max(start, moved)
            if moved >= life.started and (end is None or end > since + MOVED_S):
                times.append(since + MOVED_S)
    return min(times) if times else None


def judge_drains(journal: Journal) -> Iterator[Breach]:
    told: dict[tuple[int, int, str], float | None] = {}
    for attempt in journal.attempts:
        request = journal.requests.get(attempt.request)
        if request is None or attempt.backend not in journal.drains:
            continue
        key = (request.proxy, request.life, attempt.backend)
        if key not in told:
            told[key] = deemed_told(journal, life_of(journal, request), attempt.backend)
        since = told[key]
        if since is None:
            continue
        late = attempt.first_byte - since - journal.drain_grace_s
        if late > SOCKET_SLACK_S + journal.lag_s:
            yield Breach(Rule.DRAIN, attempt.backend, f"{late:.3f} s after, by proxy {key[0]}.{key[1]}")


def cold_bound(journal: Journal, age_s: float) -> float:
    """Requests in one window that a backend of this age has to bear."""
    warmth = min(1.0, journal.start_part + (1 - journal.start_part) * age_s / journal.cold_s)
    allowed = journal.fall_multiple * journal.warm_rate * warmth * journal.fall_s
    spread = 2 * sqrt(allowed) + 2 if allowed >= 30 else 3 * sqrt(allowed) + 3
    return allowed + spread


def judge_cold(journal: Journal) -> Iterator[Breach]:
    for backend, started in journal.cold.items():
        times = sorted(a.last_byte for a in journal.attempts if a.backend == backend)
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - journal.fall_s:
                first += 1
            age = at - started
            if 0 <= age < journal.cold_s and last - first + 1 > cold_bound(journal, age):
                text = f"{last - first + 1} in a window, {cold_bound(journal, age):.1f} allowed"
                yield Breach(Rule.COLD, backend, f"{text}, {age:.1f} s after its start")
                break


def judge_life(journal: Journal, life: Life) -> Iterator[Breach]:
    name = f"proxy {life.proxy}.{life.life}"
    if life.ready is None and life.killed is None and life.stopping is None:
        yield Breach(Rule.READY, name, "never")
    elif life.ready is not None and life.ready - life.started > READY_S:
        yield Breach(Rule.READY, name, f"after {life.ready - life.started:.1f} s")
    if life.ended is not None and life.killed is None:
        if life.stopping is None or life.code != 0:
            yield Breach(Rule.CRASH, name, f"exit code {life.code}: {life.log[-1] if life.log else ''}")
        else:
            longest = min(max(lane.deadline_s for lane in journal.lanes), LONGEST_S)
            took = life.ended - life.stopping
            if took > longest + STOP_BEYOND_S + journal.lag_s:
                yield Breach(Rule.STOP, name, f"took {took:.2f} s")
    for line in life.log:
        if "violation" in line.split("counters", 1)[0] or "bug:" in line or "balancer failed" in line:
            yield Breach(Rule.SELF, name, line)
