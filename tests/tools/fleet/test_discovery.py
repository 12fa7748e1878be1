"""The simulated discovery service, tested with raw requests and responses."""

from __future__ import annotations

import pytest

from scale.fleet.discovery import SimulatedDiscovery
from scale.fleet.network import READ_BYTES
from tests.tools.fleet.support import RawClient, advance, connect_client


def test_request_without_a_revision_gets_a_snapshot() -> None:
    cluster, client = connect_client(2000)
    client.send_request()
    advance(cluster.loop, 0.1)
    assert client.reads >= len(cluster.discovery.snapshot()) // READ_BYTES
    response = client.take_response()
    assert (response["rev"], response["all"], len(response["targets"])) == (1, True, 2000)
    assert set(response["targets"][0]) == {
        "uid",
        "endpoint",
        "az",
        "model",
        "pod_group",
        "state",
        "capacity_hint",
        "boot_ms",
    }


def test_watch_waits_for_a_change_and_gets_a_delta() -> None:
    cluster, client = connect_client()
    client.send_request("?since=1&timeout_ms=5000")
    advance(cluster.loop, 1.0)
    assert client.data == b""
    cluster.drain(cluster.active_backends()[:2])
    advance(cluster.loop, 0.1)
    response = client.take_response()
    assert (response["rev"], response["all"]) == (2, False)
    assert [entry["state"] for entry in response["targets"]] == ["leaving", "leaving"]


def test_watch_without_a_change_gets_an_empty_delta_at_its_timeout() -> None:
    cluster, client = connect_client()
    client.send_request("?since=1&timeout_ms=1000")
    advance(cluster.loop, 0.9)
    assert client.data == b""
    advance(cluster.loop, 0.2)
    assert client.take_response() == {"rev": 1, "all": False, "targets": []}


def test_delta_over_several_revisions_has_the_latest_entry_of_each_backend() -> None:
    cluster, client = connect_client()
    drained = cluster.active_backends()[0]
    cluster.drain([drained])
    advance(cluster.loop, 10.0)  # the drained backend has been removed and replaced
    client.send_request("?since=1&timeout_ms=1000")
    advance(cluster.loop, 0.1)
    response = client.take_response()
    states = {entry["uid"]: entry["state"] for entry in response["targets"]}
    assert response["rev"] == 3
    assert states.pop(drained.backend_id) == "left"
    assert list(states.values()) == ["active"]


@pytest.mark.parametrize("since", ["1", "99"])
def test_watch_from_a_too_old_or_unknown_revision_gets_a_snapshot(since: str) -> None:
    cluster, client = connect_client()
    cluster.drain(cluster.active_backends()[:1])
    cluster.discovery.clear_history()
    client.send_request(f"?since={since}&timeout_ms=1000")
    advance(cluster.loop, 0.1)
    assert client.take_response()["all"] is True


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET /elsewhere HTTP/1.1", b"404"),
        ("POST /registry/instances HTTP/1.1", b"404"),
        ("GET /registry/instances?since=x HTTP/1.1", b"400"),
    ],
)
def test_invalid_request_gets_an_error_status(line: str, status: bytes) -> None:
    cluster, client = connect_client()
    client.send_request(line=line)
    advance(cluster.loop, 0.1)
    assert client.data.split(b" ")[1] == status


def test_unreachable_service_sends_no_response_and_accepts_no_connection() -> None:
    cluster, client = connect_client()
    client.send_request("?since=1&timeout_ms=500")
    cluster.disconnect_discovery(frozenset([0]), 5.0)
    advance(cluster.loop, 1.0)
    new_client = RawClient()
    task = cluster.loop.create_task(cluster.loop.create_connection(lambda: new_client, "10.0.0.1", 80))
    advance(cluster.loop, 1.0)
    assert client.data == b""
    assert not task.done()
    task.cancel()


def test_closed_connection_cancels_its_watch() -> None:
    cluster, client = connect_client()
    client.send_request("?since=1&timeout_ms=500")
    advance(cluster.loop, 0.1)
    client.transport.abort()
    advance(cluster.loop, 1.0)
    assert client.is_closed
    assert client.data == b""


def test_watch_from_before_the_history_gets_a_snapshot() -> None:
    cluster, _ = connect_client()
    discovery: SimulatedDiscovery = cluster.discovery
    for _ in range(1200):
        cluster.publish([cluster.active_backends()[0]])
    assert b'"all":true' in discovery.delta(1)
    assert b'"all":false' in discovery.delta(discovery.revision - 999)
