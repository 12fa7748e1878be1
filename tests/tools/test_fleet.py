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
from scale.fleet.clock import ORIGIN_S, VirtualLoop, create_virtual_loop
from scale.fleet.cluster import REGION_COUNT, ClusterSettings, SimulatedCluster
from scale.fleet.discovery import SimulatedDiscovery
from scale.fleet.disruptions import SEPARATED_REGIONS
from scale.fleet.network import READ_BYTES, RegionEndpoint
from scale.fleet.plan import InvalidPlanError, Plan
from scale.fleet.proxy import SimulatedProxy
from scale.fleet.run import Fleet

SMALL: dict[str, Any] = {"backends": 50, "proxies": 11, "seconds": 30, "rate": 2.0}


def same(figures: dict[str, Any]) -> dict[str, Any]:
    """What must not depend on the machine."""
    costs = figures["a_proxy_a_second"].values()
    kept = {name: figures[name] for name in ("counts", "failures", "spread", "list", "callbacks")}
    return kept | {"bytes": [cost["bytes_worst_proxy"] for cost in costs]}


def until(loop: VirtualLoop, seconds: float) -> None:
    loop.run_until(loop.time() + seconds)


class RawClient(asyncio.Protocol):
    """Raw bytes to the service and from it."""

    def __init__(self) -> None:
        self.data, self.reads, self.lost = b"", 0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.reads += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True

    def ask(self, query: str = "", line: str = "GET /registry/instances{} HTTP/1.1") -> None:
        self.transport.write(line.format(query).encode() + b"\r\nHost: list\r\n\r\n")

    def answer(self) -> Any:
        head, _, body = self.data.partition(b"\r\n\r\n")
        self.data = b""
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"Content-Length: %d" % len(body) in head
        return orjson.loads(body)


def connected(size: int = 40) -> tuple[SimulatedCluster, RawClient]:
    loop = create_virtual_loop()
    cluster, client = SimulatedCluster(loop, size, 1, ClusterSettings()), RawClient()
    loop.listeners["10.0.0.1", 80] = RegionEndpoint(cluster.discovery, 0)
    task = loop.create_task(loop.create_connection(lambda: client, "10.0.0.1", 80))
    until(loop, 0.1)
    assert task.done()
    return cluster, client


def test_timers_run_in_order_of_time_then_of_their_making() -> None:
    loop, ran = create_virtual_loop(), list[str]()
    loop.call_later(2.0, ran.append, "late")
    loop.call_later(1.0, ran.append, "first")
    loop.call_later(1.0, ran.append, "second")
    loop.call_later(1.5, ran.append, "called off").cancel()
    loop.call_soon(ran.append, "now")
    until(loop, 1.6)
    assert ran == ["now", "first", "second"]
    assert loop.time() == ORIGIN_S + 1.6


def test_a_callback_that_raises_ends_itself_only() -> None:
    loop, ran = create_virtual_loop(), list[str]()
    loop.call_soon(int, "no number")
    loop.call_soon(ran.append, "next")
    until(loop, 0.1)
    assert ran == ["next"]
    assert "ValueError" in loop.errors[0]


def test_the_service_answers_with_the_whole_list() -> None:
    cluster, client = connected(2000)
    client.ask()
    until(cluster.loop, 0.1)
    assert client.reads >= len(cluster.discovery.snapshot()) // READ_BYTES
    answer = client.answer()
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
    cluster, client = connected()
    client.ask("?since=1&timeout_ms=5000")
    until(cluster.loop, 1.0)
    assert client.data == b""
    cluster.drain(cluster.active_backends()[:2])
    until(cluster.loop, 0.1)
    answer = client.answer()
    assert (answer["rev"], answer["all"]) == (2, False)
    assert [entry["state"] for entry in answer["targets"]] == ["leaving", "leaving"]


def test_a_watch_with_no_news_ends_empty_in_time() -> None:
    cluster, client = connected()
    client.ask("?since=1&timeout_ms=1000")
    until(cluster.loop, 0.9)
    assert client.data == b""
    until(cluster.loop, 0.2)
    assert client.answer() == {"rev": 1, "all": False, "targets": []}


def test_changes_of_several_versions_come_as_the_latest() -> None:
    cluster, client = connected()
    one = cluster.active_backends()[0]
    cluster.drain([one])
    until(cluster.loop, 10.0)  # by now it has left, and another has come
    client.ask("?since=1&timeout_ms=1000")
    until(cluster.loop, 0.1)
    answer = client.answer()
    states = {entry["uid"]: entry["state"] for entry in answer["targets"]}
    assert answer["rev"] == 3
    assert states.pop(one.backend_id) == "left"
    assert list(states.values()) == ["active"]


@pytest.mark.parametrize("since", ["1", "99"])
def test_a_version_too_old_or_unknown_gets_the_whole_list(since: str) -> None:
    cluster, client = connected()
    cluster.drain(cluster.active_backends()[:1])
    cluster.discovery.forget_changes()
    client.ask(f"?since={since}&timeout_ms=1000")
    until(cluster.loop, 0.1)
    assert client.answer()["all"] is True


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET /elsewhere HTTP/1.1", b"404"),
        ("POST /registry/instances HTTP/1.1", b"404"),
        ("GET /registry/instances?since=x HTTP/1.1", b"400"),
    ],
)
def test_the_service_says_no_to_other_calls(line: str, status: bytes) -> None:
    cluster, client = connected()
    client.ask(line=line)
    until(cluster.loop, 0.1)
    assert client.data.split(b" ")[1] == status


