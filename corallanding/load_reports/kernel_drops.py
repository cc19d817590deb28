"""Counts the datagrams that the kernel dropped unread."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

INODE_COLUMN = 9


def count_kernel_drops(transport: asyncio.DatagramTransport | None) -> int:
    """Return the number of datagrams dropped on the transport's socket, by /proc; 0 where that is not available."""
    if transport is None:
        return 0
    try:
        inode = str(os.fstat(transport.get_extra_info("socket").fileno()).st_ino)
        for name in ("udp", "udp6"):
            for line in Path(f"/proc/self/net/{name}").read_text().splitlines()[1:]:
                fields = line.split()
                if fields[INODE_COLUMN] == inode:
                    return int(fields[-1])
    except (OSError, IndexError, ValueError):
        return 0
    return 0
