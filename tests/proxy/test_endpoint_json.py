"""The cached list of the configuration; long ones are read in slices."""

from __future__ import annotations

import json
import tracemalloc
from pathlib import Path

import pytest

from dunecove.config import read_config
from dunecove.errors import ConfigurationError
from tests.loopback import make_configuration, make_endpoint_list
from tests.proxy.list_entries import make_entries


def test_long_cached_list_keeps_its_order_and_applies_drains(tmp_path: Path) -> None:
    known = make_endpoint_list(7, *make_entries(900), *make_entries(1, 5, "leaving"), *make_entries(1, 900))
    config = make_configuration("127.0.0.1:9") | {"known": known}
    for indent in (None, 2):
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config, indent=indent))
        cached = read_config({"LB_CONFIG": str(path)}).cached_list
        assert cached.revision == 7 and len(cached.table) == 900 and cached.table.get("s-00000005") is None
        # The id of the drained backend is kept here; it is skipped when the list is fed to the balancer.
        assert cached.backend_ids == [entry["uid"] for entry in make_entries(901)]
    assert len(read_config({"LB_CONFIG": str(path)}, skips_long_list=True).cached_list.backend_ids) < 200
    malformed = config | {
        "known": make_endpoint_list(7, *make_entries(900), {"uid": "odd"}, *make_entries(900, 900))
    }
    path.write_text(json.dumps(malformed))
    with pytest.raises(ConfigurationError, match="endpoint is missing"):
        read_config({"LB_CONFIG": str(path)})


def test_reading_a_long_cached_list_keeps_memory_bounded(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(make_configuration("127.0.0.1:9") | {"known": make_endpoint_list(7, *make_entries(5000))})
    )
    read_config({"LB_CONFIG": str(path)})  # creates all objects that later calls reuse
    tracemalloc.start()
    config = read_config({"LB_CONFIG": str(path)})
    current_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(config.cached_list.table) == 5000
    assert current_bytes / 5000 < 350 and peak_bytes - current_bytes < 2_000_000
