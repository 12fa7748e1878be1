"""HTTP/1.1 limits and types for both the client and the backend side of the proxy."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100  # of one message, so that many short ones don't take many times their size in memory
CHUNK_FRAMING_FACTOR = 4  # maximum size of a chunked body on the wire, as a multiple of the maximum body size
MAX_LENGTH_DIGITS = 18  # of a content-length; a longer one is rejected without conversion

# Memory of the objects that hold a parsed message and one of its headers, besides their text.
MESSAGE_OVERHEAD_BYTES = 600
HEADER_OVERHEAD_BYTES = 130

Headers = list[tuple[bytes, bytes]]  # names and values; names in lower case
