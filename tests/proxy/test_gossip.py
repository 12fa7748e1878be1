"""Gossip between proxies: the datagrams, and what the balancer learns from them."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest

from dunecove.adapter import Adapter
from dunecove.config import Config, read_config
from dunecove.errors import ConfigurationError
from dunecove.policy.actions import SendGossip
from dunecove.policy.events import GossipReceived
from dunecove.proxy.gossip import GossipChannel, PeerAddresses
from dunecove.server import start
from tests.loopback import make_configuration, run


def bound() -> tuple[socket.socket, str]:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.settimeout(20.0)
    return sock, "{}:{}".format(*sock.getsockname())


def address_of(channel: GossipChannel) -> tuple[str, int]:
    host, port = channel.sock.getsockname()[:2]
    return host, port


def test_gossip_has_the_index_of_its_sender_and_strangers_are_ignored() -> None:
    async def test() -> None:
        (first, one), (second, two), (stranger, _) = bound(), bound(), bound()
        heard: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        addresses = PeerAddresses("127.0.0.1:0", (one, two), one)
        channel = GossipChannel(addresses, lambda number, data: heard.put_nowait((number, data)))
        stranger.sendto(b"not of the tier", address_of(channel))
        first.sendto(b"x" * 257, address_of(channel))
        second.sendto(b"second", address_of(channel))
        assert await heard.get() == (1, b"second")
        first.sendto(b"first", address_of(channel))
        assert await heard.get() == (0, b"first")
        assert heard.empty()
        channel.send(b"to all")
        assert first.recv(512) == b"to all"
        with pytest.raises(ValueError, match="too long"):
            channel.send(b"x" * 257)
        channel.close()
        for sock in (first, second, stranger):
            sock.close()

    run(test())


def with_peers(folder: Path, **more: Any) -> Config:
    raw = make_configuration("127.0.0.1:1", Peers=True)
    path = folder / "config.json"
    path.write_text(json.dumps(raw | more))
    return read_config({"LB_CONFIG": str(path)})


def test_the_program_sends_and_receives_gossip_where_the_settings_allow_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        gossip_seen = asyncio.Event()
        other, address = bound()
        config = with_peers(tmp_path, peer_listen="127.0.0.1:0", peers=[address], peers_all=address)
        engine, listener = start(config)
        assert engine.gossip is not None

        def step(_: float, events: list[Any]) -> list[Any]:
            if GossipReceived(0, b"\x01efgh") in events:
                gossip_seen.set()
            return []

        monkeypatch.setattr(engine.balancer, "step", step)
        engine._execute(SendGossip(b"\x01abcd"))
        assert other.recv(512) == b"\x01abcd"
        other.sendto(b"\x01efgh", address_of(engine.gossip))
        await gossip_seen.wait()
        await listener.finish_shutdown(0.0)
        engine.close()
        other.close()

    run(test())


def test_unavailable_gossip_address_leaves_the_proxy_serving(tmp_path: Path) -> None:
    async def test() -> None:
        where = "203.0.113.1:1"
        engine, listener = start(with_peers(tmp_path, peer_listen=where, peers=[where], peers_all=where))
        assert engine.gossip is None and listener.address
        engine._execute(SendGossip(b"\x01"))
        await listener.finish_shutdown(0.0)
        engine.close()

    run(test())


@pytest.mark.parametrize("bad", [{"peers": "x"}, {"peer_listen": "here"}, {"peers_all": 5}])
def test_bad_addresses_of_peers_are_named(tmp_path: Path, bad: dict[str, Any]) -> None:
    good = {"peer_listen": "127.0.0.1:1", "peers": ["127.0.0.1:1"], "peers_all": "127.0.0.1:2"}
    with pytest.raises(ConfigurationError, match=r"peer|address"):
        with_peers(tmp_path, **(good | bad))


def test_the_wire_of_the_simulator_carries_messages_both_ways() -> None:
    info = {
        "Lanes": [{"AimMs": 300, "HardLimitMs": 900, "Effect": "read_like"}],
        "Balancers": 40,
        "Limits": {"Peers": True},
    }
    adapter = Adapter()

    def batch(now: float, *news: dict[str, Any]) -> list[dict[str, Any]]:
        line = json.dumps({"TsMs": now, "news": [entry | {"ProxyId": 0} for entry in news]})
        reply: list[dict[str, Any]] = json.loads(adapter.handle_batch(line.encode()))["cmds"]
        return reply

    entry = {"Backend": "10.0.0.1:80", "State": "active"}
    arrival = {"what": "Incoming", "Call": "a", "Lane": 0, "GiveUpAtMs": 900.0}
    batch(
        0.0,
        {"what": "Provision", "Entropy": 1, "Info": info},
        {"what": "PeersKnown", "Mode": "SAVED", "Records": [entry]},
        arrival,
    )
    failed = {"what": "Reply", "Call": "a", "Leg": 0, "How": "error", "DelaySeenMs": 5.0, "Finished": True}
    (notified,) = [cmd for cmd in batch(5.0, failed) if cmd["what"] == "Notify"]
    assert notified["Recipient"] == "all"
    heard = {"what": "FromPeer", "Raw": notified["Raw"]}
    batch(10.0, heard | {"SrcPeer": 7}, heard | {"SrcPeer": 8})
    (backend,) = adapter.instances[0].balancer.backends.by_id.values()
    assert [by for _, by in backend.failure_reports] == [0, 7, 8]
