"""Just enough HTTP/1.1 to read well-formed messages with a `Content-Length`, as they come."""

from __future__ import annotations

from typing import NamedTuple

HEAD_END = b"\r\n\r\n"


class Message(NamedTuple):
    """A whole request or response."""

    start_line: bytes
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes


class MessageReader:
    """Cuts the bytes of one direction of a connection into messages."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Message]:
        """Add bytes; return the messages that are whole by now."""
        self._buffer += data
        messages = []
        while (message := self._next()) is not None:
            messages.append(message)
        return messages

    def _next(self) -> Message | None:
        head, found, rest = self._buffer.partition(HEAD_END)
        if not found:
            return None
        start_line, *lines = head.split(b"\r\n")
        pairs = (line.split(b":", 1) for line in lines)
        headers = {name.lower(): value.strip() for name, value in pairs}
        length = int(headers.get(b"content-length", 0))
        if len(rest) < length:
            return None
        self._buffer = rest[length:]
        return Message(start_line, headers, rest[:length])
