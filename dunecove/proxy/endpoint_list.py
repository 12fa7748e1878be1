"""Endpoints: backends and their addresses, and the compact encoding in which they are stored."""

from __future__ import annotations

from marshal import dumps, loads
from typing import NamedTuple

from dunecove.policy.models import BackendInfo, BackendState
from dunecove.proxy.sharded_table import ShardedTable

# Indexes in the tuple that `encode_endpoint` serialises.
ZONE_INDEX = 2
CELL_INDEX = 4
MARSHAL_VERSION = 2  # the last version without references, so that equal endpoints have equal encodings

# The stored form of an active endpoint: compact, and not traversed by the garbage collector.
EncodedEndpoint = bytes


class Endpoint(NamedTuple):
    """A backend and the address that it listens on."""

    backend_id: str
    host: str
    port: int
    info: BackendInfo

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self.host, self.port

    @property
    def is_active(self) -> bool:
        """Whether requests may be forwarded to the backend."""
        return self.info.state is BackendState.ACTIVE


class EndpointListUpdate(NamedTuple):
    """A snapshot of the list, or a delta with the endpoints that have changed."""

    revision: int
    is_snapshot: bool
    endpoints: tuple[Endpoint, ...]


class CachedEndpointList(NamedTuple):
    """The active endpoints known before the proxy started, and their ids in the order of the list."""

    revision: int
    backend_ids: list[str]
    table: ShardedTable


def encode_endpoint(endpoint: Endpoint) -> EncodedEndpoint:
    """Encode an active endpoint without its id and state."""
    return dumps((endpoint.host.encode(), endpoint.port, *endpoint.info[2:]), MARSHAL_VERSION)


def decode_endpoint(backend_id: str, encoded: EncodedEndpoint) -> Endpoint:
    """Decode the result of `encode_endpoint`."""
    host, port, *info_fields = loads(encoded)
    return Endpoint(
        backend_id, host.decode(), port, BackendInfo(backend_id, BackendState.ACTIVE, *info_fields)
    )


def decode_location(encoded: EncodedEndpoint) -> tuple[int, int]:
    """Decode only zone and cell."""
    fields = loads(encoded)
    return fields[ZONE_INDEX], fields[CELL_INDEX]
