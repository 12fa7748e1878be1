"""The hollow fleet: one seed, one course; what it counts is what was done."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from typing import Any

import orjson
import pytest
from click.testing import CliRunner

from dunecove.policy.models import AttemptResult
from scale.fleet.cli import fleet
from scale.fleet.clock import ORIGIN_S, VirtualLoop, virtual_loop
from scale.fleet.proxy import HollowProxy
from scale.fleet.run import BadPlan, Fleet, Plan
from scale.fleet.service import CHUNK, Door, ListService
from scale.fleet.world import CUT_REGIONS, REGIONS, Rules, World

SMALL: dict[str, Any] = {"backends": 50, "proxies": 11, "seconds": 30, "rate": 2.0}


def same(figures: dict[str, Any]) -> dict[str, Any]:
    """What must not depend on the machine."""
    costs = figures["a_proxy_a_second"].values()
    kept = {name: figures[name] for name in ("counts", "failures", "spread", "list", "callbacks")}
    return kept | {"bytes": [cost["bytes_worst_proxy"] for cost in costs]}


def until(loop: VirtualLoop, seconds: float) -> None:
    loop.run_until(loop.time() + seconds)


class Caller(asyncio.Protocol):
    """Raw bytes to the service and from it."""

    def __init__(self) -> None:
        self.data, self.reads, self.lost = b"", 0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.line = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.reads += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True

    def ask(self, query: str = "", line: str = "GET /registry/instances{} HTTP/1.1") -> None:
        self.line.write(line.format(query).encode() + b"\r\nHost: list\r\n\r\n")

    def answer(self) -> Any:
        head, _, body = self.data.partition(b"\r\n\r\n")
        self.data = b""
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"Content-Length: %d" % len(body) in head
        return orjson.loads(body)


def connected(size: int = 40) -> tuple[World, Caller]:
    loop = virtual_loop()
    world, caller = World(loop, size, 1, Rules()), Caller()
    loop.hosts["10.0.0.1", 80] = Door(world.list, 0)
    task = loop.create_task(loop.create_connection(lambda: caller, "10.0.0.1", 80))
    until(loop, 0.1)
    assert task.done()
    return world, caller


def test_timers_run_in_order_of_time_then_of_their_making() -> None:
    loop, ran = virtual_loop(), list[str]()
    loop.call_later(2.0, ran.append, "late")
    loop.call_later(1.0, ran.append, "first")
    loop.call_later(1.0, ran.append, "second")
    loop.call_later(1.5, ran.append, "called off").cancel()
    loop.call_soon(ran.append, "now")
    until(loop, 1.6)
    assert ran == ["now", "first", "second"]
    assert loop.time() == ORIGIN_S + 1.6


def test_a_callback_that_raises_ends_itself_only() -> None:
    loop, ran = virtual_loop(), list[str]()
    loop.call_soon(int, "no number")
    loop.call_soon(ran.append, "next")
    until(loop, 0.1)
    assert ran == ["next"]
    assert "ValueError" in loop.errors[0]


def test_the_service_answers_with_the_whole_list() -> None:
    world, caller = connected(2000)
    caller.ask()
    until(world.loop, 0.1)
    assert caller.reads >= len(world.list.whole()) // CHUNK
    answer = caller.answer()
    assert (answer["rev"], answer["all"], len(answer["targets"])) == (1, True, 2000)
    assert set(answer["targets"][0]) == {
        "uid",
        "endpoint",
        "az",
        "model",
        "pod_group",
        "state",
        "capacity_hint",
        "boot_ms",
    }


def test_a_watch_waits_for_changes_and_gets_them_alone() -> None:
    world, caller = connected()
    caller.ask("?since=1&timeout_ms=5000")
    until(world.loop, 1.0)
    assert caller.data == b""
    world.drain(world.active()[:2])
    until(world.loop, 0.1)
    answer = caller.answer()
    assert (answer["rev"], answer["all"]) == (2, False)
    assert [entry["state"] for entry in answer["targets"]] == ["leaving", "leaving"]


def test_a_watch_with_no_news_ends_empty_in_time() -> None:
    world, caller = connected()
    caller.ask("?since=1&timeout_ms=1000")
    until(world.loop, 0.9)
    assert caller.data == b""
    until(world.loop, 0.2)
    assert caller.answer() == {"rev": 1, "all": False, "targets": []}


def test_changes_of_several_versions_come_as_the_latest() -> None:
    world, caller = connected()
    one = world.active()[0]
    world.drain([one])
    until(world.loop, 10.0)  # by now it has left, and another has come
    caller.ask("?since=1&timeout_ms=1000")
    until(world.loop, 0.1)
    answer = caller.answer()
    states = {entry["uid"]: entry["state"] for entry in answer["targets"]}
    assert answer["rev"] == 3
    assert states.pop(one.uid) == "left"
    assert list(states.values()) == ["active"]


@pytest.mark.parametrize("since", ["1", "99"])
def test_a_version_too_old_or_unknown_gets_the_whole_list(since: str) -> None:
    world, caller = connected()
    world.drain(world.active()[:1])
    world.list.forget()
    caller.ask(f"?since={since}&timeout_ms=1000")
    until(world.loop, 0.1)
    assert caller.answer()["all"] is True


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET /elsewhere HTTP/1.1", b"404"),
        ("POST /registry/instances HTTP/1.1", b"404"),
        ("GET /registry/instances?since=x HTTP/1.1", b"400"),
    ],
)
def test_the_service_says_no_to_other_calls(line: str, status: bytes) -> None:
    world, caller = connected()
    caller.ask(line=line)
    until(world.loop, 0.1)
    assert caller.data.split(b" ")[1] == status


def test_a_cut_line_is_silent_and_a_new_one_hangs() -> None:
    world, caller = connected()
    caller.ask("?since=1&timeout_ms=500")
    world.silence(frozenset([0]), 5.0)
    until(world.loop, 1.0)
    late = Caller()
    task = world.loop.create_task(world.loop.create_connection(lambda: late, "10.0.0.1", 80))
    until(world.loop, 1.0)
    assert caller.data == b""
    assert not task.done()
    task.cancel()


def test_a_closed_line_ends_its_watch() -> None:
    world, caller = connected()
    caller.ask("?since=1&timeout_ms=500")
    until(world.loop, 0.1)
    caller.line.abort()
    until(world.loop, 1.0)
    assert caller.lost
    assert caller.data == b""


def test_changes_beyond_those_kept_are_dropped() -> None:
    world, _ = connected()
    service: ListService = world.list
    for _ in range(1200):
        world.tell([world.active()[0]])
    assert b'"all":true' in service.delta(1)
    assert b'"all":false' in service.delta(service.rev - 999)


@pytest.mark.parametrize("event", ["zone", "restart"])
def test_one_seed_gives_the_same_counts(event: str) -> None:
    plan = Plan(**SMALL, event=event, churn=20_000.0)
    first, second = Fleet(plan).run(), Fleet(plan).run()
    assert same(first) == same(second)
    assert first["other_errors"] == first["counts"]["module exceptions"] == 0
    assert first["counts"]["served"] > 0


def test_another_seed_gives_other_counts() -> None:
    assert same(Fleet(Plan(**SMALL)).run()) != same(Fleet(Plan(**SMALL, seed=2)).run())


@pytest.mark.parametrize("pushed", [False, True])
def test_a_drain_reaches_all_and_nothing_is_sent_after_its_grace(pushed: bool) -> None:
    figures = Fleet(Plan(**SMALL, event="release", pushed=pushed)).run()
    assert figures["spread"]["changes"] >= 10
    assert figures["spread"]["missed"] == figures["spread"]["overdue"] == 0
    assert 0 < figures["spread"]["last_ms"] < 100
    assert figures["counts"]["sends after grace"] == 0


def test_a_cut_region_is_behind_and_catches_up() -> None:
    run = Fleet(Plan(**SMALL, event="split", lasting=8.0))
    figures = run.run()
    behind = {proxy.region for proxy in run.proxies if proxy.account.counts["failed calls"]}
    assert behind == set(CUT_REGIONS)
    assert figures["spread"]["last_ms"] >= 8000
    assert figures["spread"]["reached_last_ms"] <= 6000
    assert figures["spread"]["missed"] == 0
    assert figures["counts"]["sends after grace"] == 0
    assert {proxy.account.held.revs[-1] for proxy in run.proxies} == {run.world.list.rev}


def test_proxies_that_start_anew_are_given_the_whole_list() -> None:
    run = Fleet(Plan(**SMALL, event="restart"))
    figures = run.run()
    assert figures["list"]["wholes"] == len(run.proxies)
    assert figures["spread"]["missed"] == 0
    assert {proxy.account.held.revs[-1] for proxy in run.proxies} == {run.world.list.rev}
    assert figures["counts"]["sends after grace"] == 0


def test_a_frozen_list_is_counted_as_sends_after_the_grace() -> None:
    run = Fleet(Plan(**(SMALL | {"rate": 20.0}), event="release", frozen=1))
    figures = run.run()
    late = [proxy.account.counts["sends after grace"] for proxy in run.proxies]
    assert late[0] > 0
    assert not any(late[1:])
    assert figures["counts"]["sends after grace"] == late[0]
    assert figures["spread"]["missed"] > 0
    assert figures["spread"]["overdue"] >= figures["spread"]["missed"]


def test_a_module_that_breaks_is_counted_and_followed_by_another() -> None:
    run = Fleet(Plan(**SMALL))
    run.loop.call_later(15.0, lambda: setattr(run.proxies[1].balancer.backends, "subset", None))
    figures = run.run()
    assert figures["counts"]["module exceptions"] == 1
    assert run.proxies[1].account.counts["module exceptions"] == 1
    assert run.proxies[1].account.cpu.at(29) > 0


def test_live_weights_are_renewed_for_all() -> None:
    still, live = (Fleet(Plan(**SMALL, weights=weights)).run() for weights in (False, True))
    assert live["list"]["versions"] >= 30 / 0.9
    assert live["a_proxy_a_second"]["steady"]["bytes"] > 20 * still["a_proxy_a_second"]["steady"]["bytes"]


def test_when_a_change_counts_as_told() -> None:
    run = Fleet(Plan(**SMALL))
    world, proxy = run.world, run.proxies[3]
    assert proxy.region in CUT_REGIONS
    world.silence(CUT_REGIONS, 10.0)
    until(run.loop, 1.0)
    world.tell(world.active()[:1])
    assert proxy.told_at(world.list.rev) == float("inf")
    until(run.loop, 10.0)
    assert proxy.told_at(world.list.rev) == ORIGIN_S + 10.0 + 6.0
    assert run.proxies[0].told_at(world.list.rev) == ORIGIN_S + 1.0 + 6.0
    proxy.account.told.add(ORIGIN_S + 12.0, world.list.rev)
    assert proxy.told_at(world.list.rev) == ORIGIN_S + 12.0


def test_how_attempts_end() -> None:
    run = Fleet(Plan(**SMALL))
    world, rng = run.world, Random(1)
    other = [b for b in world.active() if b.region not in CUT_REGIONS]
    lost, drained, apart = other[0], other[1], world.active(lambda b: b.region in CUT_REGIONS)[0]
    assert world.serve(lost.uid, 0, rng)[0] is AttemptResult.OK
    world.lose([lost])
    world.drain([drained])
    assert world.serve(lost.uid, 0, rng) == (AttemptResult.CONNECT_FAILED, world.rules.connect_ms)
    assert world.serve(drained.uid, 0, rng)[0] is AttemptResult.OK  # inside its grace
    until(run.loop, 2.0)
    assert world.serve(drained.uid, 0, rng)[0] is AttemptResult.REJECTED
    world.part(5.0)
    assert world.serve(apart.uid, 0, rng)[0] is AttemptResult.CONNECT_FAILED
    assert world.serve(apart.uid, next(iter(CUT_REGIONS)), rng)[0] is AttemptResult.OK


@pytest.mark.parametrize(
    "bad",
    [
        {"backends": 0},
        {"proxies": 0},
        {"seconds": 5},
        {"event": "flood"},
        {"rate": -1.0},
        {"grace_ms": 0.0},
        {"churn": float("nan")},
        {"frozen": 12},
        {"services": 0},
    ],
)
def test_bad_plans(bad: dict[str, Any]) -> None:
    with pytest.raises(BadPlan, match=next(iter(bad))):
        Plan(**(SMALL | bad)).check()


def test_command(tmp_path: Path) -> None:
    sizes = ["--backends", "30", "--proxies", "5", "--seconds", "30"]
    done = CliRunner().invoke(fleet, [*sizes, "--json", str(tmp_path / "out.json")])
    assert done.exit_code == 0
    assert "5 hollow proxies" in done.output
    assert orjson.loads((tmp_path / "out.json").read_bytes())["plan"]["backends"] == 30


@pytest.mark.parametrize(
    "bad",
    [
        ["--event", "flood"],
        ["--backends", "0"],
        ["--memory-mb", "1"],
        ["--backends", "x"],
        ["--none"],
        ["--json", "/nowhere/out.json"],
    ],
)
def test_command_says_in_one_line_what_is_wrong(bad: list[str]) -> None:
    done = CliRunner().invoke(fleet, bad)
    assert done.exit_code == 2
    assert done.stderr.startswith("fleet: ")
    assert done.stderr.count("\n") == 1


def test_regions_have_proxies_of_all_zones() -> None:
    run = Fleet(Plan(**SMALL))
    assert {proxy.region for proxy in run.proxies} == set(range(REGIONS))
    assert all(isinstance(proxy, HollowProxy) for proxy in run.proxies)
