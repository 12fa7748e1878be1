"""Gossip between the proxies of a deployment: short UDP datagrams, unacknowledged and possibly lost."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

from dunecove.proxy.addresses import split_address

MAX_DATAGRAM_BYTES = 256
MAX_READS_PER_CALLBACK = 64  # limits the delay of requests by a flood of datagrams


class PeerAddresses(NamedTuple):
    """The addresses that the platform assigns to a proxy for gossip, as `host:port`."""

    listen: str
    peers: tuple[str, ...]  # by proxy index, including this proxy's own
    broadcast: str  # reaches all peers


class GossipChannel:
    """A UDP socket for messages to and from the other proxies."""

    def __init__(self, addresses: PeerAddresses, on_message: Callable[[int, bytes], None]) -> None:
        """Listen for messages; `on_message` is called with the sender's index and the payload of each.

        Raises OSError if the listen address is not available.
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
        """Send a message to all other proxies; raises ValueError if it is too long."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a datagram of {len(payload)} bytes is too long")
        try:
            self.sock.sendto(payload, self._broadcast_address)
        except OSError:
            return  # same as a lost datagram, which the balancer tolerates

    def _read(self) -> None:
        for _ in range(MAX_READS_PER_CALLBACK):
            try:
                payload, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # no more datagrams, or the delivery error of a sent one
                return
            self._handle(payload, sender[:2])

    def _handle(self, payload: bytes, sender: tuple[str, int]) -> None:
        """Deliver a message, unless it is too long, or its sender is unknown or this proxy itself."""
        index = self._peer_indexes.get(sender)
        if index is not None and sender != self._own_address and len(payload) <= MAX_DATAGRAM_BYTES:
            self._on_message(index, payload)

    def close(self) -> None:
        """Close the socket."""
        self._loop.remove_reader(self.sock.fileno())
        self.sock.close()
