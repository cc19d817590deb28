"""`python -m corallanding.platform`: one controller on the platform. LB_CONFIG names its configuration file."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run the program and return its exit code; see `program`."""
    # Blocked until the event loop handles it: SIGHUP during the imports neither ends the program nor is lost.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    # Before the event loop handles it: end without a traceback, as on SIGTERM.
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    from .program import run  # imported late: the imports take most of the startup time

    return run()


if __name__ == "__main__":
    sys.exit(main())
