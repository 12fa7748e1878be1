"""Reloading of the configuration on SIGHUP."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from dunecove.config import DISCOVERY_VARIABLE, read_config
from dunecove.errors import ConfigurationError
from dunecove.proxy.engine import Engine
from dunecove.proxy.log_writer import log
from dunecove.proxy.telemetry import CounterName

# Delays before the retries of a failed reload; the fifth retry is after 3.1 s, the last one after 6.3 s. The
# platform counts a proxy as notified of a change 4 s after a SIGHUP that names another discovery address.
RETRY_DELAYS_S = (0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class Reloader:
    """Reloads the configuration file.

    Only the discovery address may change while the proxy runs. It is read from the file even if the
    environment contains one, because the environment of a running process can't change.
    """

    def __init__(self, engine: Engine, environment: Mapping[str, str]) -> None:
        """Create a reloader of the configuration that `environment` refers to."""
        self._engine = engine
        self._environment = {name: value for name, value in environment.items() if name != DISCOVERY_VARIABLE}
        self._retry_timer: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Reload now; if that fails, retry after each of `RETRY_DELAYS_S`."""
        self.close()
        self._try_reload(0)

    def close(self) -> None:
        """Cancel a pending retry."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    def _try_reload(self, failure_count: int) -> None:
        """Reload, or schedule a retry: the failure may be temporary, and no second signal would be sent."""
        telemetry = self._engine.telemetry
        try:
            config = read_config(self._environment, skips_long_list=True)
        except ConfigurationError as error:
            telemetry.count(CounterName.RELOAD_FAILED)
            if not failure_count:
                log(f"configuration reload failed: {error}; keeping the current configuration and retrying")
            self._schedule_retry(failure_count)
            return
        telemetry.count(CounterName.RELOAD_SUCCEEDED)
        self._engine.move_discovery(config.discovery_address)

    def _schedule_retry(self, failure_count: int) -> None:
        if failure_count < len(RETRY_DELAYS_S):
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(
                RETRY_DELAYS_S[failure_count], self._try_reload, failure_count + 1
            )
