"""`python -m corallanding.platform`: one steward on the platform. LB_CONFIG names its configuration. See `program`."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    # Held back until the loop takes it, then told: one that comes while the program loads neither ends it nor is lost.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    signal.signal(signal.SIGINT, signal.SIG_DFL)  # until then: ends it without a traceback, as SIGTERM does
    from .program import run  # only now, as loading it is most of a start

    return run()


if __name__ == "__main__":
    sys.exit(main())
