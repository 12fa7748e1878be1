"""Network addresses in the settings and the endpoint list: `host:port`, where host is an IP address."""

from __future__ import annotations

import socket
from ipaddress import ip_address

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of a `host:port` address; raise ValueError if it is invalid."""
    host, colon, port = address.rpartition(":")
    if not host or not colon or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"not a host:port address: {address!r}")
    return host.strip("[]"), int(port)


def check_ip(host: str) -> None:
    """Raise ValueError unless `host` is an IP address; there is no DNS to resolve names."""
    try:  # nearly all hosts are IPv4, which inet_pton checks in a tenth of the time of ip_address
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        ip_address(host)
