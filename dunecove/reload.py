"""Reading the configuration anew on SIGHUP."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from dunecove.config import DISCOVERY_VARIABLE, read_config
from dunecove.errors import ConfigurationError
from dunecove.proxy.engine import Engine
from dunecove.proxy.log_writer import log
from dunecove.proxy.telemetry import CounterName

# Until a failed reload is retried: a move has to take effect within 4 s.
RETRY_DELAYS_S = (0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class Reloader:
    """The file has been replaced. Only the address of the discovery service may change while the proxy runs,
    and there the file counts, since the environment can't change."""

    def __init__(self, engine: Engine, environment: Mapping[str, str]) -> None:
        """Read the file that `environment` names."""
        self._engine = engine
        self._environment = {k: value for k, value in environment.items() if k != DISCOVERY_VARIABLE}
        self._retry_timer: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Read the file now; if that fails, retry for a while."""
        self.close()
        self._read(0)

    def close(self) -> None:
        """Make no retry any more."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    def _read(self, failure_count: int) -> None:
        """A file that can't be read now may be readable soon, and nobody sends another signal for it."""
        telemetry = self._engine.telemetry
        try:
            config = read_config(self._environment, skips_long_list=True)
        except ConfigurationError as error:
            telemetry.count(CounterName.RELOAD_FAILED)
            if not failure_count:
                log(f"reload: {error}; going on as before")
            self._retry(failure_count)
            return
        telemetry.count(CounterName.RELOAD_SUCCEEDED)
        self._engine.move_discovery(config.discovery_address)

    def _retry(self, failure_count: int) -> None:
        if failure_count < len(RETRY_DELAYS_S):
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(RETRY_DELAYS_S[failure_count], self._read, failure_count + 1)
