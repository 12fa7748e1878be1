"""Readers of endpoint lists in JSON, from the discovery service or cached in the configuration."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain
from typing import Any

from dunecove.policy.models import BackendInfo
from dunecove.proxy.addresses import check_ip, split_address
from dunecove.proxy.discovery_errors import malformed_list_errors
from dunecove.proxy.endpoint_list import (
    CachedEndpointList,
    Endpoint,
    EndpointListUpdate,
    encode_endpoint,
)
from dunecove.proxy.sharded_table import ShardedTable
from dunecove.wire.endpoint_list import BACKEND_STATES
from dunecove.wire.fields import as_array, as_choice, as_integer, as_number, as_object, as_string
from dunecove.wire.settings import ProxySettings


def _index_of(names: dict[str, int], value: object, key: str) -> int:
    """Return the index of a zone or kind; a name that is not in the settings gets the next index."""
    if value is None:
        return 0
    return value if type(value) is int else names.setdefault(as_string(value, key), len(names))


def read_endpoint(raw: object, proxy_settings: ProxySettings) -> Endpoint:
    """Read one list entry; raises KeyError, ValueError or MalformedInputError."""
    entry = as_object(raw, "targets entry")
    backend_id = as_string(entry["uid"], "uid")
    started_at = entry.get("boot_ms")
    host, port = split_address(as_string(entry["endpoint"], "endpoint"))
    check_ip(host)
    info = BackendInfo(
        backend_id,
        as_choice(BACKEND_STATES, entry["state"], "state"),
        _index_of(proxy_settings.zone_indexes, entry.get("az"), "az"),
        _index_of(proxy_settings.kind_indexes, entry.get("model"), "model"),
        as_integer(entry.get("pod_group") or 0, "pod_group"),
        as_number(started_at, "boot_ms") if started_at else None,
        as_number(entry.get("capacity_hint") or 1, "capacity_hint"),
    )
    return Endpoint(backend_id, host, port, info)


def read_list_update(raw: object, proxy_settings: ProxySettings) -> EndpointListUpdate:
    """Read a list from the discovery service; raises MalformedInputError."""
    with malformed_list_errors():
        data = as_object(raw, "endpoint list")
        endpoints = tuple(
            read_endpoint(entry, proxy_settings) for entry in as_array(data["targets"], "targets")
        )
        return EndpointListUpdate(read_revision(data), read_is_snapshot(data), endpoints)


def read_revision(data: dict[str, Any]) -> int:
    """Read the revision of a list."""
    return as_integer(data["rev"], "rev")


def read_is_snapshot(data: dict[str, Any]) -> bool:
    """Read whether a list is a snapshot rather than a delta."""
    return data["all"] is True


def read_cached_list(
    raw: object, proxy_settings: ProxySettings, slices: Iterable[list[Any]]
) -> CachedEndpointList:
    """Read the cached list of the configuration; raises MalformedInputError.

    `slices` are the first entries of a long list, decoded slice by slice; `raw` has only the later ones.
    """
    with malformed_list_errors():
        data = as_object(raw, "endpoint list")
        table = ShardedTable()
        backend_ids: list[str] = []
        for entries in chain(slices, [as_array(data["targets"], "targets")]):
            for entry in entries:
                endpoint = read_endpoint(entry, proxy_settings)
                shard = table.shard_of(endpoint.backend_id)
                if not endpoint.is_active:
                    shard.pop(endpoint.backend_id, None)
                    continue
                if endpoint.backend_id not in shard:
                    backend_ids.append(endpoint.backend_id)
                shard[endpoint.backend_id] = encode_endpoint(endpoint)
        return CachedEndpointList(read_revision(data), backend_ids, table)
