"""A reader of long endpoint lists, in slices between which requests are served."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from dunecove.policy.models import BackendInfo, BackendState
from dunecove.proxy.discovery_errors import malformed_list_errors
from dunecove.proxy.endpoint_json import read_endpoint, read_is_snapshot, read_revision
from dunecove.proxy.endpoint_list import (
    EncodedEndpoint,
    Endpoint,
    EndpointListUpdate,
    decode_endpoint,
    encode_endpoint,
)
from dunecove.proxy.incremental_json import ArraySlices, pop_chunks
from dunecove.proxy.sharded_table import ShardedTable
from dunecove.wire.fields import as_array, as_object
from dunecove.wire.settings import ProxySettings

ENDPOINTS_PER_SLICE = 100  # processed per iteration of the event loop, in 1 or 2 ms
SHARDS_PER_SLICE = 8  # shards of the table copied per iteration of the event loop


class LongListReader:
    """Reads one long list and publishes it as deltas.

    A list takes effect after all of it has been read, except for drains, which take effect at once. Of a
    snapshot, only the differences from the known endpoints are published, so that unchanged endpoints are not
    processed again; known endpoints that it does not contain are published last, as removed.
    """

    def __init__(
        self,
        endpoints: ShardedTable,
        proxy_settings: ProxySettings,
        revision: int,
        on_update: Callable[[EndpointListUpdate], None],
    ) -> None:
        """Create a reader; `endpoints`, now at `revision`, is the table that `on_update` keeps up to date."""
        self._endpoints = endpoints
        self._proxy_settings = proxy_settings
        self._revision = revision
        self._on_update = on_update
        self._unseen = ShardedTable()  # known endpoints not found in the list so far
        self._changes: deque[dict[str, EncodedEndpoint]] = deque()  # new or changed active endpoints

    async def read(self, body_parts: list[bytes | bytearray]) -> int:
        """Read the list and return its revision; empties `body_parts`, raises MalformedInputError."""
        await self._copy_endpoints()
        with malformed_list_errors():
            slices = ArraySlices(pop_chunks(body_parts))
            for entries in slices:
                self._process_slice(entries)
                await asyncio.sleep(0)
            data = as_object(slices.remainder, "endpoint list")
            await self._process_last_entries(data)
            revision = read_revision(data)
            is_snapshot = read_is_snapshot(data)
        await self._publish_changes(revision)
        if is_snapshot:
            await self._publish_removals(revision)
        # Published even if nothing has changed, to report that the service has responded.
        self._on_update(EndpointListUpdate(revision, False, ()))
        return revision

    async def _copy_endpoints(self) -> None:
        for index, shard in enumerate(self._endpoints.shards):
            self._unseen.shards[index] = dict(shard)
            if index % SHARDS_PER_SLICE == 0:
                await asyncio.sleep(0)

    async def _process_last_entries(self, data: dict[str, Any]) -> None:
        entries = as_array(data["targets"], "targets")
        for start in range(0, len(entries), ENDPOINTS_PER_SLICE):
            self._process_slice(entries[start : start + ENDPOINTS_PER_SLICE])
            await asyncio.sleep(0)

    def _process_slice(self, entries: list[Any]) -> None:
        endpoints = [read_endpoint(entry, self._proxy_settings) for entry in entries]
        self._publish_drains(endpoints)
        changes: dict[str, EncodedEndpoint] = {}
        for endpoint in endpoints:
            self._unseen.shard_of(endpoint.backend_id).pop(endpoint.backend_id, None)
            if endpoint.is_active:
                encoded = encode_endpoint(endpoint)
                if self._endpoints.get(endpoint.backend_id) != encoded:
                    changes[endpoint.backend_id] = encoded
        if changes:
            self._changes.append(changes)

    def _publish_drains(self, endpoints: list[Endpoint]) -> None:
        drains = tuple(
            endpoint
            for endpoint in endpoints
            if not endpoint.is_active and self._endpoints.get(endpoint.backend_id) is not None
        )
        if drains:
            self._on_update(EndpointListUpdate(self._revision, False, drains))

    async def _publish_changes(self, revision: int) -> None:
        while self._changes:
            changes = self._changes.popleft()
            await self._publish(revision, (decode_endpoint(*item) for item in changes.items()))

    async def _publish_removals(self, revision: int) -> None:
        shards = self._unseen.shards
        while shards:
            backend_ids = list(shards[-1])[:ENDPOINTS_PER_SLICE]
            if not backend_ids:
                shards.pop()
                continue
            for backend_id in backend_ids:
                del shards[-1][backend_id]
            removed = (BackendInfo(backend_id, BackendState.REMOVED) for backend_id in backend_ids)
            await self._publish(revision, (Endpoint(info.backend_id, "", 0, info) for info in removed))

    async def _publish(self, revision: int, endpoints: Iterable[Endpoint]) -> None:
        self._on_update(EndpointListUpdate(revision, False, tuple(endpoints)))
        # Before the next update is published, the first `sleep` runs the balancer's step with this update,
        # and the second one the callbacks that this step has queued.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
