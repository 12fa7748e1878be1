"""Long lists as JSON, read piece by piece: decoded at once, one would hold up requests and fill memory."""

from __future__ import annotations

import re
from collections.abc import Generator, Iterator
from typing import Any

import orjson

PIECE_BYTES = 16 * 1024  # of the text, decoded at once: some 100 entries
PART_BYTES = 64 * 1024  # of a file, read at once
HEAD_MOST = 1024 * 1024  # within which the array begins
NEXT_CUTS = 16  # cuts tried one by one, where entries hold objects; then each time twice as much
ARRAY = re.compile(rb'"targets"\s*:\s*\[')
CUT = re.compile(rb"\}\s*,")


def read(path: str) -> Iterator[bytes]:
    with open(path, "rb") as file:
        while part := file.read(PART_BYTES):
            yield part


def without(reading: Generator[list[Any], None, Any]) -> tuple[Any, bool]:
    """All but the entries that come in pieces, and whether there are such."""
    some = False
    while True:
        try:
            next(reading)
        except StopIteration as end:
            return end.value, some
        some = True


def consumed(parts: list[bytes | bytearray]) -> Iterator[bytes | bytearray]:
    """Each is freed once it has been read."""
    parts.reverse()
    while parts:
        yield parts.pop()


def in_pieces(parts: Iterator[bytes | bytearray], *path: str) -> Generator[list[Any], None, Any]:
    """Yields entries of the array `targets`, which is a member of the object at `path`, as they come. Returns
    all else, decoded, with the entries not yielded in their place; ValueError if it is not JSON.

    The text is cut where a brace closes and a comma follows. A piece that ends inside an entry, or in a
    string, never decodes, since the entry's own brace is open still; then it goes on to the next cut.
    """
    text = bytearray()
    while (start := ARRAY.search(text)) is None and len(text) < HEAD_MOST and (part := next(parts, b"")):
        text += part
    head = bytes(text[: start.end()]) if start else b""
    if not leads_to(head, path):  # nothing that we know how to cut
        return orjson.loads(text + b"".join(parts))
    del text[: len(head)]
    size, tries = PIECE_BYTES, 0
    while True:
        cut = CUT.search(text, size)
        if cut is None:
            if part := next(parts, b""):
                text += part
                continue
            return orjson.loads(head + text)
        try:
            entries = orjson.loads(b"[" + text[: cut.start() + 1] + b"]")
        except orjson.JSONDecodeError:
            tries += 1
            size = cut.end() if tries < NEXT_CUTS else 2 * cut.end()
            continue
        del text[: cut.end()]
        size, tries = PIECE_BYTES, 0
        yield entries


def leads_to(head: bytes, path: tuple[str, ...]) -> bool:
    """Whether the text up to the bracket is that before the array, not before one of the same name elsewhere
    or in a string."""
    try:
        data = orjson.loads(head + b"]" + b"}" * (len(path) + 1))
    except orjson.JSONDecodeError:
        return False
    for member in path:
        data = data.get(member) if isinstance(data, dict) else None
    return isinstance(data, dict) and data.get("targets") == []
