"""Polling of a controller's metrics, and the lock that makes its store fail.

The metrics are for charts, and for faults that last until the controller has counted their load reports. No verdict of
the audit depends on them.
"""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable
from pathlib import Path

from .processes import http_get
from .trace import clock


async def poll(http_port: int, begun: float, points: list[dict[str, float]], life: Callable[[], int]) -> None:
    """Append one point to `points` every 250 ms.

    begun: start of the run in ms. life: returns the number of the controller's present incarnation; a point holds the
    one at the time of its request.
    """
    before = (0.0, 0.0)  # sum and count of the acknowledgement times at the last point
    while True:
        await asyncio.sleep(0.25)
        life_at_request = life()
        try:
            _, page = await http_get(http_port, "/metrics")
        except (OSError, asyncio.IncompleteReadError, IndexError):
            before = (0.0, 0.0)
            continue
        rows = {}
        for line in page.decode().splitlines():
            if line.startswith("corallanding_"):
                name, _, value = line.rpartition(" ")
                rows[name.removeprefix("corallanding_")] = float(value)
        point = {
            "t": (clock() - begun) / 1000.0,
            "life": life_at_request,
            "waiting": rows.get("channel_waiting_lines", 0.0),
        }
        total, count = rows.get("publish_to_ack_seconds_sum", 0.0), rows.get("publish_to_ack_seconds_count", 0.0)
        if count > before[1]:
            point["ack_ms"] = (total - before[0]) / (count - before[1]) * 1000.0
        before = (total, count)
        for name, figure in rows.items():
            if name.startswith("load_reports{"):
                point[name.split('"')[1]] = figure
            elif name.startswith("load_"):
                point[name] = figure
        points.append(point)


async def hold_write_lock(path: Path, seconds: float) -> None:
    """Hold the write lock of a SQLite file, so that nobody else can write it."""
    db = sqlite3.connect(path, isolation_level=None)
    try:
        db.execute("begin immediate")
        await asyncio.sleep(seconds)
        db.execute("rollback")
    finally:
        db.close()
