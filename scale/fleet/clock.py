"""An event loop on a virtual clock: asyncio code runs on it as it is, and no time passes but by timers."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from contextvars import Context, copy_context
from heapq import heappop, heappush
from time import process_time
from typing import Any, Protocol, TypeVar, TypeVarTuple, Unpack

from scale.fleet.metrics import CURRENT_METRICS, ProxyMetrics

ORIGIN_S = 1_000_000  # on the clock as a run starts: above 0, which stands for "long ago" in lists

T = TypeVar("T")
Ts = TypeVarTuple("Ts")


class Listener(Protocol):
    """A server at an address on this loop."""

    async def accept(self, protocol: asyncio.Protocol) -> asyncio.Transport:
        """Bring up a connection for the caller's protocol, or never return."""


class MeteredHandle(asyncio.TimerHandle):
    """A callback and the metrics to which its processor time is added."""

    __slots__ = ("metrics",)

    def __init__(
        self,
        when: float,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        loop: asyncio.AbstractEventLoop,
        context: Context | None,
    ) -> None:
        context = context if context is not None else copy_context()
        super().__init__(when, callback, args, loop, context)
        self.metrics: ProxyMetrics | None = context.get(CURRENT_METRICS)


class VirtualLoop(asyncio.AbstractEventLoop):
    """Runs callbacks in order of time, then of their creation.

    Only what list code and timers need of an event loop is there.
    """

    def __init__(self) -> None:
        self.now = float(ORIGIN_S)
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.errors: list[str] = []  # what callbacks raised
        self.callbacks_run = 0
        self._ready: deque[MeteredHandle] = deque()
        self._timers: list[tuple[float, int, MeteredHandle]] = []
        self._timers_created = 0

    def time(self) -> float:
        """Return the virtual time (s)."""
        return self.now

    def second(self) -> int:
        """Return the whole seconds since the start of the run."""
        return int(self.now) - ORIGIN_S

    def now_ms(self) -> float:
        """Return the virtual time (ms)."""
        return self.now * 1000

    def call_soon(
        self, callback: Callable[[Unpack[Ts]], object], *args: *Ts, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback in this moment, after those that are ready."""
        handle = MeteredHandle(self.now, callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[[Unpack[Ts]], object],
        *args: *Ts,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback at a time (s on this clock)."""
        handle = MeteredHandle(when, callback, args, self, context)
        self._timers_created += 1
        heappush(self._timers, (when, self._timers_created, handle))
        return handle

    def call_later(
        self,
        delay: float,
        callback: Callable[[Unpack[Ts]], object],
        *args: *Ts,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Run a callback after `delay` seconds."""
        return self.call_at(self.now + delay, callback, *args, context=context)

    def create_future(self) -> asyncio.Future[Any]:
        """Return a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[T]:
        """Run a coroutine as a task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect to a listener of this loop. ConnectionRefusedError where nobody listens."""
        if (host, port) not in self.listeners:
            raise ConnectionRefusedError(f"nobody listens at {host}:{port}")
        protocol = protocol_factory()
        return await self.listeners[host, port].accept(protocol), protocol

    def get_debug(self) -> bool:
        """Tell asyncio that its checks are off."""
        return False

    def is_running(self) -> bool:
        """Tell asyncio that callbacks run."""
        return True

    def is_closed(self) -> bool:
        """Tell asyncio that the loop can be used."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record what a callback raised."""
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """A cancelled timer stays in the heap until its time."""

    def run_until(self, end: float) -> None:
        """Run all that is due up to `end` (s on this clock), in the calling thread."""
        outer_loop = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            while True:
                while self._ready:
                    self._run(self._ready.popleft())
                if not self._timers or self._timers[0][0] > end:
                    break
                when, _, handle = heappop(self._timers)
                self.now = max(self.now, when)
                self._run(handle)
            self.now = max(self.now, end)
        finally:
            asyncio._set_running_loop(outer_loop)

    def _run(self, handle: MeteredHandle) -> None:
        if handle.cancelled():
            return
        self.callbacks_run += 1
        if handle.metrics is None:
            handle._run()
            return
        started_at = process_time()
        handle._run()
        handle.metrics.cpu_s.add(self.second(), process_time() - started_at)


def create_virtual_loop() -> VirtualLoop:
    """Return a loop whose clock stands at ORIGIN_S."""
    return VirtualLoop()  # type: ignore[abstract]  # readers, signals and the like have no use here
