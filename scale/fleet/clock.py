"""An event loop on a virtual clock, which runs unmodified asyncio code and advances time only by timers."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from contextvars import Context, copy_context
from heapq import heappop, heappush
from time import process_time
from typing import Any, Protocol, TypeVar, TypeVarTuple, Unpack

from scale.fleet.metrics import CURRENT_METRICS, ProxyMetrics

ORIGIN_S = 1_000_000  # time at the start of a run; above 0, as boot time 0 in lists means "long ago"

T = TypeVar("T")
Ts = TypeVarTuple("Ts")


class Listener(Protocol):
    """A server that accepts connections on a `VirtualLoop`."""

    async def accept(self, protocol: asyncio.Protocol) -> asyncio.Transport:
        """Connect the caller's protocol and return its transport; hang if the server is unreachable."""


class MeteredHandle(asyncio.TimerHandle):
    """A handle of a callback, with the metrics to which its processor time is added."""

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
    """An event loop that runs callbacks in the order of their times, then of their creation.

    It implements only the methods that the discovery client and timers need.
    """

    def __init__(self) -> None:
        self.now = float(ORIGIN_S)
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.errors: list[str] = []  # exceptions raised by callbacks
        self.callbacks_run = 0
        self._ready: deque[MeteredHandle] = deque()
        self._timers: list[tuple[float, int, MeteredHandle]] = []
        self._timers_created = 0

    def time(self) -> float:
        """Return the virtual time (s)."""
        return self.now

    def second(self) -> int:
        """Return the number of whole seconds since the start of the run."""
        return int(self.now) - ORIGIN_S

    def now_ms(self) -> float:
        """Return the virtual time (ms)."""
        return self.now * 1000

    def call_soon(
        self, callback: Callable[[Unpack[Ts]], object], *args: *Ts, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback at the current time, after the callbacks that are already ready."""
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
        """Run a callback at the virtual time `when` (s)."""
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
        """Return a future attached to this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[T]:
        """Run a coroutine as a task on this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect to a listener on this loop; raise ConnectionRefusedError if there is none."""
        if (host, port) not in self.listeners:
            raise ConnectionRefusedError(f"no listener at {host}:{port}")
        protocol = protocol_factory()
        return await self.listeners[host, port].accept(protocol), protocol

    def get_debug(self) -> bool:
        """Return False: asyncio's debug mode is off."""
        return False

    def is_running(self) -> bool:
        """Return True, since asyncio only calls this from callbacks."""
        return True

    def is_closed(self) -> bool:
        """Return False: the loop is never closed."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an exception raised by a callback."""
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing: a cancelled timer stays in the heap until its time."""

    def run_until(self, end: float) -> None:
        """Run all callbacks due up to the virtual time `end` (s), in the calling thread."""
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
    """Return a loop whose clock starts at ORIGIN_S."""
    return VirtualLoop()  # type: ignore[abstract]  # readers, signals and other methods are not needed
