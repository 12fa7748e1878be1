"""Discovery on loopback: one agent per proxy, which answers watch requests or is made unresponsive."""

from __future__ import annotations

import asyncio
import re
from typing import Any, cast

import orjson

from soak.http import Message, MessageReader
from soak.loopback import open_server
from soak.records import ListNotification, ReachableSpan, RunRecord

WATCH_QUERY = re.compile(rb"since=(\d+)&timeout_ms=(\d+)")
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"


class DiscoveryState:
    """The endpoint list, with the revision of each backend's last change."""

    def __init__(self, record: RunRecord) -> None:
        self.record = record
        self.revision = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.agents: list[DiscoveryAgent] = []
        self.is_up = True
        self._changed_revisions: dict[str, int] = {}  # revision of the last change, by backend

    def publish(self, entry: dict[str, Any]) -> None:
        """Publish a new or changed entry; record when a backend first drains or is removed."""
        self.revision += 1
        backend_id = entry["uid"]
        self.entries[backend_id] = entry
        self._changed_revisions[backend_id] = self.revision
        if entry["state"] != "active":
            self.record.drained_at.setdefault(backend_id, asyncio.get_running_loop().time())
        for agent in self.agents:
            agent.notify()

    def endpoint_list(self, since: int | None) -> dict[str, Any]:
        """Return the delta since a revision, or a snapshot without the removed backends.

        The result is a snapshot if `since` is None or newer than the current revision.
        """
        if since is None or since > self.revision:
            entries = [entry for entry in self.entries.values() if entry["state"] != "left"]
            return {"rev": self.revision, "all": True, "targets": entries}
        changed = [self.entries[uid] for uid, revision in self._changed_revisions.items() if revision > since]
        return {"rev": self.revision, "all": False, "targets": changed}

    def suspend(self) -> None:
        """Stop responding to all proxies."""
        self.is_up = False
        now = asyncio.get_running_loop().time()
        for spans in self.record.reachable.values():
            if spans[-1].ended_at is None:
                spans[-1].ended_at = now

    def resume(self) -> None:
        """Respond again, also to the requests that arrived meanwhile."""
        self.is_up = True
        now = asyncio.get_running_loop().time()
        for spans in self.record.reachable.values():
            if spans[-1].ended_at is not None:
                spans.append(ReachableSpan(now))
        for agent in self.agents:
            agent.resume()


class DiscoveryAgent:
    """The discovery agent on one proxy's machine.

    Call `open` before use.
    """

    def __init__(self, state: DiscoveryState, proxy: int) -> None:
        self.state = state
        self.proxy = proxy
        self.connections: set[AgentConnection] = set()
        self.address = ""
        state.agents.append(self)
        now = asyncio.get_running_loop().time()
        state.record.reachable.setdefault(proxy, [ReachableSpan(now)])

    async def open(self) -> DiscoveryAgent:
        """Start to listen and return the agent."""
        self._server, self.address = await open_server(lambda: AgentConnection(self))
        return self

    def notify(self) -> None:
        """Respond to the open watches if there is a new revision."""
        for connection in list(self.connections):
            connection.respond_if_changed()

    def resume(self) -> None:
        """Respond to the requests that arrived while discovery was down."""
        for connection in list(self.connections):
            connection.resume()

    def abandon_watches(self) -> None:
        """Never respond on the current connections; new connections get responses."""
        for connection in self.connections:
            connection.is_abandoned = True

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    def close(self) -> None:
        """Stop listening, close all connections and remove the agent from the discovery state."""
        self._server.close()
        for connection in list(self.connections):
            connection.close()
        if self in self.state.agents:
            self.state.agents.remove(self)


class AgentConnection(asyncio.Protocol):
    """A connection to an agent, with at most one pending request."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        self.is_abandoned = False
        self._agent = agent
        self._reader = MessageReader()
        self._since: int | None = None  # revision in the last request; None asks for a snapshot
        self._request_pending = False
        self._timer: asyncio.TimerHandle | None = None
        self._queued_requests: list[Message] = []  # received while discovery was down

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the agent."""
        self._transport = cast(asyncio.Transport, transport)
        self._agent.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the pending request."""
        self._agent.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def close(self) -> None:
        """Close after pending writes."""
        self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Handle each complete request."""
        for message in self._reader.feed(data):
            self._handle_request(message)

    def resume(self) -> None:
        """Handle the requests that arrived while discovery was down, and respond to the pending one."""
        requests, self._queued_requests = self._queued_requests, []
        for message in requests:
            self._handle_request(message)
        self._respond()

    def _handle_request(self, message: Message) -> None:
        if not self._agent.state.is_up:
            self._queued_requests.append(message)
            return
        query = WATCH_QUERY.search(message.start_line)
        self._since = int(query[1]) if query else None
        self._request_pending = True
        wait_s = int(query[2]) / 1000 if query else 0.0
        if not self.respond_if_changed():
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._respond)

    def respond_if_changed(self) -> bool:
        """Respond to the pending request if its revision is not the latest; return whether that was done."""
        if not self._request_pending or self._since == self._agent.state.revision:
            return False
        self._respond()
        return not self._request_pending

    def _respond(self) -> None:
        state = self._agent.state
        if not self._request_pending or self.is_abandoned or not state.is_up or self._transport.is_closing():
            return
        if self._timer is not None:
            self._timer.cancel()
        self._request_pending = False
        endpoint_list = state.endpoint_list(self._since)
        self._record_notification(endpoint_list)
        body = orjson.dumps(endpoint_list)
        self._transport.write(RESPONSE_HEAD % len(body) + body)

    def _record_notification(self, endpoint_list: dict[str, Any]) -> None:
        ended = {entry["uid"] for entry in endpoint_list["targets"] if entry["state"] != "active"}
        if endpoint_list["all"]:
            listed = {entry["uid"] for entry in endpoint_list["targets"]}
            ended |= self._agent.state.entries.keys() - listed
        now = asyncio.get_running_loop().time()
        notification = ListNotification(self._agent.proxy, now, tuple(ended))
        self._agent.state.record.notifications.append(notification)
