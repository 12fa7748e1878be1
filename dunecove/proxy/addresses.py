"""Network addresses as the settings and the endpoint list spell them: `host:port` with an IP literal."""

from __future__ import annotations

import socket
from ipaddress import ip_address

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`; raise ValueError if it is not of that form."""
    host, colon, port = address.rpartition(":")
    if not host or not colon or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"not an address: {address!r}")
    return host.strip("[]"), int(port)


def check_ip(host: str) -> None:
    """Raise ValueError unless `host` is an IP address: there is no DNS to look a name up in."""
    try:  # nearly all are IPv4, which the C library checks in a tenth of the time
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        ip_address(host)
