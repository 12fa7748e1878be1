"""Starts the proxy: reads its configuration and serves until it is stopped by a signal."""

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
STARTUP_RETRY_PERIOD_S = 5.0  # well below the time within which a proxy must become ready


def main() -> int:
    """Run the proxy; return the exit code."""
    for signal_number in (signal.SIGHUP, signal.SIGUSR1):  # ignored until the event loop handles them
        signal.signal(signal_number, signal.SIG_IGN)
    gc.disable()  # until startup is complete, since almost all objects created by then are long-lived
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
