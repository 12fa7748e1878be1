"""The frame of a case: it plays the case, ends the proxies, and exits with the verdict."""

from __future__ import annotations

import asyncio
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from common.platform import BROKEN, COULD_NOT_RUN, HELD, Proxy, Record, has_trouble

MAX_DURATION_S = 110.0


class Case:
    """What a case works with. Its proxies are ended when it is over, however it ends."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.proxies: list[Proxy] = []
        self.violations: list[str] = []

    def proxy(self, name: str = "n0") -> Proxy:
        """Return a new proxy, which is not started yet."""
        self.proxies.append(Proxy(self.record, name))
        return self.proxies[-1]

    def report(self, violation: str) -> None:
        """Record that the rule was broken."""
        self.record.say(f"BROKEN: {violation}")
        self.violations.append(violation)


def main(play: Callable[[Case], Awaitable[None]], file: str) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    case = Case(Path(file).resolve().parent)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    case.record.say(f"trouble: {'yes' if has_trouble() else 'no'}")
    try:
        asyncio.run(_play(case, play))
        verdict = BROKEN if case.violations else HELD
    except Exception:
        case.record.say(f"the case could not run\n{traceback.format_exc()}")
        verdict = COULD_NOT_RUN
    finally:
        for proxy in case.proxies:
            proxy.end()
    case.record.say(f"{len(case.violations)} violations, exit {verdict}")
    sys.exit(verdict)


async def _play(case: Case, play: Callable[[Case], Awaitable[None]]) -> None:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda *_: None)  # stand-ins are cancelled at the end of the case
    async with asyncio.timeout(MAX_DURATION_S):
        await play(case)
