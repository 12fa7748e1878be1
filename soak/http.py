"""Incremental parser of well-formed HTTP/1.1 messages with an optional `Content-Length`."""

from __future__ import annotations

from typing import NamedTuple

HEAD_END = b"\r\n\r\n"


class Message(NamedTuple):
    """A complete request or response."""

    start_line: bytes
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes


class MessageReader:
    """Parser of the messages in one direction of a connection."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return the messages that they complete."""
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
