"""Servers and addresses on loopback."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

_assigned_addresses: set[str] = set()


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of `host:port`."""
    host, port = address.split(":")
    return host, int(port)


async def open_server(protocol_factory: Callable[[], asyncio.Protocol]) -> tuple[asyncio.Server, str]:
    """Listen on a free port; return the server and its `host:port`."""
    server = await asyncio.get_running_loop().create_server(protocol_factory, "127.0.0.1", 0)
    return server, "{}:{}".format(*server.sockets[0].getsockname())


def process_host() -> str:
    """Return a loopback address that other processes are unlikely to use.

    On 127.0.0.1, the local end of an outgoing connection could take the port of a restarting proxy.
    """
    pid = os.getpid()
    return f"127.{64 + pid % 64}.{pid // 64 % 256}.1"


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """Return a free `host:port` that this function has not returned before.

    The kernel may offer the same port again while nothing is bound to it.
    """
    while True:
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind((process_host(), 0))
            address = "{}:{}".format(*sock.getsockname())
        if address not in _assigned_addresses:
            _assigned_addresses.add(address)
            return address
