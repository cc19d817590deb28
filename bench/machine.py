"""Description of the machine that produced the results, without its name."""

from __future__ import annotations

import os
import platform


def machine() -> dict[str, object]:
    """Return cores, memory, Python version, operating system and architecture of this machine."""
    memory_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return {
        "cores": os.cpu_count(),
        "memory_gib": round(memory_bytes / 2**30, 1),
        "python": platform.python_version(),
        "system": platform.system(),
        "arch": platform.machine(),
    }
