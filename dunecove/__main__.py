"""Begins the proxy: reads its configuration and serves until it is told to end."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time

from dunecove.config import read_config
from dunecove.errors import ConfigurationError
from dunecove.proxy.log_writer import handle_library_logs, log
from dunecove.retry import retry_transient_errors
from dunecove.server import run

EXIT_STARTUP_FAILED = 2
STARTUP_RETRY_PERIOD_S = 5.0  # well within the time in which a proxy has to be ready


def main() -> int:
    """Run the proxy; return the exit code."""
    for early_signal in (signal.SIGHUP, signal.SIGUSR1):  # until the loop has its handlers
        signal.signal(early_signal, signal.SIG_IGN)
    gc.disable()  # until all is made: next to nothing of it is to be thrown away
    handle_library_logs()
    retry_deadline_s = time.monotonic() + STARTUP_RETRY_PERIOD_S
    try:
        config = retry_transient_errors(lambda: read_config(os.environ), retry_deadline_s)
        retry_transient_errors(lambda: run(config), retry_deadline_s)
    except (ConfigurationError, OSError) as error:
        log(str(error))
        return EXIT_STARTUP_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main())
