"""A child process that requests `GET /health/ready` about once per millisecond.

Usage: `python -m scale.readiness_probe ADDRESS`. For each line on standard input it prints a JSON line with
the longest time (ms) between two responses and the number of responses since the previous line.
"""

from __future__ import annotations

import json
import select
import socket
import sys
import time

REQUEST = b"GET /health/ready HTTP/1.1\r\nhost: backend.local\r\n\r\n"
PAUSE_S = 0.001


class ReadinessClient:
    """A client that reconnects whenever the proxy has closed the connection."""

    def __init__(self, host: str, port: int) -> None:
        self._address = host, port
        self._socket: socket.socket | None = None

    def probe(self) -> bool:
        """Send a request and return whether a response was received."""
        try:
            if self._socket is None:
                self._socket = socket.create_connection(self._address)
                self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._socket.sendall(REQUEST)
            response = self._socket.recv(4096)
        except OSError:
            response = b""
        if not response and self._socket is not None:
            self._socket.close()
            self._socket = None
        return bool(response)


def main(address: str) -> None:
    """Probe the `host:port` address until standard input ends."""
    host, port = address.rsplit(":", 1)
    client = ReadinessClient(host, int(port))
    last_response = time.monotonic()
    longest_s = 0.0
    responses = 0
    while True:
        if not client.probe():
            time.sleep(PAUSE_S)
            continue
        now = time.monotonic()
        longest_s = max(longest_s, now - last_response)
        last_response = now
        responses += 1
        if select.select([0], [], [], PAUSE_S)[0]:
            if not sys.stdin.readline():
                return
            print(json.dumps([longest_s * 1000, responses]), flush=True)
            last_response = time.monotonic()
            longest_s = 0.0
            responses = 0


if __name__ == "__main__":
    main(sys.argv[1])
