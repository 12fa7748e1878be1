"""`python -m scale`: see `scale.cli`."""

import signal
import sys

from scale.cli import main

# As an exception, so that child processes are stopped on the way out.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
sys.exit(main(sys.argv[1:]))
