"""Helpers that drive a `Balancer` directly, with events and a clock set by the test."""

from __future__ import annotations

from itertools import count
from typing import Any, TypeVar

from dunecove.policy.actions import Action, Forward
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import AttemptEnded, BackendListUpdate, ListUpdateKind, RequestArrived, TimerFired
from dunecove.policy.models import AttemptResult, BackendInfo
from dunecove.policy.settings import RequestClass, Settings

ActionT = TypeVar("ActionT")


def make_settings(*classes: RequestClass, **overrides: Any) -> Settings:
    defaults: dict[str, Any] = {"max_attempts": 4, "may_cancel": True, "step_interval_ms": 1.0}
    return Settings(classes=classes or (RequestClass(300.0, 1000.0),), **(defaults | overrides))


class Driver:
    """A `Balancer` with a clock that the test sets; records the backends of each request's attempts."""

    def __init__(self, settings: Settings, *backends: BackendInfo, seed: int = 1) -> None:
        self.balancer = Balancer(settings, seed)
        self.now = 1000.0
        self.request_ids = count()
        self.forwards: dict[str, list[str]] = {}  # backend ids by request id, one for each attempt
        self.step(BackendListUpdate(ListUpdateKind.CACHED, backends))

    def step(self, *events: Any, elapsed_ms: float = 0.0) -> list[Action]:
        self.now += elapsed_ms
        actions = self.balancer.step(self.now, list(events))
        for action in actions:
            if isinstance(action, Forward):
                self.forwards.setdefault(action.request_id, []).append(action.backend_id)
        return actions

    def send_request(
        self,
        class_index: int = 0,
        tenant: int = 0,
        affinity_key: int | None = None,
        timeout_ms: float = 1000.0,
    ) -> str:
        request_id = f"r{next(self.request_ids)}"
        self.last_actions = self.step(
            RequestArrived(request_id, class_index, tenant, affinity_key, self.now + timeout_ms)
        )
        return request_id

    def end_attempt(
        self,
        request_id: str,
        result: AttemptResult = AttemptResult.OK,
        elapsed_ms: float = 20.0,
        request_finished: bool | None = None,
        latency_ms: float | None = None,
    ) -> list[Action]:
        attempt_index = len(self.forwards[request_id]) - 1
        finished = result is AttemptResult.OK if request_finished is None else request_finished
        latency_ms = elapsed_ms if latency_ms is None else latency_ms
        return self.step(
            AttemptEnded(request_id, attempt_index, result, latency_ms, finished), elapsed_ms=elapsed_ms
        )

    def tick(self, elapsed_ms: float = 25.0) -> list[Action]:
        return self.step(TimerFired(0), elapsed_ms=elapsed_ms)

    def run_ticks(self, duration_ms: float) -> list[Action]:
        actions: list[Action] = []
        for _ in range(int(duration_ms / 25)):
            actions += self.tick()
        return actions


def actions_of_type(action_type: type[ActionT], actions: list[Action]) -> list[ActionT]:
    return [action for action in actions if isinstance(action, action_type)]


def make_backends(count: int, **fields: Any) -> list[BackendInfo]:
    return [BackendInfo(f"10.0.0.{i}:80", **fields) for i in range(count)]
