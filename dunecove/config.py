"""The configuration of a proxy, read from the environment and a JSON file."""

from __future__ import annotations

import resource
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from math import inf
from typing import Any

import orjson

from dunecove.errors import ConfigurationError, InvalidFieldError, MalformedInputError, UnreadableFileError
from dunecove.policy.settings import Settings
from dunecove.proxy.addresses import check_ip, split_address
from dunecove.proxy.endpoint_json import read_cached_list
from dunecove.proxy.endpoint_list import CachedEndpointList
from dunecove.proxy.gossip import PeerAddresses
from dunecove.proxy.incremental_json import ArraySlices, read_file
from dunecove.wire.fields import (
    JsonObject,
    as_array,
    as_integer,
    as_number,
    as_object,
    as_string,
    default_if_none,
    required,
)
from dunecove.wire.settings import ProxySettings, read_proxy_settings, read_settings

DISCOVERY_VARIABLE = "LB_DISCOVERY"
DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192
MIN_DESCRIPTORS = 32  # with fewer, hardly any client could be served


@dataclass(frozen=True, slots=True)
class Config:
    """The validated configuration of a proxy."""

    name: str
    listen_address: str
    discovery_address: str
    seed: int
    settings: Settings
    proxy_settings: ProxySettings
    cached_list: CachedEndpointList
    max_descriptors: int
    memory_mb: float  # memory limit of the process (MiB), which is divided in `limits`
    peer_addresses: PeerAddresses | None  # None: no gossip


def read_config(environment: Mapping[str, str], *, skips_long_list: bool = False) -> Config:
    """Return the configuration; raise ConfigurationError if it is invalid or cannot be read.

    If the cached list (`known`) is longer than one slice of `ArraySlices`, the file is read a second time for
    the entries that are in slices, which may raise OSError. With `skips_long_list` these entries are left out
    of `cached_list`, as a running proxy doesn't need them.
    """
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("LB_CONFIG is not set")
    try:
        fields, has_long_list = _read_outline(path)
        slices = ArraySlices(read_file(path), "known") if has_long_list and not skips_long_list else ()
        return _parse(fields, environment, slices)
    except (MalformedInputError, ValueError) as error:
        raise ConfigurationError(f"{path}: {error}") from None


def _read_outline(path: str) -> tuple[JsonObject, bool]:
    """Return the configuration without those cached list entries that are in slices, and if there are any."""
    try:
        outline, has_long_list = ArraySlices(read_file(path), "known").read_remainder()
    except OSError as error:
        raise UnreadableFileError(path, error) from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"{path}: not JSON: {error}") from None
    return as_object(outline, "configuration"), has_long_list


def _parse(fields: JsonObject, environment: Mapping[str, str], slices: Iterable[list[Any]]) -> Config:
    info = as_object(required(fields, "settings"), "settings")
    # `Limits.RetryAfter` applies to the simulator only; over HTTP all clients get Retry-After.
    settings = replace(read_settings(info), sends_retry_after=True)
    proxy_settings = read_proxy_settings(info)
    limits = as_object(fields.get("limits") or {}, "limits")
    config = Config(
        settings=settings,
        proxy_settings=proxy_settings,
        cached_list=read_cached_list(required(fields, "known"), proxy_settings, slices),
        name=environment.get("LB_NAME") or _string(fields, "name"),
        listen_address=environment.get("LB_LISTEN") or _string(fields, "listen"),
        discovery_address=environment.get(DISCOVERY_VARIABLE) or _string(fields, "discovery"),
        seed=_seed(fields),
        max_descriptors=_max_descriptors(limits),
        memory_mb=_memory_mb(limits),
        peer_addresses=_peer_addresses(fields) if settings.may_gossip else None,
    )
    _split_address(config.discovery_address, "discovery")
    _check_ip_address(config.listen_address, "listen")
    return config


def _string(fields: JsonObject, key: str) -> str:
    return as_string(required(fields, key), key)


def _seed(fields: JsonObject) -> int:
    text = _string(fields, "seed")
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidFieldError(f"seed is not an integer in base 16: {text!r}") from None


def _split_address(address: str, key: str) -> tuple[str, int]:
    """Return host and port; raise InvalidFieldError, which names the key of the address."""
    try:
        return split_address(address)
    except ValueError as error:
        raise InvalidFieldError(f"{key}: {error}") from None


def _check_ip_address(address: str, key: str) -> None:
    host, _ = _split_address(address, key)
    try:
        check_ip(host)
    except ValueError as error:
        raise InvalidFieldError(f"{key}: {error}") from None


def _max_descriptors(limits: JsonObject) -> int:
    configured = as_integer(default_if_none(limits, "sockets", DEFAULT_MAX_DESCRIPTORS), "sockets")
    max_descriptors = min(configured, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    if max_descriptors < MIN_DESCRIPTORS:
        raise InvalidFieldError(
            f"the smaller of limits.sockets and the open file limit is {max_descriptors}, "
            f"but must be at least {MIN_DESCRIPTORS}"
        )
    return max_descriptors


def _memory_mb(limits: JsonObject) -> float:
    memory_mb = as_number(default_if_none(limits, "memory_mb", DEFAULT_MEMORY_MB), "memory_mb")
    if not 0 < memory_mb < inf:
        raise InvalidFieldError(f"memory_mb must be above 0 and finite: {memory_mb}")
    return memory_mb


def _peer_addresses(fields: JsonObject) -> PeerAddresses | None:
    """Return the addresses for gossip; None if no peers are configured."""
    if not fields.get("peers"):
        return None
    addresses = PeerAddresses(
        peers=tuple(as_string(address, "peers") for address in as_array(fields["peers"], "peers")),
        listen=_string(fields, "peer_listen"),
        broadcast=_string(fields, "peers_all"),
    )
    _check_ip_address(addresses.listen, "peer_listen")
    _check_ip_address(addresses.broadcast, "peers_all")
    for address in addresses.peers:
        _check_ip_address(address, "peers")
    return addresses
