"""A stand-in of discovery on loopback, in a thread of its own, that counts its bytes."""

from __future__ import annotations

import asyncio
import re
import threading
from typing import NamedTuple, cast

import orjson

from scale import made

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
SINCE = re.compile(rb"since=(\d+)&timeout_ms=(\d+)")


class Exchanged(NamedTuple):
    """One call and its answer, in bytes with headers."""

    asked: int
    answered: int


class Call(asyncio.Protocol):
    def __init__(self, registry: Registry) -> None:
        self.registry, self.buffer = registry, b""
        self.told = False  # its last answer was news, and it has not asked since

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.registry.calls.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.registry.calls.discard(self)
        self.registry.waiting.pop(self, None)
        if self.told:
            self.registry.note_refusal()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
            self.registry.asked(self, head + b"\r\n\r\n")

    def answer(self, asked: int, body: bytes, news: bool = False) -> None:
        if not self.transport.is_closing():
            data = HEAD % len(body) + body
            self.registry.exchanged.append(Exchanged(asked, len(data)))
            self.transport.write(data)
            self.told = news


class Registry:
    """Answers a watch from version N with `news[N]` at once, or with nothing new once its wait is over."""

    def __init__(self, whole: bytes, at_once: bool = False) -> None:
        self.whole, self.at_once = whole, at_once  # at_once: also what has nothing new to tell
        self.news: dict[int, bytes] = {}
        self.since: dict[int, int] = {}  # calls so far by the version that they named
        self.exchanged: list[Exchanged] = []
        self.refused = False  # news were answered with the end of the connection
        self.changed = threading.Condition()
        self.calls: set[Call] = set()
        self.waiting: dict[Call, tuple[int, int, asyncio.TimerHandle]] = {}
        self.loop = asyncio.new_event_loop()
        self.server = self.loop.run_until_complete(
            self.loop.create_server(lambda: Call(self), "127.0.0.1", 0)
        )
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def __enter__(self) -> Registry:
        return self

    def __exit__(self, *_: object) -> None:
        self.loop.call_soon_threadsafe(self._stop)
        self.thread.join()
        self.loop.close()

    def _stop(self) -> None:
        self.server.close()
        for call in list(self.calls):
            call.transport.abort()
        self.loop.call_soon(self.loop.stop)

    def asked(self, call: Call, head: bytes) -> None:
        call.told = False
        found = SINCE.search(head)
        if found is None:
            call.answer(len(head), self.whole)
            return
        since, wait_ms = int(found[1]), int(found[2])
        if since in self.news:
            call.answer(len(head), self.news[since], news=True)
        elif self.at_once:
            call.answer(len(head), nothing(since))
        else:
            timer = self.loop.call_later(wait_ms / 1000, self._over, call)
            self.waiting[call] = (since, len(head), timer)
        with self.changed:
            self.since[since] = self.since.get(since, 0) + 1
            self.changed.notify_all()

    def _over(self, call: Call) -> None:
        if call in self.waiting:
            since, asked, _ = self.waiting.pop(call)
            call.answer(asked, nothing(since))

    def offer(self, since: int, body: bytes) -> None:
        """Tell what is new after that version, also to the calls that wait for it."""
        self.loop.call_soon_threadsafe(self._offer, since, body)

    def _offer(self, since: int, body: bytes) -> None:
        self.news[since] = body
        for call, (waited, asked, timer) in list(self.waiting.items()):
            if waited == since:
                del self.waiting[call]
                timer.cancel()
                call.answer(asked, body, news=True)

    def note_refusal(self) -> None:
        with self.changed:
            self.refused = True
            self.changed.notify_all()

    def taken(self, rev: int, within_s: float) -> bool:
        """Wait until a watch names version `rev`: all before it is taken over. False if news were refused,
        or if time is up."""
        with self.changed:
            self.changed.wait_for(lambda: rev in self.since or self.refused, within_s)
            return rev in self.since


def nothing(rev: int) -> bytes:
    return b'{"rev":%d,"all":false,"targets":[]}' % rev


def change(rev: int, count: int) -> bytes:
    """A change of that many entries, by turns one that drains and a new one, as a body."""
    entries = [
        made.entry(n, "leaving") if n % 2 == 0 else made.entry(200_000 + rev * 100 + n) for n in range(count)
    ]
    return orjson.dumps(made.listing(rev, entries, whole=False))
