"""An event loop on a virtual clock: asyncio code runs on it as it is, and no time passes but by timers."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from contextvars import Context, copy_context
from heapq import heappop, heappush
from time import process_time
from typing import Any, Protocol, TypeVar, TypeVarTuple, Unpack

from scale.fleet.account import ACCOUNT, Account

ORIGIN_S = 1_000_000  # s on the clock as a run starts: above 0, which stands for "long ago" in lists

T = TypeVar("T")
Ts = TypeVarTuple("Ts")


class Host(Protocol):
    """Whoever listens at an address on this loop."""

    async def accept(self, protocol: asyncio.Protocol) -> asyncio.Transport:
        """Bring up a connection for the caller's protocol, or never return."""


class Job(asyncio.TimerHandle):
    """A callback and the account that pays for it."""

    __slots__ = ("account",)

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
        self.account: Account | None = context.get(ACCOUNT)


class VirtualLoop(asyncio.AbstractEventLoop):
    """Callbacks in order of time, then of their making. Only what list code and timers need is there."""

    def __init__(self) -> None:
        self.now = float(ORIGIN_S)
        self.hosts: dict[tuple[str, int], Host] = {}
        self.errors: list[str] = []  # what callbacks raised
        self.ran = 0  # callbacks
        self._ready: deque[Job] = deque()
        self._timers: list[tuple[float, int, Job]] = []
        self._order = 0

    def time(self) -> float:
        return self.now

    def second(self) -> int:
        return int(self.now) - ORIGIN_S

    def now_ms(self) -> float:
        return self.now * 1000

    def call_soon(
        self, callback: Callable[[Unpack[Ts]], object], *args: *Ts, context: Context | None = None
    ) -> asyncio.Handle:
        job = Job(self.now, callback, args, self, context)
        self._ready.append(job)
        return job

    def call_at(
        self,
        when: float,
        callback: Callable[[Unpack[Ts]], object],
        *args: *Ts,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        job = Job(when, callback, args, self, context)
        self._order += 1
        heappush(self._timers, (when, self._order, job))
        return job

    def call_later(
        self,
        delay: float,
        callback: Callable[[Unpack[Ts]], object],
        *args: *Ts,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        return self.call_at(self.now + delay, callback, *args, context=context)

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[T]:
        return asyncio.Task(coro, loop=self, name=name, context=context)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """ConnectionRefusedError where nobody listens."""
        if (host, port) not in self.hosts:
            raise ConnectionRefusedError(f"nobody listens at {host}:{port}")
        protocol = protocol_factory()
        return await self.hosts[host, port].accept(protocol), protocol

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """A cancelled timer stays in the heap until its time."""

    def run_until(self, end: float) -> None:
        """Run all that is due up to `end` (s on this clock), in the calling thread."""
        before = asyncio._get_running_loop()
        asyncio._set_running_loop(self)
        try:
            while True:
                while self._ready:
                    self._run(self._ready.popleft())
                if not self._timers or self._timers[0][0] > end:
                    break
                when, _, job = heappop(self._timers)
                self.now = max(self.now, when)
                self._run(job)
            self.now = max(self.now, end)
        finally:
            asyncio._set_running_loop(before)

    def _run(self, job: Job) -> None:
        if job.cancelled():
            return
        self.ran += 1
        if job.account is None:
            job._run()
            return
        began = process_time()
        job._run()
        job.account.cpu.add(self.second(), process_time() - began)


def virtual_loop() -> VirtualLoop:
    return VirtualLoop()  # type: ignore[abstract]  # readers, signals and the like have no use here
