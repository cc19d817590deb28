"""Factors onto the list that the module reads. Pure."""

from __future__ import annotations

from dataclasses import replace

from .. import interface as api


def weigh(event: api.HostListUpdate, factors: dict[int, float]) -> api.HostListUpdate:
    """The same event with the weights of hosts that are up multiplied; the very same where no factor applies."""
    if not any(e.host in factors for e in event.entries):
        return event
    entries = tuple(
        replace(e, weight=e.weight * factors[e.host]) if e.host in factors and e.state == "up" else e
        for e in event.entries
    )
    return replace(event, entries=entries)


def changes(
    entries: dict[int, api.HostEntry], version: int, before: dict[int, float], now: dict[int, float]
) -> api.HostListUpdate | None:
    """The entries whose factor changed, as changes of the list as it stands; None if there are none.

    Only what the list has as up is named: a factor brings back nobody who left.
    """
    moved = [h for h in sorted({*before, *now}) if before.get(h, 1.0) != now.get(h, 1.0)]
    rows = tuple(entries[h] for h in moved if h in entries and entries[h].state == "up")
    return weigh(api.HostListUpdate(api.HostListKind.CHANGES, version, rows), now) if rows else None
