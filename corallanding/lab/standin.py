"""The real controller with another decider: `python -m corallanding.lab.standin NAME CONFIG [RECORDING]`."""

from __future__ import annotations

import sys

from ..controller.main import run
from .publishers import PUBLISHERS

if __name__ == "__main__":
    name, config, *rest = sys.argv[1:]
    sys.exit(run(config, rest[0] if rest else None, PUBLISHERS[name]))
