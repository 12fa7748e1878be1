"""Datagrams between the proxies of a tier: short, unanswered, and perhaps lost on the way."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

from dunecove.proxy.addresses import split_address

MAX_DATAGRAM = 256  # bytes; a longer one is not allowed
READ_AT_ONCE = 64  # datagrams a turn: requests must not wait for a flood of them


class Tier(NamedTuple):
    """The addresses that the platform gives a proxy for its own tier."""

    listen: str
    peers: tuple[str, ...]  # by number, this proxy's own among them
    everyone: str


class Peers:
    """One socket. Raises OSError if the address to listen on is not to be had."""

    def __init__(self, tier: Tier, on_message: Callable[[int, bytes], None]) -> None:
        self.on_message = on_message
        self.numbers = {split_address(address): number for number, address in enumerate(tier.peers)}
        self.own, self.everyone = split_address(tier.listen), split_address(tier.everyone)
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket(
            socket.AF_INET6 if ":" in self.own[0] else socket.AF_INET, socket.SOCK_DGRAM
        )
        try:
            self.sock.setblocking(False)
            self.sock.bind(self.own)
        except OSError:
            self.sock.close()
            raise
        self.loop.add_reader(self.sock.fileno(), self._read)

    def tell(self, data: bytes) -> None:
        if len(data) > MAX_DATAGRAM:
            raise ValueError(f"a datagram of {len(data)} bytes is too long")
        try:
            self.sock.sendto(data, self.everyone)
        except OSError:
            return  # full, or no way there: as good as lost on the way, which all must bear anyhow

    def _read(self) -> None:
        for _ in range(READ_AT_ONCE):
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM + 1)
            except OSError:  # nothing more, or word of one of ours that did not arrive
                return
            number = self.numbers.get(sender[:2])
            # From nobody of the tier, from this proxy itself, or longer than any of them sends.
            if number is not None and sender[:2] != self.own and len(data) <= MAX_DATAGRAM:
                self.on_message(number, data)

    def close(self) -> None:
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
