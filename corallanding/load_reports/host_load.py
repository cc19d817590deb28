"""What is known of the load of hosts and of their processes, and how much a report counts by its age. Pure.

Times are milliseconds on the controller's clock, unless said otherwise.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from .envelope import ReportHeader


@dataclass(frozen=True)
class EstimatorPolicy:
    """How reports become factors. `docs/reports.md` says why each value stands.

    window_ms: a factor moves one step in a window at most. step: in powers of two: factors are 2^(-k * step).
    min_factor: no factor is lower. min_busy_utilization: a host below it is never lowered. tolerance: powers of two
    above the fleet's median that are ignored. gain: part of the difference to the fleet that is learned in a window.
    min_reporting_share: of the listed hosts, which must have fresh reports. max_lowered_share: of the hosts, whose
    factor may be lowered in a window. constant_after_ms: a value repeated for longer loses influence as if it aged.
    max_clock_lead_ms: how far ahead of its quickest report a sender's clock may run.
    """

    half_life_ms: float = 5_000.0
    expiry_ms: float = 20_000.0
    window_ms: float = 5_000.0
    step: float = 0.25
    min_factor: float = 0.5
    min_busy_utilization: float = 0.4
    tolerance: float = 0.4
    gain: float = 0.5
    min_reporting_share: float = 0.5
    max_lowered_share: float = 0.1
    constant_after_ms: float = 60_000.0
    max_clock_lead_ms: float = 2_000.0
    max_processes: int = 64


class ReportCounts(msgspec.Struct):
    """What became of reports that were read.

    counted: changed what is known of their host. unlisted: of no host on the list. former: of another process of the
    host than the list has. repeated: a sequence number seen before, or older than the newest. doubtful: age not proven.
    crowded: more processes than a host may have. The stored names are frozen: handovers hold them, and metrics have
    them as values of a label.
    """

    counted: int = msgspec.field(name="counted", default=0)
    unlisted: int = msgspec.field(name="unlisted", default=0)
    former: int = msgspec.field(name="former", default=0)
    repeated: int = msgspec.field(name="repeated", default=0)
    expired: int = msgspec.field(name="expired", default=0)
    doubtful: int = msgspec.field(name="doubtful", default=0)
    crowded: int = msgspec.field(name="crowded", default=0)

    def by_name(self) -> dict[str, int]:
        """Return the counts by their stored names."""
        return {name: int(count) for name, count in msgspec.to_builtins(self).items()}


class ProcessLoad(msgspec.Struct):
    """One process that reports. All values are a minimum, a maximum or the newest: the order of arrival is irrelevant.

    started_ms: wall clock, as in the host list. changed_uptime_ms: newest uptime at which it reported another value.
    first_uptime_ms: oldest uptime reported. clock_zero_ms: the least of arrival minus uptime, where its clock's zero
    lies on ours at the latest; proven_zero_ms: the same, from reports whose age was proven.
    """

    started_ms: int = msgspec.field(name="started")
    seq: int = msgspec.field(name="seq", default=-1)
    utilization: float = msgspec.field(name="utilization", default=0.0)
    uptime_ms: float = msgspec.field(name="uptime", default=0.0)
    arrived_at_ms: float = msgspec.field(name="arrived", default=0.0)
    changed_uptime_ms: float = msgspec.field(name="other", default=-math.inf)
    first_uptime_ms: float = msgspec.field(name="first", default=math.inf)
    clock_zero_ms: float = msgspec.field(name="base", default=math.inf)
    proven_zero_ms: float = msgspec.field(name="proven", default=math.inf)

    def observe_clock(self, arrived_at_ms: float, uptime_ms: float, min_zero_ms: float, *, is_proven: bool) -> None:
        """Learn from a report where the zero of the process's clock lies. It is not before `min_zero_ms`."""
        zero_ms = arrived_at_ms - uptime_ms
        self.clock_zero_ms = max(min(self.clock_zero_ms, zero_ms), min_zero_ms)
        if is_proven:
            self.proven_zero_ms = min(self.proven_zero_ms, zero_ms)
        self.first_uptime_ms = min(self.first_uptime_ms, uptime_ms)

    def accept(self, arrived_at_ms: float, header: ReportHeader, utilization: float) -> bool:
        """Store a report if it is the newest; false if a newer one came, or the same."""
        is_changed = utilization != self.utilization
        if header.seq <= self.seq:
            if header.seq < self.seq and is_changed:
                self.changed_uptime_ms = max(self.changed_uptime_ms, header.uptime_ms)
            return False
        if self.seq >= 0 and is_changed:
            self.changed_uptime_ms = max(self.changed_uptime_ms, self.uptime_ms)
        self.seq = header.seq
        self.uptime_ms = header.uptime_ms
        self.arrived_at_ms = arrived_at_ms
        self.utilization = utilization
        return True

    def age_ms(self, now: float, policy: EstimatorPolicy) -> float:
        """Return the age of its newest report; infinite if that was never proven."""
        if self.proven_zero_ms == math.inf:
            return math.inf
        age_ms = now - (min(self.clock_zero_ms, self.proven_zero_ms) + self.uptime_ms)
        constant_ms = self.uptime_ms - max(self.changed_uptime_ms, self.first_uptime_ms)
        return max(0.0, age_ms, now - self.arrived_at_ms, age_ms + constant_ms - policy.constant_after_ms)


class HostLoad(msgspec.Struct):
    """One host.

    started_at_ms: of its process, 0 for long ago. list_started_ms: the same as in the host list. warm_at_ms: when it
    is no longer warming up. learned: log2 of the factor as learned, 0 or less. level: steps below 1, as published.
    attempts, failed, latency_ms: what proxies observed; the counts decay.
    """

    started_at_ms: float = msgspec.field(name="since", default=0.0)
    list_started_ms: int = msgspec.field(name="started", default=0)
    warm_at_ms: float = msgspec.field(name="warm_at", default=0.0)
    processes: dict[int, ProcessLoad] = msgspec.field(name="processes", default_factory=dict)
    learned: float = msgspec.field(name="learnt", default=0.0)
    level: int = msgspec.field(name="level", default=0)
    attempts: float = msgspec.field(name="tries", default=0.0)
    failed: float = msgspec.field(name="bad", default=0.0)
    latency_ms: float = msgspec.field(name="latency", default=0.0)


def influence(age_ms: float, policy: EstimatorPolicy) -> float:
    """Return how much a report of that age counts: 1 if new, half after each half-life, 0 from the expiry on."""
    if age_ms >= policy.expiry_ms:
        return 0.0
    return math.pow(2.0, -max(0.0, age_ms) / policy.half_life_ms)
