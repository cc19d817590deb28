"""Describes what warming hosts are given: the load that is counted, and the table entries behind it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .state import Host, Slice


@dataclass
class WarmingLoad:
    """What the slices of this controller send to one warming host.

    `entries` counts the tables that name the host, `owned` and `replicas` those in which it is owner or replica; any
    others name a previous owner or are not removed yet. `unreported` counts the entries of slices without a usage
    report, whose rate is assumed.
    """

    host: Host
    entries: int = 0
    owned: int = 0
    replicas: int = 0
    unreported: int = 0

    @property
    def utilization(self) -> float:
        """The counted load divided by the fair load; 0.0 while that is unknown."""
        return self.host.utilization()


def warming_loads(hosts: Iterable[Host], slices: Iterable[Slice]) -> list[WarmingLoad]:
    """Return what each listed host that warms up is given by these slices."""
    loads = {host: WarmingLoad(host) for host in hosts if host.is_warming_up and host.is_listed}
    if not loads:
        return []
    for slice_ in slices:
        for host in loads.keys() & {slice_.owner, *slice_.replicas, *slice_.weights}:
            _add_slice(loads[host], slice_)
    return list(loads.values())


def _add_slice(load: WarmingLoad, slice_: Slice) -> None:
    load.entries += load.host in slice_.weights
    load.owned += load.host is slice_.owner
    load.replicas += load.host in slice_.replicas
    load.unreported += not slice_.rate_by_class
