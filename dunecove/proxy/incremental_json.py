"""Incremental decoding of long endpoint lists in JSON.

Decoding a long list in one call would delay requests and fill memory with objects.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import orjson

SLICE_BYTES = 16 * 1024  # minimum JSON text decoded per slice, about 100 entries
FILE_READ_BYTES = 64 * 1024
MAX_PREFIX_BYTES = 1024 * 1024  # a document whose array starts later is decoded in one call
# Consecutive positions tried as the end of a slice: some are inside an entry that holds objects. After these,
# the length of the slice is at least doubled for each further try, so that the number of tries grows with the
# logarithm of the text's length.
MAX_CONSECUTIVE_CUTS = 16
ARRAY_MEMBER = "targets"
_ARRAY_START = re.compile(rb'"targets"\s*:\s*\[')
_ENTRY_END = re.compile(rb"\}\s*,")


def read_file(path: str) -> Iterator[bytes]:
    """Yield a file in chunks; opening it, at the first chunk, raises OSError as `open` does."""
    with open(path, "rb") as file:
        while chunk := file.read(FILE_READ_BYTES):
            yield chunk


def pop_chunks(chunks: list[bytes | bytearray]) -> Iterator[bytes | bytearray]:
    """Yield the chunks in order and remove each from the list, so that it is freed after use."""
    chunks.reverse()
    while chunks:
        yield chunks.pop()


class ArraySlices:
    """Iterates once over the entries of an array in JSON text, one slice at a time.

    The array is the member `targets` of the object at `path`. After the iteration, `remainder` is the decoded
    document, whose array has only those entries that were in no slice. Iterating raises
    `orjson.JSONDecodeError`, a ValueError, if the text is not JSON.
    """

    def __init__(self, chunks: Iterator[bytes | bytearray], *path: str) -> None:
        self.remainder: Any = None
        self._chunks = chunks
        self._path = path

    def __iter__(self) -> Iterator[list[Any]]:
        text = bytearray()
        prefix = self._read_prefix(text)
        if not _is_before_array(prefix, self._path):  # unknown layout, decoded in one call
            self.remainder = orjson.loads(text + b"".join(self._chunks))
            return
        del text[: len(prefix)]
        while (entries := self._next_slice(text)) is not None:
            yield entries
        self.remainder = orjson.loads(prefix + text)

    def read_remainder(self) -> tuple[Any, bool]:
        """Skip all slices; return `remainder` and whether there was any slice."""
        has_slices = False
        for _ in self:
            has_slices = True
        return self.remainder, has_slices

    def _read_prefix(self, text: bytearray) -> bytes:
        """Read into `text` until the array starts; return all up to its bracket, b"" if there is no array."""
        while (start := _ARRAY_START.search(text)) is None and len(text) < MAX_PREFIX_BYTES:
            chunk = next(self._chunks, b"")
            if not chunk:
                return b""
            text += chunk
        return bytes(text[: start.end()]) if start else b""

    def _next_slice(self, text: bytearray) -> list[Any] | None:
        """Remove the next entries from `text` and return them; None if no more can be cut off.

        More text is read as needed. It is cut between a closing brace and a comma. If that is inside an entry
        or a string, decoding fails, since the brace of the entry is still open; then a later such position is
        tried.
        """
        min_bytes = SLICE_BYTES
        failed_cuts = 0
        while True:
            cut = _ENTRY_END.search(text, min_bytes)
            if cut is None:
                chunk = next(self._chunks, b"")
                if not chunk:
                    return None
                text += chunk
                continue
            try:
                entries: list[Any] = orjson.loads(b"[" + text[: cut.start() + 1] + b"]")
            except orjson.JSONDecodeError:
                failed_cuts += 1
                min_bytes = cut.end() if failed_cuts < MAX_CONSECUTIVE_CUTS else 2 * cut.end()
                continue
            del text[: cut.end()]
            return entries


def _is_before_array(prefix: bytes, path: tuple[str, ...]) -> bool:
    """Return whether `prefix` ends with the opening bracket of the `targets` of the object at `path`.

    `prefix` may instead end in a string or at a member `targets` of another object.
    """
    try:
        data = orjson.loads(prefix + b"]" + b"}" * (len(path) + 1))
    except orjson.JSONDecodeError:
        return False
    for member in path:
        data = data.get(member) if isinstance(data, dict) else None
    return isinstance(data, dict) and data.get(ARRAY_MEMBER) == []
