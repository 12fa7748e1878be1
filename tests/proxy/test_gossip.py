"""Gossip between proxies: its datagrams and their effect on the balancer."""

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


def bind_udp_socket() -> tuple[socket.socket, str]:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.settimeout(20.0)
    return sock, "{}:{}".format(*sock.getsockname())


def address_of(channel: GossipChannel) -> tuple[str, int]:
    host, port = channel.sock.getsockname()[:2]
    return host, port


def test_message_is_received_with_its_senders_index_and_unknown_senders_are_ignored() -> None:
    async def test() -> None:
        (first, first_address), (second, second_address), (unknown, _) = (
            bind_udp_socket(),
            bind_udp_socket(),
            bind_udp_socket(),
        )
        received: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        addresses = PeerAddresses("127.0.0.1:0", (first_address, second_address), first_address)
        channel = GossipChannel(
            addresses, lambda sender_index, payload: received.put_nowait((sender_index, payload))
        )
        unknown.sendto(b"not of the tier", address_of(channel))
        first.sendto(b"x" * 257, address_of(channel))
        second.sendto(b"second", address_of(channel))
        assert await received.get() == (1, b"second")
        first.sendto(b"first", address_of(channel))
        assert await received.get() == (0, b"first")
        assert received.empty()
        channel.send(b"to all")
        assert first.recv(512) == b"to all"
        with pytest.raises(ValueError, match="too long"):
            channel.send(b"x" * 257)
        channel.close()
        for sock in (first, second, unknown):
            sock.close()

    run(test())


def read_config_with_peers(folder: Path, **overrides: Any) -> Config:
    raw = make_configuration("127.0.0.1:1", Peers=True)
    path = folder / "config.json"
    path.write_text(json.dumps(raw | overrides))
    return read_config({"LB_CONFIG": str(path)})


def test_program_sends_and_receives_gossip_if_the_settings_allow_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        gossip_seen = asyncio.Event()
        peer, address = bind_udp_socket()
        config = read_config_with_peers(
            tmp_path, peer_listen="127.0.0.1:0", peers=[address], peers_all=address
        )
        engine, listener = start(config)
        assert engine.gossip is not None

        def step(_: float, events: list[Any]) -> list[Any]:
            if GossipReceived(0, b"\x01efgh") in events:
                gossip_seen.set()
            return []

        monkeypatch.setattr(engine.balancer, "step", step)
        engine._execute(SendGossip(b"\x01abcd"))
        assert peer.recv(512) == b"\x01abcd"
        peer.sendto(b"\x01efgh", address_of(engine.gossip))
        await gossip_seen.wait()
        await listener.finish_shutdown(0.0)
        engine.close()
        peer.close()

    run(test())


def test_proxy_starts_without_gossip_if_the_gossip_address_is_unavailable(tmp_path: Path) -> None:
    async def test() -> None:
        address = "203.0.113.1:1"
        engine, listener = start(
            read_config_with_peers(tmp_path, peer_listen=address, peers=[address], peers_all=address)
        )
        assert engine.gossip is None and listener.address
        engine._execute(SendGossip(b"\x01"))
        await listener.finish_shutdown(0.0)
        engine.close()

    run(test())


@pytest.mark.parametrize("invalid", [{"peers": "x"}, {"peer_listen": "here"}, {"peers_all": 5}])
def test_invalid_peer_address_raises_a_configuration_error(tmp_path: Path, invalid: dict[str, Any]) -> None:
    valid = {"peer_listen": "127.0.0.1:1", "peers": ["127.0.0.1:1"], "peers_all": "127.0.0.1:2"}
    with pytest.raises(ConfigurationError, match=r"peer|address"):
        read_config_with_peers(tmp_path, **(valid | invalid))


def test_simulator_wire_carries_gossip_in_both_directions() -> None:
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
    received = {"what": "FromPeer", "Raw": notified["Raw"]}
    batch(10.0, received | {"SrcPeer": 7}, received | {"SrcPeer": 8})
    (backend,) = adapter.instances[0].balancer.backends.by_id.values()
    assert [reporter for _, reporter in backend.failure_reports] == [0, 7, 8]
