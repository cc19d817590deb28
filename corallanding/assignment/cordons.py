"""Cordons: hosts to which proxies send nothing, whatever their tables contain."""

from __future__ import annotations

import math

from .host_health import HostHealth
from .state import Host, Slice

LINES_PER_MOVE = 2
"""Table entries of a move: one added, one removed."""

REPUBLISHED_SHARE = 0.25
"""Share of the line budget of a message that orders which are published again may take."""

LIFTED_SHARE = 0.25
"""Share of the line budget of a message for the cordons of earlier runs.

Until they are lifted, a proxy may have no host for a slice. Entries that are added take their own lifts along.
"""


class Cordons:
    """Orders cordons, and publishes them again for proxies that joined later (see `CordonDelivery`)."""

    def __init__(self, host_health: HostHealth, slices: dict[int, Slice]) -> None:
        self.host_health = host_health
        self.slices = slices
        self.publication = host_health.publication
        self.delivery = self.publication.cordon_delivery

    def update(self) -> None:
        """Cordon leaving hosts if removing their table entries exceeds the line budget; uncordon hosts that return.

        A cordon excludes a host with one line instead of one for each slice, which matters when many hosts drain at
        once and there are many proxies. Ordinary decisions remove the table entries later. Orders that exceed the
        budget wait for the next message; leaving hosts come first.
        """
        self.delivery.has_fresh_list = self.host_health.host_list.has_fresh_list
        leaving = self._hosts_to_cordon()
        returning = [
            host
            for host in self.host_health.hosts.values()
            if host.is_cordoned and not self.host_health.is_leaving(host)
        ]
        for host in (*leaving, *returning):
            if self.publication.line_budget < 1.0:
                self.publication.postpone()
                return
            self.publication.set_cordon(host, is_cordoned=host in leaving)

    def _hosts_to_cordon(self) -> list[Host]:
        """Return the leaving hosts in tables, if their entries do not fit beside those that wait already."""
        is_leaving = self.host_health.is_leaving
        leaving = {host for host in self.host_health.hosts.values() if is_leaving(host) and not host.is_cordoned}
        if not leaving:
            return []
        leaving = {host for slice_ in self.slices.values() for host in slice_.weights if host in leaving}
        affected = sum(not leaving.isdisjoint(slice_.weights) for slice_ in self.slices.values())
        needed_lines = self.publication.waiting_lines(self.slices.values()) + LINES_PER_MOVE * affected
        if needed_lines <= self.publication.line_budget:
            return []
        return [host for host in self.host_health.hosts.values() if host in leaving]

    def republish_own_orders(self) -> None:
        """Publish the last cordon orders of this run again if a proxy may lack them."""
        own_orders = [host for host in self._due_hosts() if self.delivery.order_messages[host.id]]
        self._republish(own_orders, REPUBLISHED_SHARE)

    def lift_earlier_cordons(self) -> None:
        """Uncordon usable hosts that an earlier run of this controller may have cordoned at a proxy.

        Those whose process started last come first: they have returned while that run could not tell all proxies.
        """
        never_ordered = [host for host in self._due_hosts() if not self.delivery.order_messages[host.id]]
        never_ordered.sort(key=lambda host: -host.process_started_at_ms)
        self._republish(never_ordered, LIFTED_SHARE)

    def _republish(self, hosts: list[Host], share: float) -> None:
        """Publish the state of hosts; what exceeds a share of the line budget waits for the next message."""
        max_lines = max(0, math.ceil(self.publication.line_budget * share))
        for host in hosts[:max_lines]:
            self.publication.set_cordon(host, is_cordoned=host.is_cordoned)

    def _due_hosts(self) -> list[Host]:
        """Return the due hosts in tables whose state is certain."""
        if not self.delivery.due_hosts:
            return []
        hosts_in_tables = {host for slice_ in self.slices.values() for host in slice_.weights}
        due_hosts = [self.host_health.hosts[host_id] for host_id in self.delivery.due_hosts]
        return [host for host in due_hosts if host in hosts_in_tables and self._is_state_certain(host)]

    def _is_state_certain(self, host: Host) -> bool:
        """Return whether a host is cordoned, or listed as usable by a list that is not the saved one."""
        is_usable = host.is_listed and not self.host_health.is_leaving(host)
        return host.is_cordoned or (is_usable and self.host_health.host_list.has_fresh_list)
