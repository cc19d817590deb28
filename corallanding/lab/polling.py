"""What the steward says of itself, for charts and for faults that last until it has counted their reports: no
rule's verdict hangs on it. And its store, held by another."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable
from pathlib import Path

from .processes import http_get
from .trace import clock


async def poll(door: int, begun: float, points: list[dict[str, float]], life: Callable[[], int]) -> None:
    """life: which life of the steward runs now. A point has the life that ran when the page was asked for."""
    before = (0.0, 0.0)
    while True:
        await asyncio.sleep(0.25)
        life_at_request = life()
        try:
            _, page = await http_get(door, "/metrics")
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


async def hold(path: Path, seconds: float) -> None:
    """The file cannot be written meanwhile."""
    db = sqlite3.connect(path, isolation_level=None)
    try:
        db.execute("begin immediate")
        await asyncio.sleep(seconds)
        db.execute("rollback")
    finally:
        db.close()