def test_a_cut_line_is_silent_and_a_new_one_hangs() -> None:
    cluster, client = connected()
    client.ask("?since=1&timeout_ms=500")
    cluster.cut_discovery(frozenset([0]), 5.0)
    until(cluster.loop, 1.0)
    late = RawClient()
    task = cluster.loop.create_task(cluster.loop.create_connection(lambda: late, "10.0.0.1", 80))
    until(cluster.loop, 1.0)
    assert client.data == b""
    assert not task.done()
    task.cancel()


def test_a_closed_line_ends_its_watch() -> None:
    cluster, client = connected()
    client.ask("?since=1&timeout_ms=500")
    until(cluster.loop, 0.1)
    client.transport.abort()
    until(cluster.loop, 1.0)
    assert client.lost
    assert client.data == b""


def test_changes_beyond_those_kept_are_dropped() -> None:
    cluster, _ = connected()
    service: SimulatedDiscovery = cluster.discovery
    for _ in range(1200):
        cluster.publish([cluster.active_backends()[0]])
    assert b'"all":true' in service.delta(1)
    assert b'"all":false' in service.delta(service.revision - 999)


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
    behind = {proxy.region for proxy in run.proxies if proxy.metrics.counts["failed calls"]}
    assert behind == set(SEPARATED_REGIONS)
    assert figures["spread"]["last_ms"] >= 8000
    assert figures["spread"]["reached_last_ms"] <= 6000
    assert figures["spread"]["missed"] == 0
    assert figures["counts"]["sends after grace"] == 0
    assert {proxy.metrics.applied.latest for proxy in run.proxies} == {run.cluster.discovery.revision}


def test_proxies_that_start_anew_are_given_the_whole_list() -> None:
    run = Fleet(Plan(**SMALL, event="restart"))
    figures = run.run()
    assert figures["list"]["wholes"] == len(run.proxies)
    assert figures["spread"]["missed"] == 0
    assert {proxy.metrics.applied.latest for proxy in run.proxies} == {run.cluster.discovery.revision}
    assert figures["counts"]["sends after grace"] == 0


def test_a_frozen_list_is_counted_as_sends_after_the_grace() -> None:
    run = Fleet(Plan(**(SMALL | {"rate": 20.0}), event="release", frozen=1))
    figures = run.run()
    late = [proxy.metrics.counts["sends after grace"] for proxy in run.proxies]
    assert late[0] > 0
    assert not any(late[1:])
    assert figures["counts"]["sends after grace"] == late[0]
    assert figures["spread"]["missed"] > 0
    assert figures["spread"]["overdue"] >= figures["spread"]["missed"]


def test_a_module_that_breaks_is_counted_and_followed_by_another() -> None:
    run = Fleet(Plan(**SMALL))
    run.loop.call_later(15.0, lambda: setattr(run.proxies[1].balancer, "near", None))
    figures = run.run()
    assert figures["counts"]["module exceptions"] == 1
    assert run.proxies[1].metrics.counts["module exceptions"] == 1
    assert run.proxies[1].metrics.cpu_s.at(29) > 0


def test_live_weights_are_renewed_for_all() -> None:
    still, live = (Fleet(Plan(**SMALL, weights=weights)).run() for weights in (False, True))
    assert live["list"]["versions"] >= 30 / 0.9
    assert live["a_proxy_a_second"]["steady"]["bytes"] > 20 * still["a_proxy_a_second"]["steady"]["bytes"]


def test_when_a_change_counts_as_told() -> None:
    run = Fleet(Plan(**SMALL))
    cluster, proxy = run.cluster, run.proxies[3]
    assert proxy.region in SEPARATED_REGIONS
    cluster.cut_discovery(SEPARATED_REGIONS, 10.0)
    until(run.loop, 1.0)
    cluster.publish(cluster.active_backends()[:1])
    assert proxy.notified_at(cluster.discovery.revision) == float("inf")
    until(run.loop, 10.0)
    assert proxy.notified_at(cluster.discovery.revision) == ORIGIN_S + 10.0 + 6.0
    assert run.proxies[0].notified_at(cluster.discovery.revision) == ORIGIN_S + 1.0 + 6.0
    proxy.metrics.notified.record(cluster.discovery.revision, ORIGIN_S + 12.0)
    assert proxy.notified_at(cluster.discovery.revision) == ORIGIN_S + 12.0


def test_how_attempts_end() -> None:
    run = Fleet(Plan(**SMALL))
    cluster, rng = run.cluster, Random(1)
    other = [backend for backend in cluster.active_backends() if backend.region not in SEPARATED_REGIONS]
    lost, drained, apart = (
        other[0],
        other[1],
        cluster.active_backends(lambda backend: backend.region in SEPARATED_REGIONS)[0],
    )
    assert cluster.attempt(lost.backend_id, 0, rng)[0] is AttemptResult.OK
    cluster.lose([lost])
    cluster.drain([drained])
    assert cluster.attempt(lost.backend_id, 0, rng) == (
        AttemptResult.CONNECT_FAILED,
        cluster.settings.connect_timeout_ms,
    )
    assert cluster.attempt(drained.backend_id, 0, rng)[0] is AttemptResult.OK  # inside its grace
    until(run.loop, 2.0)
    assert cluster.attempt(drained.backend_id, 0, rng)[0] is AttemptResult.REJECTED
    cluster.separate(SEPARATED_REGIONS, 5.0)
    assert cluster.attempt(apart.backend_id, 0, rng)[0] is AttemptResult.CONNECT_FAILED
    assert cluster.attempt(apart.backend_id, next(iter(SEPARATED_REGIONS)), rng)[0] is AttemptResult.OK


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
    with pytest.raises(InvalidPlanError, match=next(iter(bad))):
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
    assert {proxy.region for proxy in run.proxies} == set(range(REGION_COUNT))
    assert all(isinstance(proxy, SimulatedProxy) for proxy in run.proxies)
