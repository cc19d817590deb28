"""A small simulated fleet: hosts whose latency and failures depend on their load, and the resulting usage reports."""

from __future__ import annotations

import dataclasses
import random
from collections import defaultdict

from corallanding import interface as api

BASE_LATENCY_MS = 150.0
CAPACITY = 8000.0  # requests per second of a host of weight 1, multiplied by its latency in ms
REPORT_ARRIVAL_PROBABILITY = 0.95  # probability that a usage report arrives


@dataclasses.dataclass
class GeneratedHost:
    """The actual state of a host, and its entry in the host list."""

    entry: api.HostEntry
    latency_ms: float
    is_down: bool = False
    is_hung: bool = False

    @property
    def answers(self) -> bool:
        """Whether it answers requests and health checks."""
        return not self.is_down and not self.is_hung

    @property
    def capacity(self) -> float:
        """Requests per second that it can answer in time."""
        return CAPACITY / self.latency_ms * self.entry.weight


class GeneratedFleet:
    """Hosts, the demand for slices and the tables that proxies use. All randomness is from one generator, in order."""

    def __init__(self, rng: random.Random, settings: api.Settings, load: float) -> None:
        self.rng = rng
        self.settings = settings
        self.load = load  # mean requests per second per host
        self.demand = [rng.paretovariate(1.3) * 3.0 for _ in range(settings.slice_count)]
        self.hosts: dict[int, GeneratedHost] = {}
        self.tables: dict[int, dict[int, float]] = {slice_id: {} for slice_id in range(settings.slice_count)}
        self.cordoned: set[int] = set()

    def add(self, host_id: int, started_at_ms: float) -> None:
        """Add a host of a random kind."""
        kind = self.rng.randrange(3)
        weight = (1.0, 2.0, 0.5)[kind]
        zone = host_id % self.settings.zone_count
        entry = api.HostEntry(host_id, zone, kind, weight=weight, online_since=started_at_ms)
        latency_ms = BASE_LATENCY_MS * (1.0 + kind) * self.rng.uniform(0.8, 1.3)
        self.hosts[host_id] = GeneratedHost(entry, latency_ms)

    def entries(self) -> tuple[api.HostEntry, ...]:
        """Return the host list entries of all hosts."""
        return tuple(host.entry for host in self.hosts.values())

    def usage_reports(self, now_ms: float) -> list[api.Event]:
        """Return the usage reports of the last second.

        Latency increases with load, warming hosts have less capacity, and hosts that are down or hung do not answer.
        """
        scale = self.load * len(self.hosts) / sum(self.demand) * self.rng.choice((0.7, 1.0, 1.0, 1.6))
        loads = self._loads(scale)
        attempts: dict[int, int] = defaultdict(int)
        failures: dict[int, int] = defaultdict(int)
        reports: list[api.Event] = []
        for slice_id, table in self.tables.items():
            requests = int(self.demand[slice_id] * scale * self.rng.uniform(0.8, 1.2))
            unanswered = 0
            for host_id in table or [-1]:
                host_attempts = requests // max(1, len(table))
                failed = self._failed(host_id, host_attempts, loads, now_ms)
                unanswered += failed
                attempts[host_id] += host_attempts
                failures[host_id] += failed
            span_ms = 1000.0 * self.rng.choice((1.0, 1.0, 2.0))
            reports.append(api.SliceUsageReport(slice_id, slice_id % 2, requests, unanswered, span_ms))
        for host_id, host_attempts in attempts.items():
            if host_id >= 0:
                reports.append(self._host_report(host_id, host_attempts, failures[host_id], loads))
        return [report for report in reports if self.rng.random() < REPORT_ARRIVAL_PROBABILITY]

    def _loads(self, scale: float) -> dict[int, float]:
        """Return the requests per second at each host."""
        loads = dict.fromkeys(self.hosts, 0.0)
        for slice_id, table in self.tables.items():
            for host_id in table:
                if host_id in loads and host_id not in self.cordoned:
                    loads[host_id] += self.demand[slice_id] * scale / len(table)
        return loads

    def _failed(self, host_id: int, attempts: int, loads: dict[int, float], now_ms: float) -> int:
        """Return how many of the attempts at a host are not answered."""
        host = self.hosts.get(host_id)
        if host is None or not host.answers:
            return attempts
        capacity = host.capacity
        capacity *= 0.3 if now_ms - host.entry.online_since < self.settings.warm_up_ms else 1.0
        return int(attempts * max(0.0, 1.0 - capacity * 1.5 / max(loads[host_id], 0.01)))

    def _host_report(self, host_id: int, attempts: int, failed: int, loads: dict[int, float]) -> api.HostUsageReport:
        host = self.hosts.get(host_id)
        latency_ms = 0.0
        if host and attempts > failed:
            overload = loads.get(host_id, 0.0) / host.capacity
            latency_ms = host.latency_ms * (1.0 + min(overload, 3.0) ** 2)
        zone = host_id % self.settings.zone_count
        return api.HostUsageReport(zone, host_id, attempts, failed, latency_ms, 1000.0)
