"""Datagrams between the proxies of a deployment: short, unanswered, and perhaps lost on the way."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

from dunecove.proxy.addresses import split_address

MAX_DATAGRAM_BYTES = 256
MAX_READS_PER_TURN = 64  # requests must not wait for a flood of datagrams


class PeerAddresses(NamedTuple):
    """The addresses that the platform gives a proxy for gossip, as `host:port`."""

    listen: str
    peers: tuple[str, ...]  # by proxy index, this proxy's own among them
    broadcast: str  # reaches all peers


class GossipChannel:
    """One socket for messages to and from the other proxies."""

    def __init__(self, addresses: PeerAddresses, on_message: Callable[[int, bytes], None]) -> None:
        """Listen for messages, each given to `on_message` with its sender's index.

        Raises OSError if the address to listen on is not to be had.
        """
        self._on_message = on_message
        self._peer_indexes = {split_address(address): index for index, address in enumerate(addresses.peers)}
        self._own_address = split_address(addresses.listen)
        self._broadcast_address = split_address(addresses.broadcast)
        self._loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in self._own_address[0] else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self.sock.setblocking(False)
            self.sock.bind(self._own_address)
        except OSError:
            self.sock.close()
            raise
        self._loop.add_reader(self.sock.fileno(), self._read)

    def send(self, payload: bytes) -> None:
        """Send a message to all other proxies; ValueError if it is too long."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a datagram of {len(payload)} bytes is too long")
        try:
            self.sock.sendto(payload, self._broadcast_address)
        except OSError:
            return  # as good as lost on the way, which the balancer has to bear anyhow

    def _read(self) -> None:
        for _ in range(MAX_READS_PER_TURN):
            try:
                payload, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # nothing more, or the error of a message of ours that did not arrive
                return
            self._handle(payload, sender[:2])

    def _handle(self, payload: bytes, sender: tuple[str, int]) -> None:
        """Pass over what comes from no peer, from this proxy itself, or is longer than any of them sends."""
        index = self._peer_indexes.get(sender)
        if index is not None and sender != self._own_address and len(payload) <= MAX_DATAGRAM_BYTES:
            self._on_message(index, payload)

    def close(self) -> None:
        """Close the socket."""
        self._loop.remove_reader(self.sock.fileno())
        self.sock.close()
