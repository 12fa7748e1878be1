"""HTTP/1.1 limits and types that both sides of the proxy share."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024

Headers = list[tuple[bytes, bytes]]  # names in lower case
