"""Small helpers for feeding a Balancer by hand."""

from __future__ import annotations

from itertools import count
from typing import Any, TypeVar

from dunecove.policy.actions import Action, Forward
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import AttemptEnded, BackendListUpdate, ListUpdateKind, RequestArrived, TimerFired
from dunecove.policy.models import AttemptResult, BackendInfo
from dunecove.policy.settings import RequestClass, Settings

A = TypeVar("A")


def settings(*classes: RequestClass, **more: Any) -> Settings:
    base: dict[str, Any] = {"max_attempts": 4, "may_cancel": True, "step_interval_ms": 1.0}
    return Settings(classes=classes or (RequestClass(300.0, 1000.0),), **(base | more))


class Driver:
    """One Balancer, a clock that the test sets, and every send kept by attempt."""

    def __init__(self, config: Settings, *backends: BackendInfo, seed: int = 1) -> None:
        self.balancer = Balancer(config, seed)
        self.now = 1000.0
        self.ids = count()
        self.forwards: dict[str, list[str]] = {}
        self.step(BackendListUpdate(ListUpdateKind.CACHED, backends))

    def step(self, *events: Any, after: float = 0.0) -> list[Action]:
        self.now += after
        actions = self.balancer.step(self.now, list(events))
        for action in actions:
            if isinstance(action, Forward):
                self.forwards.setdefault(action.request_id, []).append(action.backend_id)
        return actions

    def arrive(self, cls: int = 0, tenant: int = 0, key: int | None = None, wait: float = 1000.0) -> str:
        name = f"r{next(self.ids)}"
        self.last = self.step(RequestArrived(name, cls, tenant, key, self.now + wait))
        return name

    def end(
        self,
        request: str,
        result: AttemptResult = AttemptResult.OK,
        after: float = 20.0,
        done: bool | None = None,
        delay: float | None = None,
    ) -> list[Action]:
        attempt = len(self.forwards[request]) - 1
        finished = result is AttemptResult.OK if done is None else done
        delay = after if delay is None else delay
        return self.step(AttemptEnded(request, attempt, result, delay, finished), after=after)

    def tick(self, after: float = 25.0) -> list[Action]:
        return self.step(TimerFired(0), after=after)

    def run_ticks(self, ms: float) -> list[Action]:
        actions: list[Action] = []
        for _ in range(int(ms / 25)):
            actions += self.tick()
        return actions


def of_type(kind: type[A], actions: list[Action]) -> list[A]:
    return [a for a in actions if isinstance(a, kind)]


def fleet(n: int, **more: Any) -> list[BackendInfo]:
    return [BackendInfo(f"10.0.0.{i}:80", **more) for i in range(n)]
