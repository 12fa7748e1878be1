"""Incremental decoding of long lists, compared with decoding in one call."""

from __future__ import annotations

import json
from itertools import count
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dunecove.proxy import incremental_json
from dunecove.proxy.incremental_json import ArraySlices, pop_chunks

TEXT = st.text(alphabet='ab{}[],:"\\ \n', max_size=8)


JSON = st.recursive(
    st.none() | st.integers(-9, 9) | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=6,
)


TARGETS = st.lists(st.dictionaries(TEXT, JSON, max_size=3), max_size=40)


LISTS = st.builds(
    lambda before, targets, after: before | {"targets": targets} | after,
    st.dictionaries(st.sampled_from(["rev", "all", "x"]), JSON, max_size=2),
    TARGETS,
    st.dictionaries(st.sampled_from(["rev", "more"]), JSON | TARGETS, max_size=2),
)


def read(text: bytes, chunk_bytes: int, *path: str) -> tuple[list[Any], Any]:
    slices = ArraySlices(
        pop_chunks([text[start : start + chunk_bytes] for start in range(0, len(text), chunk_bytes)]), *path
    )
    entries = [entry for decoded in slices for entry in decoded]
    return entries, slices.remainder


@settings(max_examples=300, derandomize=True, deadline=None)
@given(LISTS, st.integers(1, 60), st.sampled_from([None, 1]), st.sampled_from([(), ("known",)]))
def test_slices_and_remainder_make_up_the_document(
    data: dict[str, Any], size: int, indent: int | None, path: tuple[str, ...]
) -> None:
    text = json.dumps({"a": {"targets": [1]}, "known": data} if path else data, indent=indent).encode()
    old = incremental_json.SLICE_BYTES
    incremental_json.SLICE_BYTES = size
    try:
        entries, remainder = read(text, size, *path)
    finally:
        incremental_json.SLICE_BYTES = old
    inner = remainder["known"] if path else remainder
    inner["targets"] = entries + inner["targets"]
    assert remainder == orjson.loads(text)


@pytest.mark.parametrize(
    "malformed", [b"", b"{", b'{"targets":[{}', b'{"targets":[{},]}', b'{"targets":[{}]]}']
)
def test_invalid_json_raises_value_error(malformed: bytes) -> None:
    for text in (malformed, malformed.replace(b"[", b"[" + b'{"uid":"s"},' * 4000)):
        with pytest.raises(ValueError):
            read(text, 1000)


def test_invalid_entry_in_a_long_list_is_detected_with_few_decoding_tries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tries = count()
    loads = orjson.loads
    monkeypatch.setattr(orjson, "loads", lambda text: (next(tries), loads(text))[1])
    with pytest.raises(ValueError):
        read(b'{"targets":[{"uid":"s"},{"uid"}' + b',{"uid":"s"}' * 40_000 + b"]}", 65536)
    assert next(tries) < 50
