"""The list of backends: reading it, and the watch that keeps it fresh."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from ipaddress import ip_address
from itertools import chain
from marshal import dumps, loads
from math import inf
from typing import Any, NamedTuple

import orjson

from dunecove.errors import MalformedEndpointListError
from dunecove.policy.models import BackendInfo, BackendState
from dunecove.proxy.http1 import Exchange, Response, split_address
from dunecove.proxy.incremental_json import consumed, in_pieces
from dunecove.proxy.sharded_table import Table
from dunecove.wire.endpoint_list import BACKEND_STATES
from dunecove.wire.fields import as_array, as_choice, as_integer, as_number, as_object, as_string
from dunecove.wire.settings import ProxySettings

FIRST_WAIT_MS = 1  # a new watch asks for what is known now, so that success shows at once
# What a silent watch misses counts as told 6 s after it fell silent. By then it must have been found silent,
# opened anew, and once more if connecting hangs; so it waits for a second and is given a second to answer.
WAIT_MS = 1000.0
SILENT_MS = 1000.0
# A call that opens a watch may hang, or wait its turn where many ask at once. So after this time another is
# made, and those before it keep their places in the line, so many in all: asking anew at its end each time,
# nobody might ever be served.
CALL_MS = 2000.0
PLACES = 3
# A pushed list counts as told in the moment its service is back: a watch left open then, and the next call,
# may use up so much of the drain grace each. The agent is on this machine, and slow only when that is.
GRACE_PART = 0.4
LEAST_MS = 200.0
# A list may be as long as the memory bears: one that replaces another takes under three times its bytes for a
# moment, beside the program. What is longer would end the program.
LIST_PART = 0.3
PROGRAM_MB = 32.0
LEAST_LIST = 1024 * 1024
LONG_BYTES = 64 * 1024  # a list longer than this is read in pieces
LONG_HELD = 1000  # and so is any whole list where more than so many are held
# Bytes of a list read in one turn of the loop; for each as many its service may take the time of its silence
# once more.
MIB = 1024 * 1024
PIECE = 100  # entries told the module in one turn of the loop: 1 or 2 ms


class Target(NamedTuple):
    uid: str
    host: str
    port: int
    info: BackendInfo


Parts = list[bytes | bytearray]  # of an answer's body
Known = bytes  # what is kept of an active one: small, with its values in it, and nothing for the collector


def pack(target: Target) -> Known:
    return dumps((target.host.encode(), target.port, *target.info[2:]), 2)


def unpack(uid: str, known: Known) -> Target:
    host, port, *traits = loads(known)
    return Target(uid, host.decode(), port, BackendInfo(uid, BackendState.ACTIVE, *traits))


def place_of(known: Known) -> tuple[int, int]:
    """Zone and cell, without the rest."""
    traits = loads(known)
    return traits[2], traits[4]


class Listing(NamedTuple):
    rev: int
    whole: bool
    targets: tuple[Target, ...]


def place(names: dict[str, int], value: object, member: str) -> int:
    """The number of a zone or kind; one that the settings do not name gets the next."""
    if value is None:
        return 0
    return value if type(value) is int else names.setdefault(as_string(value, member), len(names))


def check_ip(host: str) -> None:
    """ValueError unless it is an IP address: a name would have to be looked up, and there is no DNS."""
    try:  # what nearly all are, told by the C library in a tenth of the time
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        ip_address(host)


def read_target(raw: object, wire: ProxySettings) -> Target:
    entry = as_object(raw, "targets")
    uid, started = as_string(entry["uid"], "uid"), entry.get("boot_ms")
    host, port = split_address(as_string(entry["endpoint"], "endpoint"))
    check_ip(host)
    info = BackendInfo(
        uid,
        as_choice(BACKEND_STATES, entry["state"], "state"),
        place(wire.zones, entry.get("az"), "az"),
        place(wire.kinds, entry.get("model"), "model"),
        as_integer(entry.get("pod_group") or 0, "pod_group"),
        as_number(started, "boot_ms") if started else None,
        as_number(entry.get("capacity_hint") or 1, "capacity_hint"),
    )
    return Target(uid, host, port, info)


def read_listing(raw: object, wire: ProxySettings) -> Listing:
    try:
        data = as_object(raw, "list")
        targets = tuple(read_target(entry, wire) for entry in as_array(data["targets"], "targets"))
        return Listing(as_integer(data["rev"], "rev"), data["all"] is True, targets)
    except KeyError as error:
        raise MalformedEndpointListError(f"list: {error.args[0]} is missing") from None
    except ValueError as error:
        raise MalformedEndpointListError(f"list: {error}") from None


class Saved(NamedTuple):
    """A list that the proxy had before it started, its active backends in their order."""

    rev: int
    uids: list[str]
    table: Table


def read_saved(raw: object, wire: ProxySettings, ahead: Iterable[list[Any]]) -> Saved:
    """`ahead` has the entries that are not in `raw`; of a long list no more than some are there at a time."""
    try:
        data, saved = as_object(raw, "list"), Table()
        uids: list[str] = []
        for entries in chain(ahead, [as_array(data["targets"], "targets")]):
            for entry in entries:
                target = read_target(entry, wire)
                held = saved.of(target.uid)
                if target.info.state is BackendState.ACTIVE:
                    if target.uid not in held:
                        uids.append(target.uid)
                    held[target.uid] = pack(target)
                else:
                    held.pop(target.uid, None)
        return Saved(as_integer(data["rev"], "rev"), uids, saved)
    except KeyError as error:
        raise MalformedEndpointListError(f"list: {error.args[0]} is missing") from None
    except ValueError as error:
        raise MalformedEndpointListError(f"list: {error}") from None


class Call(Exchange):
    """A kept connection to the list service; each answer is awaited."""

    def __init__(self, most: int) -> None:
        super().__init__(most)
        self.answer: asyncio.Future[Response] | None = None
        self.on_more: Callable[[], None] = lambda: None  # much of a long answer has come

    async def get(self, request: bytes) -> Response:
        self.answer = asyncio.get_running_loop().create_future()
        self.ask(request)
        try:
            return await self.answer
        finally:
            self.answer = None

    def data_received(self, data: bytes) -> None:
        before = self._size if self.waiting else 0
        super().data_received(data)
        if self.waiting and self.transport is not None and self._size // MIB > before // MIB:
            self.on_more()
            # Else the loop would read on for as long as bytes come, and serve nobody.
            self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._read_on)

    def _read_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def on_response(self, response: Response) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(response)

    def on_broken(self) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionError("connection broken"))


class Discovery:
    """Watches back to back from `watch` on, until a call fails."""

    def __init__(
        self,
        address: str,
        wire: ProxySettings,
        rev: int | None,
        on_list: Callable[[Listing], None],
        on_failure: Callable[[str], None],
        pushed: bool = False,
        memory_mb: float = PROGRAM_MB,
        held: Table | None = None,
    ) -> None:
        self.most = max(int((memory_mb - PROGRAM_MB) * 1024 * 1024 * LIST_PART), LEAST_LIST)
        self.held = Table() if held is None else held  # what `on_list` has made of the news
        most = max(wire.drain_grace_ms * GRACE_PART, LEAST_MS) if pushed else inf
        self.wait_ms, self.silent_ms = int(min(WAIT_MS, most)), min(SILENT_MS, most)
        self.call_ms = min(CALL_MS, most)
        self.address, self.wire, self.rev = address, wire, rev
        self.on_list, self.on_failure = on_list, on_failure
        self.call: Call | None = None  # that of the watch that stands
        self.task: asyncio.Task[None] | None = None
        self.asked: dict[asyncio.Task[Parts], Call] = {}  # calls that open a watch, the latest last
        self.places = 1 if pushed else PLACES

    def watch(self) -> None:
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())

    def move(self, address: str) -> bool:
        """Ask the service at `address` from the next watch on; False if that is the one asked already."""
        if address == self.address:
            return False
        self.close()  # a watch called off is no failed one
        self.task = None
        self.address, self.rev = address, None  # its versions are its own: `since` would skip news
        return True

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self._hang_up()
        self._give_up(0)

    def _hang_up(self) -> None:
        if self.call is not None:
            self.call.close()
        self.call = None

    def _give_up(self, places: int) -> None:
        """Leave so many of the calls that open a watch out, the latest."""
        while len(self.asked) > places:
            task = next(iter(self.asked))
            self.asked.pop(task).close()
            task.cancel()

    async def _connect(self, call: Call) -> None:
        host, port = split_address(self.address)
        await asyncio.get_running_loop().create_connection(lambda: call, host, port)

    async def _run(self) -> None:
        try:
            parts = await self._open()
            while True:
                self.rev = await self._take(parts)
                async with asyncio.timeout((self.wait_ms + self.silent_ms) / 1000) as limit:
                    if self.call is None or not self.call.usable:
                        self._hang_up()
                        self.call = Call(self.most)  # known before it comes up: it may be hung up just then
                    self.call.on_more = self._longer(limit)
                    parts = await self._fetch(self.call, self.wait_ms)
        except Exception as error:
            # Whatever went wrong here, the module must hear of it: with a watch that has died unseen it
            # would believe its list for good and send to what drains.
            self._hang_up()
            self.on_failure(f"{type(error).__name__}: {error}")

    async def _open(self) -> Parts:
        """The first answer to any call that opens a watch, those of earlier tries that are still out too."""
        latest = self._answered()
        if latest is None:
            self.call = call = Call(self.most)
            latest = asyncio.get_running_loop().create_task(self._fetch(call, FIRST_WAIT_MS))
            self.asked[latest] = call
            latest.add_done_callback(self._on_asked)
            self._give_up(self.places)
        try:
            async with asyncio.timeout(self.call_ms / 1000) as limit:
                for call in self.asked.values():
                    call.on_more = self._longer(limit)
                while not latest.done() and self._answered() is None:
                    await asyncio.wait(self.asked, return_when=asyncio.FIRST_COMPLETED)
        except TimeoutError:
            self.call = None  # it goes on by itself
            self._give_up(self.places if self.places > 1 else 0)
            raise
        answered = self._answered() or latest
        self.call = self.asked.pop(answered)
        parts = answered.result()  # or why it failed
        self._give_up(0)
        return parts

    def _longer(self, limit: asyncio.Timeout) -> Callable[[], None]:
        """Much of a long answer has come: the service has not fallen silent."""
        loop = asyncio.get_running_loop()

        def more() -> None:
            with suppress(RuntimeError):  # it is not waited for any more
                limit.reschedule(loop.time() + self.silent_ms / 1000)

        return more

    def _answered(self) -> asyncio.Task[Parts] | None:
        return next((t for t in self.asked if t.done() and not t.cancelled() and not t.exception()), None)

    def _on_asked(self, task: asyncio.Task[Parts]) -> None:
        """One of the calls that are out has ended, maybe after this proxy had stopped waiting for it."""
        if task.cancelled() or task not in self.asked:
            return
        if task.exception() is None:
            self.watch()
        elif self.task is None or self.task.done() or task is not next(reversed(self.asked)):
            self.asked.pop(task).close()  # that the latest one failed is told where it is waited for

    async def _fetch(self, call: Call, wait: int) -> Parts:
        if call.transport is None:
            await self._connect(call)
        path = "/registry/instances"
        if self.rev is not None:
            path += f"?since={self.rev}&timeout_ms={wait}"
        response = await call.get(f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode())
        if response.status != 200:
            raise MalformedEndpointListError(f"status {response.status}")
        return [response.body, *response.rest]

    async def _take(self, parts: Parts) -> int:
        """Tell of the list; its version."""
        try:
            if sum(map(len, parts)) > LONG_BYTES:
                return await self._take_long(parts)
            news = read_listing(orjson.loads(b"".join(parts)), self.wire)
            if news.whole and len(self.held) > LONG_HELD:
                return await self._take_long(parts)
        except orjson.JSONDecodeError as error:
            raise MalformedEndpointListError(f"not JSON: {error}") from None
        self.on_list(news)
        return news.rev

    async def _take_long(self, parts: Parts) -> int:
        """Requests are served between its pieces. It counts once all of it has been read, but what drains
        counts at once. A whole one is told as what differs from the list held: that keeps all else from
        being looked at again, and what it does not name goes last."""
        news: deque[dict[str, Known]] = deque()
        unseen = Table()
        for at, part in enumerate(self.held.parts):
            unseen.parts[at] = dict(part)
            if at % 8 == 0:
                await asyncio.sleep(0)

        def look(entries: list[Any]) -> None:
            targets = [read_target(entry, self.wire) for entry in entries]
            drains = [t for t in targets if t.info.state is not BackendState.ACTIVE]
            if drains := [t for t in drains if self.held.get(t.uid) is not None]:
                self.on_list(Listing(self.rev or 0, False, tuple(drains)))
            changed: dict[str, Known] = {}
            for target in targets:
                unseen.of(target.uid).pop(target.uid, None)
                if target.info.state is BackendState.ACTIVE:
                    known = pack(target)
                    if self.held.get(target.uid) != known:
                        changed[target.uid] = known
            if changed:
                news.append(changed)

        reading = in_pieces(consumed(parts))
        try:
            while True:
                try:
                    look(next(reading))
                except StopIteration as end:
                    rest = as_object(end.value, "list")
                    break
                await asyncio.sleep(0)
            last = as_array(rest["targets"], "targets")
            for at in range(0, len(last), PIECE):
                look(last[at : at + PIECE])
                await asyncio.sleep(0)
            rev, is_whole = as_integer(rest["rev"], "rev"), rest["all"] is True
        except KeyError as error:
            raise MalformedEndpointListError(f"list: {error.args[0]} is missing") from None
        except orjson.JSONDecodeError:
            raise
        except ValueError as error:
            raise MalformedEndpointListError(f"list: {error}") from None
        while news:
            self.on_list(Listing(rev, False, tuple(unpack(*pair) for pair in news.popleft().items())))
            await asyncio.sleep(0)
            await asyncio.sleep(0)  # in the turn before, the module heard of the last ones
        while unseen.parts and is_whole:
            left = list(unseen.parts[-1])[:PIECE]
            for uid in left:
                del unseen.parts[-1][uid]
            if not left:
                unseen.parts.pop()
                continue
            gone = (Target(uid, "", 0, BackendInfo(uid, BackendState.REMOVED)) for uid in left)
            self.on_list(Listing(rev, False, tuple(gone)))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        self.on_list(Listing(rev, False, ()))  # that it is read is news in any case
        return rev
