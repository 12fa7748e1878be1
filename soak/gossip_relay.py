"""The address for every proxy of the deployment: what comes there goes to all of them."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from soak.loopback import split_address


class GossipRelay(asyncio.DatagramProtocol):
    """Sends each datagram on to all proxies but its sender. `open` before use."""

    def __init__(self) -> None:
        self.address = ""
        self._receivers: list[tuple[str, int]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    async def open(self, receivers: list[str]) -> None:
        """Listen, for proxies at these `host:port`."""
        self._receivers = [split_address(receiver) for receiver in receivers]
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.address = "{}:{}".format(*transport.get_extra_info("sockname"))

    def datagram_received(self, data: bytes, sender: Any) -> None:
        """Send a datagram on."""
        # As from the sender's own address: the proxies know one another by it.
        for receiver in self._receivers:
            if receiver != sender:
                self._transport.sendto(data, receiver)

    def close(self) -> None:
        """Stop listening."""
        self._transport.close()
