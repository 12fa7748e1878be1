"""Just enough HTTP/1.1 to read well-formed messages with a `Content-Length`, as they come."""

from __future__ import annotations

from typing import NamedTuple

END = b"\r\n\r\n"


class Message(NamedTuple):
    first: bytes  # the request or status line
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes


class Stream:
    """Bytes of one direction of a connection, cut into messages."""

    def __init__(self) -> None:
        self.data = b""

    def feed(self, data: bytes) -> list[Message]:
        self.data += data
        messages = []
        while (message := self._next()) is not None:
            messages.append(message)
        return messages

    def _next(self) -> Message | None:
        head, separator, rest = self.data.partition(END)
        if not separator:
            return None
        first, *lines = head.split(b"\r\n")
        pairs = (line.split(b":", 1) for line in lines)
        headers = {name.lower(): value.strip() for name, value in pairs}
        length = int(headers.get(b"content-length", 0))
        if len(rest) < length:
            return None
        self.data = rest[length:]
        return Message(first, headers, rest[:length])
