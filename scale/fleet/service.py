"""The list service with no sockets: the published protocol as bytes, over lines that can be cut."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from contextvars import copy_context
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from scale.fleet.account import ACCOUNT, Account, Series
from scale.fleet.clock import VirtualLoop

PATH = "/registry/instances"
WAIT_MOST_MS = 60_000  # the longest watch that the protocol allows
WAY_S = 0.001  # s from a proxy to the service or back
LINE_BYTES_S = 125_000_000  # bytes a second on one proxy's line: a gigabit
CHUNK = 64 * 1024  # bytes that one read of a socket brings
KEEP_LEAST = 1000  # changed entries that are kept for watches, or half of the list if that is more
NO_SOCKET = socket.socket()  # never connected; list code that ends its sending asks for one


class Change(NamedTuple):
    uid: str
    entry: bytes  # its line of the list, as JSON
    left: bool  # it is no longer listed


class ListService:
    """Versions of one list; answers to the same question share their bytes.

    A watch asks for what is newer than a version and is answered with the changed entries, or with the whole
    list where that version is older than the changes kept.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.rev = loop, 1
        self.cut: set[int] = set()  # regions whose lines are silent
        self.entries: dict[str, bytes] = {}
        self.versions: list[float] = [loop.time()]  # when each came, the first at place 0
        self.calls, self.bytes, self.wholes = Series(), Series(), 0
        self._changes: deque[tuple[int, tuple[Change, ...]]] = deque()
        self._kept, self._oldest = 0, 1  # entries kept; the oldest version with all changes since
        self._waiting: dict[Session, asyncio.TimerHandle] = {}
        self._whole = b""
        self._deltas: dict[int, bytes] = {}

    def publish(self, changes: list[Change]) -> int:
        """One new version with these changes; open watches are answered. Returns the version."""
        self.rev += 1
        self.versions.append(self.loop.time())
        self._whole, self._deltas = b"", {}
        for change in changes:
            if change.left:
                self.entries.pop(change.uid, None)
            else:
                self.entries[change.uid] = change.entry
        self._changes.append((self.rev, tuple(changes)))
        self._kept += len(changes)
        while self._changes and self._kept > max(KEEP_LEAST, len(self.entries) // 2):
            self._drop_oldest()
        waiting, self._waiting = self._waiting, {}
        for session, timer in waiting.items():
            timer.cancel()
            session.reply(self.delta(session.since), self.rev)
        return self.rev

    def forget(self) -> None:
        """Keep no changes: every version but the last is too old for a watch."""
        while self._changes:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        rev, changes = self._changes.popleft()
        self._oldest, self._kept = rev, self._kept - len(changes)

    def whole(self) -> bytes:
        if not self._whole:
            self._whole = self._body(True, self.entries.values())
        return self._whole

    def delta(self, since: int) -> bytes:
        if not self._oldest <= since <= self.rev:
            self.wholes += 1
            return self.whole()
        if since not in self._deltas:
            latest: dict[str, bytes] = {}
            for rev, changes in self._changes:
                if rev > since:
                    latest |= {change.uid: change.entry for change in changes}
            self._deltas[since] = self._body(False, latest.values())
        return self._deltas[since]

    def _body(self, whole: bool, entries: Any) -> bytes:
        head = b'{"rev":%d,"all":%b,"targets":[' % (self.rev, b"true" if whole else b"false")
        return head + b",".join(entries) + b"]}"

    def ask(self, session: Session, since: int | None, wait_ms: int) -> None:
        self.calls.add(self.loop.second(), 1)
        if since is None:
            self.wholes += 1
            session.reply(self.whole(), self.rev)
        elif since != self.rev:
            session.reply(self.delta(since), self.rev)
        else:
            session.since = since
            wait_s = min(wait_ms, WAIT_MOST_MS) / 1000
            self._waiting[session] = self.loop.call_later(wait_s, self._nothing_new, session)

    def _nothing_new(self, session: Session) -> None:
        del self._waiting[session]
        session.reply(self.delta(session.since), self.rev)

    def hung_up(self, session: Session) -> None:
        timer = self._waiting.pop(session, None)
        if timer is not None:
            timer.cancel()


class Door:
    """The service as one region reaches it: what crosses a cut is lost, and connecting hangs."""

    def __init__(self, service: ListService, region: int) -> None:
        self.service, self.region = service, region

    def silent(self) -> bool:
        return self.region in self.service.cut

    async def accept(self, protocol: asyncio.Protocol) -> asyncio.Transport:
        loop = self.service.loop
        await asyncio.sleep(2 * WAY_S)
        if self.silent():
            await loop.create_future()
        session = Session(self, protocol)
        protocol.connection_made(session.line)
        return session.line


class Line(asyncio.Transport):
    """The proxy's end of a connection."""

    def __init__(self, session: Session) -> None:
        super().__init__({"socket": NO_SOCKET})
        self.session, self.closing = session, False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.session.count(len(data))
        if not self.session.door.silent():
            loop = self.session.loop
            loop.call_later(WAY_S, self.session.feed, bytes(data), context=self.session.world)

    def pause_reading(self) -> None:
        """Pieces come by the clock, whoever reads; a pause of a turn of the loop changes nothing."""

    def resume_reading(self) -> None:
        """See `pause_reading`."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """A write leaves whole."""

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.session.loop.call_soon(self.session.protocol.connection_lost, None)
            # Also across a cut: the service would hold the watch of a proxy that is gone until its time.
            self.session.loop.call_later(WAY_S, self.session.end, context=self.session.world)


class Session:
    """The service's end of a connection, one call at a time."""

    def __init__(self, door: Door, protocol: asyncio.Protocol) -> None:
        self.door, self.protocol = door, protocol
        self.service, self.loop = door.service, door.service.loop
        self.account: Account | None = ACCOUNT.get()
        self.proxy, self.world = copy_context(), copy_context()
        self.world.run(ACCOUNT.set, None)
        self.line, self.since, self._buffer = Line(self), 0, b""

    def count(self, size: int) -> None:
        self.service.bytes.add(self.loop.second(), size)
        if self.account is not None:
            self.account.bytes.add(self.loop.second(), size)

    def feed(self, data: bytes) -> None:
        self._buffer += data
        head, end, rest = self._buffer.partition(b"\r\n\r\n")
        if not end or self.line.closing:
            return
        self._buffer = rest
        method, target, _ = head.split(b"\r\n")[0].decode().split(" ")
        url = urlsplit(target)
        query = parse_qs(url.query)
        if method != "GET" or url.path != PATH:
            self.reply(b"", None, b"404 Not Found")
            return
        try:
            since = int(query["since"][0]) if "since" in query else None
            wait_ms = int(query["timeout_ms"][0]) if "timeout_ms" in query else 0
        except ValueError:
            self.reply(b"", None, b"400 Bad Request")
            return
        self.service.ask(self, since, wait_ms)

    def reply(self, body: bytes, rev: int | None, status: bytes = b"200 OK") -> None:
        """`rev` is the version that the proxy has been told of once the last byte is there."""
        if self.line.closing or self.door.silent():
            return
        head = b"HTTP/1.1 %b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        answer = head % (status, len(body)) + body[: CHUNK // 2]
        self._deliver(answer, body, len(answer), CHUNK // 2, rev)

    def _deliver(self, data: bytes, body: bytes, size: int, at: int, rev: int | None) -> None:
        way = WAY_S if at == CHUNK // 2 else 0.0
        when = way + size / LINE_BYTES_S
        self.loop.call_later(when, self._arrive, data, body, at, rev, context=self.proxy)

    def _arrive(self, data: bytes, body: bytes, at: int, rev: int | None) -> None:
        if self.line.closing or self.door.silent():
            return
        self.count(len(data))
        if at < len(body):
            chunk = body[at : at + CHUNK]
            self._deliver(chunk, body, len(chunk), at + len(chunk), rev)
        elif rev is not None and self.account is not None:
            self.account.told.add(self.loop.time(), rev)
        self.protocol.data_received(data)

    def end(self) -> None:
        self.service.hung_up(self)
