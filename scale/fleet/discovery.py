"""The discovery service without sockets: revisions of one list, and the answers to watches as bytes."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from scale.fleet.clock import VirtualLoop
from scale.fleet.metrics import PerSecondSeries

MAX_WAIT_MS = 60_000  # the longest watch that the protocol allows
MIN_KEPT_ENTRIES = 1000  # changed entries that are kept for watches, or half of the list if that is more


class EntryChange(NamedTuple):
    """A backend's new entry in the list."""

    backend_id: str
    entry: bytes  # JSON
    is_removed: bool  # it is no longer listed


class Caller(Protocol):
    """A connection on which the service answers one call at a time."""

    def respond(self, body: bytes, revision: int | None) -> None:
        """Write an answer; `revision` is the one that the proxy is notified of by it."""


class _Watch(NamedTuple):
    """An open call that waits for a revision after `since`."""

    since: int
    timer: asyncio.TimerHandle


class SimulatedDiscovery:
    """Revisions of one list; answers to the same question share their bytes.

    A watch asks for what is newer than a revision and is answered with the changed entries, or with a
    snapshot where that revision is older than the changes kept.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.revision = 1
        self.unreachable_regions: set[int] = set()
        self.entries: dict[str, bytes] = {}
        self._published_at: list[float] = [loop.time()]  # of each revision, the first at index 0
        self.calls = PerSecondSeries()
        self.http_bytes = PerSecondSeries()
        self.snapshots_sent = 0
        self._changes: deque[tuple[int, tuple[EntryChange, ...]]] = deque()
        self._kept_entries = 0
        self._oldest_revision = 1  # since which all changes are kept
        self._watches: dict[Caller, _Watch] = {}
        self._snapshot = b""
        self._deltas: dict[int, bytes] = {}  # by the revision that they start from

    def published_at(self, revision: int) -> float:
        """Return when (s) a revision was published."""
        return self._published_at[revision - 1]

    def publish(self, changes: list[EntryChange]) -> int:
        """Publish one new revision with these changes and answer the open watches. Returns the revision."""
        self.revision += 1
        self._published_at.append(self.loop.time())
        self._snapshot = b""
        self._deltas = {}
        for change in changes:
            if change.is_removed:
                self.entries.pop(change.backend_id, None)
            else:
                self.entries[change.backend_id] = change.entry
        self._keep(tuple(changes))
        watches, self._watches = self._watches, {}
        for caller, watch in watches.items():
            watch.timer.cancel()
            caller.respond(self.delta(watch.since), self.revision)
        return self.revision

    def _keep(self, changes: tuple[EntryChange, ...]) -> None:
        self._changes.append((self.revision, changes))
        self._kept_entries += len(changes)
        while self._changes and self._kept_entries > max(MIN_KEPT_ENTRIES, len(self.entries) // 2):
            self._drop_oldest()

    def forget_changes(self) -> None:
        """Keep no changes: every revision but the last is too old for a watch."""
        while self._changes:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        revision, changes = self._changes.popleft()
        self._oldest_revision = revision
        self._kept_entries -= len(changes)

    def snapshot(self) -> bytes:
        """Return the body of an answer with the whole list."""
        if not self._snapshot:
            self._snapshot = self._body(True, self.entries.values())
        return self._snapshot

    def delta(self, since: int) -> bytes:
        """Return the body of the answer to a watch from a revision: its changes, or a snapshot."""
        if not self._oldest_revision <= since <= self.revision:
            self.snapshots_sent += 1
            return self.snapshot()
        if since not in self._deltas:
            latest: dict[str, bytes] = {}
            for revision, changes in self._changes:
                if revision > since:
                    latest |= {change.backend_id: change.entry for change in changes}
            self._deltas[since] = self._body(False, latest.values())
        return self._deltas[since]

    def _body(self, is_snapshot: bool, entries: Iterable[bytes]) -> bytes:
        head = b'{"rev":%d,"all":%b,"targets":[' % (self.revision, b"true" if is_snapshot else b"false")
        return head + b",".join(entries) + b"]}"

    def handle_call(self, caller: Caller, since: int | None, wait_ms: int) -> None:
        """Answer a call, or let a watch wait for the next revision; without `since` it is no watch."""
        self.calls.add(self.loop.second(), 1)
        if since is None:
            self.snapshots_sent += 1
            caller.respond(self.snapshot(), self.revision)
        elif since != self.revision:
            caller.respond(self.delta(since), self.revision)
        else:
            wait_s = min(wait_ms, MAX_WAIT_MS) / 1000
            timer = self.loop.call_later(wait_s, self._end_wait, caller)
            self._watches[caller] = _Watch(since, timer)

    def _end_wait(self, caller: Caller) -> None:
        watch = self._watches.pop(caller)
        caller.respond(self.delta(watch.since), self.revision)

    def cancel_watch(self, caller: Caller) -> None:
        """Drop the watch of a connection that is gone."""
        watch = self._watches.pop(caller, None)
        if watch is not None:
            watch.timer.cancel()
