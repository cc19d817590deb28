"""Comparison of the tables of proxies with those published by controllers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from .forwarder import Proxy


async def count_table_differences(forwarders: list[Proxy], laid: Callable[[], Awaitable[dict[int, set[int]]]]) -> int:
    """Count the table lines in which connected proxies differ from the controllers; wait up to 6 s for equality.

    laid: returns hosts by slice as published by the controllers; raises OSError if a controller does not respond.
    """
    differences = 0
    for _ in range(60):
        try:
            tables = await laid()
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.1)
            continue
        joined = [f for f in forwarders if f.joined]
        differences = sum(len(tables[t] ^ set(f.tables.get(t, ()))) for f in joined for t in tables)
        if not differences and len(joined) == len(forwarders):
            return 0
        await asyncio.sleep(0.1)
    return differences


async def wait_for_tables(forwarders: list[Proxy], slices: int) -> None:
    """Wait until each proxy has a host for every slice. Raises RuntimeError if that takes longer than 10 s."""
    for _ in range(400):
        await asyncio.sleep(0.025)
        filled_slices = [sum(1 for t in f.tables.values() if t) for f in forwarders]
        if min(filled_slices) == slices:
            return
    raise RuntimeError(f"a proxy has no complete table after 10 s ({min(filled_slices)} of {slices} slices)")
