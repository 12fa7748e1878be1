"""`python -m scale`: see cli.py."""

import signal
import sys

from scale.cli import main

# As an exception, so that what was started is ended on the way out.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
sys.exit(main(sys.argv[1:]))
