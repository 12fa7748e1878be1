"""`python -m scale`: see `scale.cli`."""

import signal
import sys

from scale.cli import main

# SIGTERM raises SystemExit, so that child processes are stopped before this process exits.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
sys.exit(main(sys.argv[1:]))
