"""Discovery on loopback: an agent for each proxy that answers the published watch, or falls silent."""

from __future__ import annotations

import asyncio
import re
from typing import Any, cast

import orjson

from soak.http import Message, Stream
from soak.records import Agent, Journal, Told

SINCE = re.compile(rb"since=(\d+)&timeout_ms=(\d+)")


class Registry:
    """All backends with the version in which each has changed."""

    def __init__(self, journal: Journal) -> None:
        self.journal, self.rev = journal, 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        self.agents: list[ProxyAgent] = []
        self.up = True

    def put(self, entry: dict[str, Any]) -> None:
        """A new or changed entry; one that drains or has left counts for the rule from now on."""
        self.rev += 1
        self.entries[entry["uid"]] = entry
        self.changed[entry["uid"]] = self.rev
        if entry["state"] != "active":
            now = asyncio.get_running_loop().time()
            self.journal.drains.setdefault(entry["uid"], now)
        for agent in self.agents:
            agent.tell()

    def listing(self, since: int | None) -> dict[str, Any]:
        """The changes since a version, or the whole list, in which nobody stands who has left."""
        if since is None or since > self.rev:
            entries = [entry for entry in self.entries.values() if entry["state"] != "left"]
            return {"rev": self.rev, "all": True, "targets": entries}
        entries = [self.entries[uid] for uid, rev in self.changed.items() if rev > since]
        return {"rev": self.rev, "all": False, "targets": entries}

    def switch(self, up: bool) -> None:
        """Discovery falls silent for all, or is back."""
        self.up, now = up, asyncio.get_running_loop().time()
        for agent in self.journal.agents.values():
            if up and agent.spans[-1][1] is not None:
                agent.spans.append((now, None))
            elif not up and agent.spans[-1][1] is None:
                agent.spans[-1] = (agent.spans[-1][0], now)
        if up:
            for proxy_agent in self.agents:
                proxy_agent.resume()


class ProxyAgent:
    """The agent on the machine of one proxy."""

    def __init__(self, registry: Registry, proxy: int) -> None:
        self.registry, self.proxy = registry, proxy
        self.calls: set[Call] = set()
        registry.agents.append(self)
        now = asyncio.get_running_loop().time()
        registry.journal.agents.setdefault(proxy, Agent(proxy, [(now, None)]))

    async def open(self) -> ProxyAgent:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Call(self), "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    def tell(self) -> None:
        for call in list(self.calls):
            call.look()

    def resume(self) -> None:
        for call in list(self.calls):
            call.resume()

    def silence(self) -> None:
        """Open watches fall silent for good; new calls are answered."""
        for call in self.calls:
            call.deaf = True

    def close(self) -> None:
        self.server.close()
        for call in list(self.calls):
            call.transport.close()
        if self in self.registry.agents:
            self.registry.agents.remove(self)


class Call(asyncio.Protocol):
    """A connection to an agent, with the one call that waits on it."""

    def __init__(self, agent: ProxyAgent) -> None:
        self.agent, self.stream, self.deaf = agent, Stream(), False
        self.since: int | None = None
        self.waiting = False
        self.timer: asyncio.TimerHandle | None = None
        self.unheard: list[Message] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.agent.calls.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.agent.calls.discard(self)
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        for message in self.stream.feed(data):
            self._ask(message)

    def resume(self) -> None:
        """Discovery is back: what was asked meanwhile is answered now."""
        unheard, self.unheard = self.unheard, []
        for message in unheard:
            self._ask(message)
        self._answer()

    def _ask(self, message: Message) -> None:
        if not self.agent.registry.up:
            self.unheard.append(message)
            return
        found = SINCE.search(message.first)
        self.since, self.waiting = (int(found[1]) if found else None), True
        wait_s = int(found[2]) / 1000 if found else 0.0
        if not self.look():
            self.timer = asyncio.get_running_loop().call_later(wait_s, self._answer)

    def look(self) -> bool:
        """Answer if there is news; whether it has answered."""
        since = self.since
        if not self.waiting or (since is not None and since == self.agent.registry.rev):
            return False
        self._answer()
        return not self.waiting

    def _answer(self) -> None:
        registry = self.agent.registry
        if not self.waiting or self.deaf or not registry.up or self.transport.is_closing():
            return
        if self.timer is not None:
            self.timer.cancel()
        self.waiting = False
        listing = registry.listing(self.since)
        drains = {entry["uid"] for entry in listing["targets"] if entry["state"] != "active"}
        if listing["all"]:
            named = {entry["uid"] for entry in listing["targets"]}
            drains |= {uid for uid in registry.entries if uid not in named}
        now = asyncio.get_running_loop().time()
        registry.journal.told.append(Told(self.agent.proxy, now, tuple(drains)))
        body = orjson.dumps(listing)
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.transport.write(head + body)
