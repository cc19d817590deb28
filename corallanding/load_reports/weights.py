"""Applies factors to the weights of the host list for the assigner. No I/O."""

from __future__ import annotations

from dataclasses import replace

from .. import interface as api


def apply_factors(event: api.HostListUpdate, factors: dict[int, float]) -> api.HostListUpdate:
    """Return the event with the weights of hosts that are up multiplied; the same object if no factor applies."""
    if not any(entry.host in factors for entry in event.entries):
        return event
    entries = tuple(
        replace(entry, weight=entry.weight * factors[entry.host])
        if entry.host in factors and entry.state == "up"
        else entry
        for entry in event.entries
    )
    return replace(event, entries=entries)


def factor_changes(
    entries: dict[int, api.HostEntry], version: int, old_factors: dict[int, float], new_factors: dict[int, float]
) -> api.HostListUpdate | None:
    """Return the entries whose factor changed, as an update of the current list; None if there are none.

    It contains only hosts that are listed as up, so that a change of a factor cannot bring back a host that left.
    """
    changed = [
        host
        for host in sorted({*old_factors, *new_factors})
        if old_factors.get(host, 1.0) != new_factors.get(host, 1.0)
    ]
    rows = tuple(entries[host] for host in changed if host in entries and entries[host].state == "up")
    if not rows:
        return None
    return apply_factors(api.HostListUpdate(api.HostListKind.CHANGES, version, rows), new_factors)
