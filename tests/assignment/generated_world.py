"""The world of a generated day: it follows the assigner's actions, and faults and changes strike it by chance."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from corallanding import interface as api
from tests.assignment.generated_fleet import GeneratedFleet

PROXIES = 6


class GeneratedWorld:
    """What one assigner decides on: a fleet, proxies and their unacknowledged versions, timers and health checks."""

    def __init__(self, seed: int, settings: api.Settings) -> None:
        self.chance = random.Random(seed)
        self.settings = settings
        self.now_ms = 100_000.0
        load = (9.0, 16.0, 28.0)[seed % 3]  # idle, busy, more than it can bear
        self.fleet = GeneratedFleet(self.chance, self.settings, load)
        self.owned_slices = set(range(settings.slice_count))
        self.timers: list[tuple[float, int]] = []
        self.unacked: dict[int, list[int]] = {proxy: [] for proxy in range(PROXIES)}
        self.health_checks: list[int] = []
        self.list_version = 1

    def first_events(self, host_count: int) -> list[api.Event]:
        """The saved list, the slices with their stored weights, and the proxies."""
        events: list[api.Event] = [api.HostListUpdate(api.HostListKind.SAVED, 1, self.fleet.entries())]
        for slice_id in range(self.settings.slice_count):
            events.append(api.SliceOwnershipChange(slice_id, True))
            if self.chance.random() < 0.7:
                table = {self.chance.randrange(host_count): 1.0}
                self.fleet.tables[slice_id] = table
                events += [api.StoredWeight(slice_id, host_id, weight) for host_id, weight in table.items()]
        zones = self.settings.zone_count
        return events + [api.ProxyJoined(proxy, proxy % zones, 10.0, True) for proxy in self.unacked]

    def carry_out(self, action: api.Action) -> None:
        """Let the world follow one action."""
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
        """A host list of the next version."""
        self.list_version += 1
        return api.HostListUpdate(kind, self.list_version, entries)

    def change(self, host_id: int, **changes: Any) -> api.HostListUpdate:
        """Change the entry of a host, and list it."""
        host = self.fleet.hosts[host_id]
        host.entry = dataclasses.replace(host.entry, **changes)
        return self.host_list(host.entry)

    def inject_fault(self) -> list[api.Event]:
        """One of sixteen faults and changes, by chance, at a host by chance."""
        host_id = self.chance.choice(list(self.fleet.hosts))
        faults: tuple[Callable[[int], list[api.Event]], ...] = (
            *(self.drain_or_return, self.drain_or_return, self.die, self.hang_or_recover),
            *(self.restart, self.restart, self.reweigh, self.remove),
            *(self.add_host, self.list_some, self.list_all, self.list_nothing),
            *(self.change_ownership, self.change_proxy, self.change_many, self.change_demand),
        )
        fault = faults[self.chance.randrange(len(faults))]
        if fault == self.remove and len(self.fleet.hosts) <= 4:
            fault = self.change_demand
        return fault(host_id)

    def drain_or_return(self, host_id: int) -> list[api.Event]:
        is_up = self.fleet.hosts[host_id].entry.state == "up"
        return [self.change(host_id, state="draining" if is_up else "up")]

    def die(self, host_id: int) -> list[api.Event]:
        self.fleet.hosts[host_id].is_dead = True
        return []

    def hang_or_recover(self, host_id: int) -> list[api.Event]:
        host = self.fleet.hosts[host_id]
        host.is_hung = not host.is_hung
        return []

    def restart(self, host_id: int) -> list[api.Event]:
        host = self.fleet.hosts[host_id]
        host.is_dead = False
        host.is_hung = False
        return [self.change(host_id, state="up", online_since=self.now_ms - self.chance.uniform(0, 2000))]

    def reweigh(self, host_id: int) -> list[api.Event]:
        return [self.change(host_id, weight=self.chance.choice((0.5, 1.0, 1.7, 3.0)))]

    def remove(self, host_id: int) -> list[api.Event]:
        host = self.fleet.hosts.pop(host_id)
        return [self.host_list(dataclasses.replace(host.entry, state=api.HostState.REMOVED))]

    def add_host(self, host_id: int) -> list[api.Event]:
        new_id = max(self.fleet.hosts) + 1
        self.fleet.add(new_id, self.now_ms - self.chance.choice((500.0, 60_000.0)))
        return [self.host_list(self.fleet.hosts[new_id].entry)]

    def list_some(self, host_id: int) -> list[api.Event]:
        entries = [entry for entry in self.fleet.entries() if self.chance.random() < 0.6]
        return [self.host_list(*entries, kind=api.HostListKind.FULL)]

    def list_all(self, host_id: int) -> list[api.Event]:
        return [self.host_list(*self.fleet.entries(), kind=api.HostListKind.FULL)]

    def list_nothing(self, host_id: int) -> list[api.Event]:
        return [self.host_list(kind=self.chance.choice((api.HostListKind.FAILED, api.HostListKind.FULL)))]

    def change_ownership(self, host_id: int) -> list[api.Event]:
        slice_id = self.chance.randrange(self.settings.slice_count)
        if slice_id in self.owned_slices:
            self.owned_slices.discard(slice_id)
            return [api.SliceOwnershipChange(slice_id, False)]
        self.owned_slices.add(slice_id)
        hosts = self.chance.sample(list(self.fleet.hosts), 2)
        table = {listed: self.chance.choice((1.0, 0.5)) for listed in hosts}
        self.fleet.tables[slice_id] = table
        weights = [api.StoredWeight(slice_id, listed, weight) for listed, weight in table.items()]
        return [api.SliceOwnershipChange(slice_id, True), *weights]

    def change_proxy(self, host_id: int) -> list[api.Event]:
        proxy = self.chance.randrange(8)
        if proxy in self.unacked and self.chance.random() < 0.5:
            del self.unacked[proxy]
            return [api.ProxyLeft(proxy)]
        self.unacked[proxy] = []
        return [api.ProxyJoined(proxy, proxy % self.settings.zone_count, 10.0, self.chance.random() < 0.5)]

    def change_many(self, host_id: int) -> list[api.Event]:
        wave = self.chance.sample(list(self.fleet.hosts), len(self.fleet.hosts) // 3)
        return [self.change(listed, state=self.chance.choice(("draining", "up", "up"))) for listed in wave]

    def change_demand(self, host_id: int) -> list[api.Event]:
        """Also events that the assigner passes over."""
        slice_id = self.chance.randrange(self.settings.slice_count)
        self.fleet.demand[slice_id] *= self.chance.choice((0.3, 3.0, 8.0))
        return [api.ProxyUsageReport(1, 0, 3, 1, 1000.0), api.PeerMessage(1, b"x"), api.TimerFired(7)]
