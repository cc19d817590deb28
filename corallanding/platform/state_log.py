"""Log lines on changes of the assigner's state: hosts, slices, proxies, and what warming hosts are given."""

from __future__ import annotations

import math
from collections.abc import Iterator

from ..assignment import Assigner
from ..assignment.state import Host
from ..assignment.warming_load import WarmingLoad, warming_loads
from ..host_names import host_name

MAX_LINES = 12
"""Lines of one call; the others are counted."""

HIGH_UTILIZATION = 1.2
"""Share of its fair load above which the load of a warming host is logged."""


class StateLog:
    """Compares the state of an assigner with that of the previous call, and describes what has changed."""

    def __init__(self, assigner: Assigner) -> None:
        self.assigner = assigner
        self.host_states: dict[int, str] = {}
        self.start_times_ms: dict[int, float] = {}
        self.slices: set[int] = set()
        self.proxies: set[int] = set()

    def lines(self, now_ms: float) -> list[str]:
        """Return the lines on what has changed since the previous call, `MAX_LINES` at most."""
        lines = [*self._slice_lines(), *self._proxy_lines(), *self._warming_lines(now_ms), *self._host_lines(now_ms)]
        if len(lines) > MAX_LINES:
            lines[MAX_LINES - 1 :] = [f"{len(lines) - MAX_LINES + 1} more changes"]
        return lines

    def _slice_lines(self) -> Iterator[str]:
        slices = set(self.assigner.slices)
        granted = len(slices - self.slices)
        revoked = len(self.slices - slices)
        self.slices = slices
        if granted or revoked:
            unreported = sum(not slice_.rate_by_class for slice_ in self.assigner.slices.values())
            yield f"slices: {granted} granted, {revoked} revoked, {unreported} of {len(slices)} without a report"

    def _proxy_lines(self) -> Iterator[str]:
        proxies = set(self.assigner.pending_versions.unacked_by_proxy)
        joined = len(proxies - self.proxies)
        left = len(self.proxies - proxies)
        self.proxies = proxies
        if joined or left:
            yield f"proxies: {joined} joined, {left} left, {len(proxies)} now"

    def _warming_lines(self, now_ms: float) -> Iterator[str]:
        loads = warming_loads(self.assigner.hosts.values(), self.assigner.slices.values())
        for load in sorted(loads, key=lambda load: -load.utilization):
            if load.utilization > HIGH_UTILIZATION or load.entries > load.owned + load.replicas:
                yield _describe_warming(load, now_ms)

    def _host_lines(self, now_ms: float) -> Iterator[str]:
        for host in self.assigner.hosts.values():
            state = self._state(host)
            former = self.host_states.get(host.id)
            self.host_states[host.id] = state
            has_restarted = host.process_started_at_ms != self.start_times_ms.get(host.id, host.process_started_at_ms)
            self.start_times_ms[host.id] = host.process_started_at_ms
            if former is not None and (state != former or has_restarted):
                yield f"host {host_name(host.id)}: {former} -> {state}{_describe_age(host, now_ms)}"
        for host_id in self.host_states.keys() - self.assigner.hosts.keys():
            del self.host_states[host_id], self.start_times_ms[host_id]

    def _state(self, host: Host) -> str:
        if host.is_cordoned:
            return "cordoned"
        if self.assigner.host_health.is_leaving(host):
            return "leaving"
        if not host.is_eligible:
            return "not eligible" if host.failed_at_ms == -math.inf else "failing"
        return "warming up" if host.is_warming_up else "eligible"


def _describe_age(host: Host, now_ms: float) -> str:
    if not host.is_warming_up:
        return ""
    stated_ms = now_ms - host.entry.online_since
    return f", started {now_ms - host.process_started_at_ms:.0f} ms ago, {stated_ms:.0f} ms by its own clock"


def _describe_warming(load: WarmingLoad, now_ms: float) -> str:
    host = load.host
    return (
        f"warming host {host_name(host.id)}: load {host.load:.1f} of {host.fair_load:.1f} a second at "
        f"{now_ms - host.process_started_at_ms:.0f} ms, {load.entries} entries, owner of {load.owned}, "
        f"replica of {load.replicas}, {load.unreported} without a report"
    )
