"""The check that a host is an IP address."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Any

import pytest

from dunecove.proxy.addresses import check_ip

HOSTS = [
    "10.1.0.18",
    "::1",
    "fe80::1%eth0",
    "1.2.3",
    "01.2.3.4",
    "1.2.3.4 ",
    "1.2.3.256",
    "host.name",
    "",
    "1.2.3.4\0",
    "\u0661.2.3.4",
    "::ffff:1.2.3.4",
]


@pytest.mark.parametrize("host", HOSTS)
def test_check_ip_accepts_the_same_hosts_as_the_standard_library(host: str) -> None:
    def accepts(check: Any) -> bool:
        try:
            check(host)
        except ValueError:
            return False
        return True

    assert accepts(check_ip) == accepts(ip_address)
