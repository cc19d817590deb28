"""The simulated environment of a generated day: it applies the assigner's actions and injects random faults."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from corallanding import interface as api
from tests.assignment.generated_fleet import GeneratedFleet

PROXIES = 6


class GeneratedWorld:
    """The environment of one assigner: a fleet, proxies with unacknowledged versions, timers and health checks."""

    def __init__(self, seed: int, settings: api.Settings) -> None:
        self.rng = random.Random(seed)
        self.settings = settings
        self.now_ms = 100_000.0
        load = (9.0, 16.0, 28.0)[seed % 3]  # idle, busy, overloaded
        self.fleet = GeneratedFleet(self.rng, self.settings, load)
        self.owned_slices = set(range(settings.slice_count))
        self.timers: list[tuple[float, int]] = []
        self.unacked: dict[int, list[int]] = {proxy: [] for proxy in range(PROXIES)}
        self.health_checks: list[int] = []
        self.list_version = 1

    def initial_events(self, host_count: int) -> list[api.Event]:
        """Return the first events: the saved host list, the slices with their stored weights, and the proxies."""
        events: list[api.Event] = [api.HostListUpdate(api.HostListKind.SAVED, 1, self.fleet.entries())]
        for slice_id in range(self.settings.slice_count):
            events.append(api.SliceOwnershipChange(slice_id, True))
            if self.rng.random() < 0.7:
                table = {self.rng.randrange(host_count): 1.0}
                self.fleet.tables[slice_id] = table
                events += [api.StoredWeight(slice_id, host_id, weight) for host_id, weight in table.items()]
        zones = self.settings.zone_count
        return events + [api.ProxyJoined(proxy, proxy % zones, 10.0, True) for proxy in self.unacked]

    def apply_action(self, action: api.Action) -> None:
        """Apply one action to the environment."""
        match action:
            case api.StartTimer():
                self.timers.append((self.now_ms + action.delay_ms, action.timer))
            case api.CheckHealth():
                self.health_checks.append(action.host)
            case api.SetWeight():
                table = self.fleet.tables[action.slice]
                table.pop(action.host, None)
                if action.weight > 0:
                    table[action.host] = action.weight
            case api.PublishVersion():
                for versions in self.unacked.values():
                    versions.append(action.version)
            case api.Cordon():
                (self.fleet.cordoned.add if action.is_cordoned else self.fleet.cordoned.discard)(action.host)

    # Faults and changes.

    def host_list(
        self, *entries: api.HostEntry, kind: api.HostListKind = api.HostListKind.CHANGES
    ) -> api.HostListUpdate:
        """Return a host list update with the next version."""
        self.list_version += 1
        return api.HostListUpdate(kind, self.list_version, entries)

    def change(self, host_id: int, **changes: Any) -> api.HostListUpdate:
        """Change the entry of a host, and return a list update with it."""
        host = self.fleet.hosts[host_id]
        host.entry = dataclasses.replace(host.entry, **changes)
        return self.host_list(host.entry)

    def inject_fault(self) -> list[api.Event]:
        """Apply a random one of sixteen faults and changes to a random host, and return the resulting events."""
        host_id = self.rng.choice(list(self.fleet.hosts))
        faults: tuple[Callable[[int], list[api.Event]], ...] = (
            *(self.drain_or_return, self.drain_or_return, self.crash, self.hang_or_recover),
            *(self.restart, self.restart, self.change_weight, self.remove),
            *(self.add_host, self.list_some, self.list_all, self.list_none_or_fail),
            *(self.change_ownership, self.change_proxy, self.change_many, self.change_demand),
        )
        fault = faults[self.rng.randrange(len(faults))]
        if fault == self.remove and len(self.fleet.hosts) <= 4:
            fault = self.change_demand
        return fault(host_id)

    def drain_or_return(self, host_id: int) -> list[api.Event]:
        is_up = self.fleet.hosts[host_id].entry.state == "up"
        return [self.change(host_id, state="draining" if is_up else "up")]

    def crash(self, host_id: int) -> list[api.Event]:
        self.fleet.hosts[host_id].is_down = True
        return []

    def hang_or_recover(self, host_id: int) -> list[api.Event]:
        host = self.fleet.hosts[host_id]
        host.is_hung = not host.is_hung
        return []

    def restart(self, host_id: int) -> list[api.Event]:
        host = self.fleet.hosts[host_id]
        host.is_down = False
        host.is_hung = False
        return [self.change(host_id, state="up", online_since=self.now_ms - self.rng.uniform(0, 2000))]

    def change_weight(self, host_id: int) -> list[api.Event]:
        return [self.change(host_id, weight=self.rng.choice((0.5, 1.0, 1.7, 3.0)))]

    def remove(self, host_id: int) -> list[api.Event]:
        host = self.fleet.hosts.pop(host_id)
        return [self.host_list(dataclasses.replace(host.entry, state=api.HostState.REMOVED))]

    def add_host(self, host_id: int) -> list[api.Event]:
        new_id = max(self.fleet.hosts) + 1
        self.fleet.add(new_id, self.now_ms - self.rng.choice((500.0, 60_000.0)))
        return [self.host_list(self.fleet.hosts[new_id].entry)]

    def list_some(self, host_id: int) -> list[api.Event]:
        entries = [entry for entry in self.fleet.entries() if self.rng.random() < 0.6]
        return [self.host_list(*entries, kind=api.HostListKind.FULL)]

    def list_all(self, host_id: int) -> list[api.Event]:
        return [self.host_list(*self.fleet.entries(), kind=api.HostListKind.FULL)]

    def list_none_or_fail(self, host_id: int) -> list[api.Event]:
        return [self.host_list(kind=self.rng.choice((api.HostListKind.FAILED, api.HostListKind.FULL)))]

    def change_ownership(self, host_id: int) -> list[api.Event]:
        slice_id = self.rng.randrange(self.settings.slice_count)
        if slice_id in self.owned_slices:
            self.owned_slices.discard(slice_id)
            return [api.SliceOwnershipChange(slice_id, False)]
        self.owned_slices.add(slice_id)
        hosts = self.rng.sample(list(self.fleet.hosts), 2)
        table = {listed: self.rng.choice((1.0, 0.5)) for listed in hosts}
        self.fleet.tables[slice_id] = table
        weights = [api.StoredWeight(slice_id, listed, weight) for listed, weight in table.items()]
        return [api.SliceOwnershipChange(slice_id, True), *weights]

    def change_proxy(self, host_id: int) -> list[api.Event]:
        proxy = self.rng.randrange(8)
        if proxy in self.unacked and self.rng.random() < 0.5:
            del self.unacked[proxy]
            return [api.ProxyLeft(proxy)]
        self.unacked[proxy] = []
        return [api.ProxyJoined(proxy, proxy % self.settings.zone_count, 10.0, self.rng.random() < 0.5)]

    def change_many(self, host_id: int) -> list[api.Event]:
        changed_ids = self.rng.sample(list(self.fleet.hosts), len(self.fleet.hosts) // 3)
        return [self.change(listed, state=self.rng.choice(("draining", "up", "up"))) for listed in changed_ids]

    def change_demand(self, host_id: int) -> list[api.Event]:
        """Change the demand for a slice, and return events that the assigner ignores."""
        slice_id = self.rng.randrange(self.settings.slice_count)
        self.fleet.demand[slice_id] *= self.rng.choice((0.3, 3.0, 8.0))
        return [api.ProxyUsageReport(1, 0, 3, 1, 1000.0), api.PeerMessage(1, b"x"), api.TimerFired(7)]
