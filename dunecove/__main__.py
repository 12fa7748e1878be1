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

EXIT_CANNOT_START = 2
START_RETRIES_S = 5.0  # well within the time in which a proxy has to be ready


def main() -> int:
    """Run the proxy; return the exit code."""
    for early_signal in (signal.SIGHUP, signal.SIGUSR1):  # until the loop has its handlers
        signal.signal(early_signal, signal.SIG_IGN)
    gc.disable()  # until all is made: next to nothing of it is to be thrown away
    handle_library_logs()
    retry_until_s = time.monotonic() + START_RETRIES_S
    try:
        config = retry_transient_errors(lambda: read_config(os.environ), retry_until_s)
        retry_transient_errors(lambda: run(config), retry_until_s)
    except (ConfigurationError, OSError) as error:
        log(str(error))
        return EXIT_CANNOT_START
    return 0


if __name__ == "__main__":
    sys.exit(main())
