"""A discovery service without sockets: the revisions of a list, and the responses to watches as bytes."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from scale.fleet.clock import VirtualLoop
from scale.fleet.metrics import PerSecondSeries

MAX_WAIT_MS = 60_000  # longest watch timeout that the protocol allows
MIN_HISTORY_ENTRIES = 1000  # changed entries kept for deltas, or half the length of the list if that is more


class EntryChange(NamedTuple):
    """A new list entry of a backend."""

    backend_id: str
    entry: bytes  # JSON
    is_removed: bool  # whether the entry removes the backend from the list


class Caller(Protocol):
    """A connection on which the service handles one request at a time."""

    def respond(self, body: bytes, revision: int | None) -> None:
        """Write a response, which notifies the proxy of `revision`."""


class _Watch(NamedTuple):
    """An open request that waits for a revision after `since`."""

    since: int
    timer: asyncio.TimerHandle


class SimulatedDiscovery:
    """Revisions of a list; equal responses share their bytes.

    A watch requests the changes after a revision. It is answered with a delta, or with a snapshot if the
    revision is older than the history of changes.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.revision = 1
        self.unreachable_regions: set[int] = set()
        self.entries: dict[str, bytes] = {}
        self._published_at: list[float] = [loop.time()]  # by revision; revision 1 is at index 0
        self.calls = PerSecondSeries()
        self.http_bytes = PerSecondSeries()
        self.snapshots_sent = 0
        self._history: deque[tuple[int, tuple[EntryChange, ...]]] = deque()
        self._history_entries = 0
        self._oldest_revision = 1  # oldest revision from which a delta is available
        self._watches: dict[Caller, _Watch] = {}
        self._snapshot = b""
        self._deltas: dict[int, bytes] = {}  # response bodies, by the revision that they follow

    def published_at(self, revision: int) -> float:
        """Return the time (s) at which a revision was published."""
        return self._published_at[revision - 1]

    def publish(self, changes: list[EntryChange]) -> int:
        """Publish a new revision with these changes, answer the open watches, and return the revision."""
        self.revision += 1
        self._published_at.append(self.loop.time())
        self._snapshot = b""
        self._deltas = {}
        for change in changes:
            if change.is_removed:
                self.entries.pop(change.backend_id, None)
            else:
                self.entries[change.backend_id] = change.entry
        self._record_changes(tuple(changes))
        watches, self._watches = self._watches, {}
        for caller, watch in watches.items():
            watch.timer.cancel()
            caller.respond(self.delta(watch.since), self.revision)
        return self.revision

    def _record_changes(self, changes: tuple[EntryChange, ...]) -> None:
        self._history.append((self.revision, changes))
        self._history_entries += len(changes)
        while self._history and self._history_entries > max(MIN_HISTORY_ENTRIES, len(self.entries) // 2):
            self._drop_oldest_changes()

    def clear_history(self) -> None:
        """Drop the history, so that watches from any revision but the latest get a snapshot."""
        while self._history:
            self._drop_oldest_changes()

    def _drop_oldest_changes(self) -> None:
        revision, changes = self._history.popleft()
        self._oldest_revision = revision
        self._history_entries -= len(changes)

    def snapshot(self) -> bytes:
        """Return the body of a response with a snapshot."""
        if not self._snapshot:
            self._snapshot = self._encode_body(True, self.entries.values())
        return self._snapshot

    def delta(self, since: int) -> bytes:
        """Return the response body for a watch: a delta, or a snapshot if `since` is too old or unknown."""
        if not self._oldest_revision <= since <= self.revision:
            self.snapshots_sent += 1
            return self.snapshot()
        if since not in self._deltas:
            latest: dict[str, bytes] = {}
            for revision, changes in self._history:
                if revision > since:
                    latest |= {change.backend_id: change.entry for change in changes}
            self._deltas[since] = self._encode_body(False, latest.values())
        return self._deltas[since]

    def _encode_body(self, is_snapshot: bool, entries: Iterable[bytes]) -> bytes:
        head = b'{"rev":%d,"all":%b,"targets":[' % (self.revision, b"true" if is_snapshot else b"false")
        return head + b",".join(entries) + b"]}"

    def handle_call(self, caller: Caller, since: int | None, wait_ms: int) -> None:
        """Respond to a request, or keep a watch open; `since` None requests a snapshot."""
        self.calls.add(self.loop.second(), 1)
        if since is None:
            self.snapshots_sent += 1
            caller.respond(self.snapshot(), self.revision)
        elif since != self.revision:
            caller.respond(self.delta(since), self.revision)
        else:
            wait_s = min(wait_ms, MAX_WAIT_MS) / 1000
            timer = self.loop.call_later(wait_s, self._answer_timed_out_watch, caller)
            self._watches[caller] = _Watch(since, timer)

    def _answer_timed_out_watch(self, caller: Caller) -> None:
        watch = self._watches.pop(caller)
        caller.respond(self.delta(watch.since), self.revision)

    def cancel_watch(self, caller: Caller) -> None:
        """Drop the watch of a closed connection."""
        watch = self._watches.pop(caller, None)
        if watch is not None:
            watch.timer.cancel()
