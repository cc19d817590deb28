"""System calls of started programs that fail for a moment, by a library that is loaded before the C library."""

from __future__ import annotations

import subprocess
from functools import cache
from pathlib import Path
from tempfile import mkdtemp

SOURCE = Path(__file__).with_name("failing_calls.c")


@cache
def library() -> str:
    """Build the library with the C compiler of this machine, once for each process of tests; return its path."""
    path = Path(mkdtemp(prefix="failing-calls-")) / "failing_calls.so"
    subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-o", str(path), str(SOURCE), "-ldl"], check=True)
    return str(path)


def environment(**settings: str) -> dict[str, str]:
    """Return the variables of a program whose calls fail; `settings` are described in the source of the library."""
    return {"LD_PRELOAD": library(), **settings}
