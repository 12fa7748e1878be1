"""The simulated discovery service, by its bytes."""

from __future__ import annotations

import pytest

from scale.fleet.discovery import SimulatedDiscovery
from scale.fleet.network import READ_BYTES
from tests.tools.fleet.support import RawClient, advance, connect_client


def test_a_call_without_a_revision_gets_a_snapshot() -> None:
    cluster, client = connect_client(2000)
    client.ask()
    advance(cluster.loop, 0.1)
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


def test_a_watch_waits_for_changes_and_gets_a_delta() -> None:
    cluster, client = connect_client()
    client.ask("?since=1&timeout_ms=5000")
    advance(cluster.loop, 1.0)
    assert client.data == b""
    cluster.drain(cluster.active_backends()[:2])
    advance(cluster.loop, 0.1)
    answer = client.answer()
    assert (answer["rev"], answer["all"]) == (2, False)
    assert [entry["state"] for entry in answer["targets"]] == ["leaving", "leaving"]


def test_a_watch_without_a_change_ends_empty_in_time() -> None:
    cluster, client = connect_client()
    client.ask("?since=1&timeout_ms=1000")
    advance(cluster.loop, 0.9)
    assert client.data == b""
    advance(cluster.loop, 0.2)
    assert client.answer() == {"rev": 1, "all": False, "targets": []}


def test_changes_of_several_revisions_come_as_the_latest() -> None:
    cluster, client = connect_client()
    one = cluster.active_backends()[0]
    cluster.drain([one])
    advance(cluster.loop, 10.0)  # by now it has left, and another has come
    client.ask("?since=1&timeout_ms=1000")
    advance(cluster.loop, 0.1)
    answer = client.answer()
    states = {entry["uid"]: entry["state"] for entry in answer["targets"]}
    assert answer["rev"] == 3
    assert states.pop(one.backend_id) == "left"
    assert list(states.values()) == ["active"]


@pytest.mark.parametrize("since", ["1", "99"])
def test_a_revision_too_old_or_unknown_gets_a_snapshot(since: str) -> None:
    cluster, client = connect_client()
    cluster.drain(cluster.active_backends()[:1])
    cluster.discovery.forget_changes()
    client.ask(f"?since={since}&timeout_ms=1000")
    advance(cluster.loop, 0.1)
    assert client.answer()["all"] is True


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET /elsewhere HTTP/1.1", b"404"),
        ("POST /registry/instances HTTP/1.1", b"404"),
        ("GET /registry/instances?since=x HTTP/1.1", b"400"),
    ],
)
def test_other_calls_get_an_error(line: str, status: bytes) -> None:
    cluster, client = connect_client()
    client.ask(line=line)
    advance(cluster.loop, 0.1)
    assert client.data.split(b" ")[1] == status


def test_a_cut_connection_is_unresponsive_and_a_new_one_hangs() -> None:
    cluster, client = connect_client()
    client.ask("?since=1&timeout_ms=500")
    cluster.cut_discovery(frozenset([0]), 5.0)
    advance(cluster.loop, 1.0)
    late = RawClient()
    task = cluster.loop.create_task(cluster.loop.create_connection(lambda: late, "10.0.0.1", 80))
    advance(cluster.loop, 1.0)
    assert client.data == b""
    assert not task.done()
    task.cancel()


def test_a_closed_connection_ends_its_watch() -> None:
    cluster, client = connect_client()
    client.ask("?since=1&timeout_ms=500")
    advance(cluster.loop, 0.1)
    client.transport.abort()
    advance(cluster.loop, 1.0)
    assert client.lost
    assert client.data == b""


def test_changes_beyond_those_kept_are_dropped() -> None:
    cluster, _ = connect_client()
    service: SimulatedDiscovery = cluster.discovery
    for _ in range(1200):
        cluster.publish([cluster.active_backends()[0]])
    assert b'"all":true' in service.delta(1)
    assert b'"all":false' in service.delta(service.revision - 999)
