"""Clients on the published protocol."""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass, field

from common.parties import read_message
from common.platform import Record


def new_id() -> str:
    """Return a new request id, or a new idempotency key."""
    return os.urandom(8).hex()


@dataclass
class Request:
    """One request and what became of it. Times are those of `time.monotonic`."""

    class_name: str
    budget_ms: int
    body: bytes = b""
    extra_headers: bytes = b""  # complete lines
    request_id: str = field(default_factory=new_id)
    sent_at: float = 0.0
    answered_at: float | None = None
    status: int = 0
    answer: bytes = b""

    def encode(self) -> bytes:
        """Return the request as it is sent; `ficha` is a GET, `cuota` has an idempotency key."""
        method = "GET" if self.class_name == "ficha" else "POST"
        lines = [
            f"{method} /{self.class_name} HTTP/1.1",
            "Host: backend.local",
            f"X-Call-Id: {self.request_id}",
            "X-Caller: ayuda-norte",
            f"X-Budget-Ms: {self.budget_ms}",
        ]
        if self.class_name == "cuota":
            lines.append(f"Idempotency-Key: {new_id()}{new_id()}")
        if method == "POST":
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n" + self.extra_headers + b"\r\n" + self.body

    def describe(self) -> str:
        """Return class, id and budget as a text."""
        return f"{self.class_name} {self.request_id} ({self.budget_ms} ms)"


class Connection:
    """A client's connection to a proxy."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self._record = record
        self._address = address

    async def open(self) -> None:
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection(*self._address)

    def send(self, requests: list[Request]) -> None:
        """Send requests with one write."""
        for request in requests:
            request.sent_at = time.monotonic()
            self._record.write(f"sent {request.describe()}")
        self._writer.write(b"".join(request.encode() for request in requests))

    async def read_answer(self, request: Request) -> None:
        """Read the answer to the oldest request without one; raise OSError if the connection ends."""
        try:
            message = await read_message(self._reader)
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("the connection has ended") from error
        request.answered_at = time.monotonic()
        request.status = int(message.start_line.split()[1])
        request.answer = message.body
        elapsed_ms = (request.answered_at - request.sent_at) * 1000
        self._record.write(f"answered {request.describe()}: {request.status} after {elapsed_ms:.0f} ms")

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
