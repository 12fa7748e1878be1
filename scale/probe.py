"""A child process that asks `GET /health/ready` about every millisecond. For each line on standard input it
prints, as JSON, the longest time in ms from one answer to the next since the line before, and the answers."""

from __future__ import annotations

import json
import select
import socket
import sys
import time

REQUEST = b"GET /health/ready HTTP/1.1\r\nhost: backend.local\r\n\r\n"
PAUSE_S = 0.001


def main(address: str) -> None:
    host, port = address.rsplit(":", 1)
    sock: socket.socket | None = None
    last, longest, answers = time.monotonic(), 0.0, 0
    while True:
        try:
            if sock is None:
                sock = socket.create_connection((host, int(port)))
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(REQUEST)
            answer = sock.recv(4096)
        except OSError:
            answer = b""
        if not answer:  # closed: anew
            if sock is not None:
                sock.close()
            sock = None
            time.sleep(PAUSE_S)
            continue
        now = time.monotonic()
        last, longest, answers = now, max(longest, now - last), answers + 1
        if select.select([0], [], [], PAUSE_S)[0]:
            if not sys.stdin.readline():
                return
            print(json.dumps([longest * 1000, answers]), flush=True)
            last, longest, answers = time.monotonic(), 0.0, 0


if __name__ == "__main__":
    main(sys.argv[1])
