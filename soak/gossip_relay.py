"""A stand-in for the platform's gossip broadcast address (`peers_all`), which forwards to all proxies."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from soak.loopback import split_address


class GossipRelay(asyncio.DatagramProtocol):
    """Relay that forwards each datagram to all proxies except its sender.

    Call `open` before use.
    """

    def __init__(self) -> None:
        self.address = ""
        self._receivers: list[tuple[str, int]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    async def open(self, receivers: list[str]) -> None:
        """Listen, and forward to the proxies at these `host:port` addresses."""
        self._receivers = [split_address(receiver) for receiver in receivers]
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.address = "{}:{}".format(*transport.get_extra_info("sockname"))

    def datagram_received(self, data: bytes, sender: Any) -> None:
        """Forward a datagram."""
        # A forwarded datagram has the source address of the relay, which is no peer of the proxies. They drop
        # all such datagrams, so a run only tests that gossip is sent and dropped.
        for receiver in self._receivers:
            if receiver != sender:
                self._transport.sendto(data, receiver)

    def close(self) -> None:
        """Stop listening."""
        self._transport.close()
