"""Slices that must leave their hosts at once: of failing, draining and gone hosts, and of warming ones that fail."""

from __future__ import annotations

from .host_health import HostHealth
from .limits import OVERLOAD_RATIO, SHED_UTILIZATION
from .placement import Placement
from .state import FleetEstimate, Host, Slice

WARM_UP_OVERLOAD_SHARE = 0.5
"""Part of the site's overload factor: utilization at which a warming host sheds slices at once."""

WARM_UP_OVERLOAD_RATIO = SHED_UTILIZATION * OVERLOAD_RATIO
"""Latency ratio at which a warming host sheds half of its load at once."""

LINES_PER_MOVE = 2
"""Table entries of a move: one added, one removed."""


class Evacuation:
    """Gives slices without a usable owner to other hosts, without gate or hold, in the step in which it is noticed."""

    def __init__(
        self, host_health: HostHealth, slices: dict[int, Slice], placement: Placement, fleet: FleetEstimate
    ) -> None:
        self.settings = host_health.settings
        self.host_health = host_health
        self.slices = slices
        self.placement = placement
        self.fleet = fleet
        self.publication = host_health.publication

    def evacuate_unavailable_hosts(self) -> None:
        """Reassign the slices without a usable owner: those of leaving hosts first, then the busiest."""
        self._update_cordons()
        self._drop_ineligible_hosts()
        has_fresh_list = self.host_health.host_list.has_fresh_list
        unsure = (h for h in self.host_health.hosts.values() if not (h.is_listed or has_fresh_list))
        staying = {*self.fleet.eligible_hosts, *unsure}
        orphaned = [s for s in self.slices.values() if s.owner not in staying]
        orphaned += self._unload_overloaded_warming_hosts()
        for s in sorted(orphaned, key=self._urgency):
            self._reassign(s)

    def _urgency(self, s: Slice) -> tuple[bool, float, int]:
        return (not s.owner or not self.host_health.is_leaving(s.owner), -s.requests_per_second, s.id)

    def _reassign(self, s: Slice) -> None:
        if s.replicas:
            replica = max(s.replicas, key=lambda h: self.placement.score(s, h))
            self.placement.assign_owner(s, replica, holds_previous=False)
        elif destination := self.placement.best_host(s, s.load_per_host, is_required=True):
            self.placement.assign_owner(s, destination, holds_previous=False)
        elif s.owner and self.host_health.is_leaving(s.owner):
            s.owner = None  # no host is left; the drain is kept all the same
            self.publication.write_table(s)

    def _drop_ineligible_hosts(self) -> None:
        """Take replicas and previous owners that fail out of the tables; write first what found no room before."""
        for s in self.slices.values():
            s.replicas = s.replicas and [h for h in s.replicas if h.is_eligible]
            if s.previous_owner and not s.previous_owner.is_eligible:
                s.previous_owner = None
            if s.owner and s.owner.is_eligible:
                self.publication.write_table(s)

    def _update_cordons(self) -> None:
        """Cordon leaving hosts if their table entries exceed the line budget; lift it when a host is back.

        A cordon shuts a host out by one line instead of one a slice, as in a wave of drains before many proxies. Its
        entries are removed by ordinary decisions.
        """
        is_leaving = self.host_health.is_leaving
        leaving = {h for h in self.host_health.hosts.values() if is_leaving(h) and not h.is_cordoned}
        if leaving:
            leaving = {h for s in self.slices.values() for h in s.weights if h in leaving}
        affected = sum(not leaving.isdisjoint(s.weights) for s in self.slices.values()) if leaving else 0
        exceeds_budget = LINES_PER_MOVE * affected > self.publication.line_budget
        for h in self.host_health.hosts.values():
            is_cordoned = is_leaving(h) and (h.is_cordoned or (exceeds_budget and h in leaving))
            if h.is_cordoned != is_cordoned:
                self.publication.set_cordon(h, is_cordoned=is_cordoned)

    def _unload_overloaded_warming_hosts(self) -> list[Slice]:
        """Take the slices that are too much off warming hosts, if another host is there; returns them, without owner.

        Such a host died with its slices and came back, or its slices grew. It would fail before gate and hold end.
        """
        eligible_hosts = self.fleet.eligible_hosts
        if all(h.is_warming_up for h in eligible_hosts):
            return []
        slices_by_host: dict[Host, list[Slice]] = {h: [] for h in eligible_hosts if h.is_warming_up}
        if not slices_by_host:
            return []
        for s in self.slices.values():
            if s.owner in slices_by_host:
                slices_by_host[s.owner].append(s)
        taken: list[Slice] = []
        for h, owned in slices_by_host.items():
            taken += self._unload(h, owned)
        return taken

    def _unload(self, h: Host, owned: list[Slice]) -> list[Slice]:
        max_utilization = WARM_UP_OVERLOAD_SHARE * self.settings.overload_factor
        since_shed_ms = self.publication.now_ms - h.shed_at_ms
        if h.latency_ratio > WARM_UP_OVERLOAD_RATIO and since_shed_ms > self.fleet.report_window_ms:
            max_utilization = min(max_utilization, h.utilization() / 2)
            h.shed_at_ms = self.publication.now_ms
        taken: list[Slice] = []
        for s in sorted(owned, key=lambda s: (-s.requests_per_second, s.id)):
            if h.utilization() > max_utilization:
                self.placement.shift_load(h, -s.load_per_host)
                s.owner = None
                taken.append(s)
        return taken
