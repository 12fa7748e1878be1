"""HTTP/1.1 limits and types that both sides of the proxy share."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
CHUNK_FRAMING_FACTOR = 4  # times its size that a body in chunks may take as sent
MAX_LENGTH_DIGITS = 18  # of a content-length that is worth converting

Headers = list[tuple[bytes, bytes]]  # names in lower case
