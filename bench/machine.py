"""What machine a figure came from, without names."""

from __future__ import annotations

import os
import platform


def machine() -> dict[str, object]:
    pages = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return {
        "cores": os.cpu_count(),
        "memory_gib": round(pages / 2**30, 1),
        "python": platform.python_version(),
        "system": platform.system(),
        "arch": platform.machine(),
    }
