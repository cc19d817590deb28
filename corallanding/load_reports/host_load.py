"""The known load of hosts and of their processes, and the influence of a report by its age. No I/O.

Times are milliseconds on the controller's clock, unless said otherwise.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from .envelope import ReportHeader


@dataclass(frozen=True)
class EstimatorPolicy:
    """Parameters of the computation of factors. `docs/reports.md` gives the reason for each value.

    half_life_ms, expiry_ms: ages at which a report has half of its influence and none. window_ms: a factor changes by
    at most one step per window. step: exponent of a step; factors are 2^(-k * step). min_factor: lower bound of
    factors. min_busy_utilization: the factor of a host below it is never lowered. tolerance: difference above the
    fleet's median that is ignored, as a power of two. gain: fraction of the difference to the fleet learned per window.
    min_reporting_share: minimum fraction of the listed hosts with fresh reports. max_lowered_share: maximum fraction of
    the hosts whose factor is lowered in one window. constant_after_ms: a value that is constant for longer loses
    influence as if it aged. max_clock_lead_ms: how far a sender's clock may be ahead: its zero is at most so long
    before the listed start of the process. max_processes: processes of one host.
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
    """Counts of decoded reports by outcome.

    counted: accepted. unlisted: the host is not on the list. former: another process of the host than the listed one.
    repeated: a sequence number that was received before, or is older than the newest. expired: too old. doubtful: the
    age is not proven. crowded: the host has too many processes. The stored names must not change: handovers contain
    them, and they are values of a metric label.
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
    """A process that sends reports. Its values do not depend on the order in which the reports arrive.

    Each value is a minimum, a maximum or the newest. started_ms: start on the wall clock, as in the host list.
    changed_uptime_ms: newest uptime at which it reported another value. first_uptime_ms: lowest uptime reported.
    clock_zero_ms: minimum of arrival time minus uptime, an upper bound of the zero of its clock on the controller's
    clock. proven_zero_ms: the same, by reports of proven age only.
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
        """Update the bounds of the zero of the process's clock by a report. It is never set before `min_zero_ms`."""
        zero_ms = arrived_at_ms - uptime_ms
        self.clock_zero_ms = max(min(self.clock_zero_ms, zero_ms), min_zero_ms)
        if is_proven:
            self.proven_zero_ms = min(self.proven_zero_ms, zero_ms)
        self.first_uptime_ms = min(self.first_uptime_ms, uptime_ms)

    def accept(self, arrived_at_ms: float, header: ReportHeader, utilization: float) -> bool:
        """Store a report and return true if it is newer than all others of the process."""
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

    def age_ms(self, now_ms: float, policy: EstimatorPolicy) -> float:
        """Return the age of its newest report in ms; infinity if no report had a proven age."""
        if self.proven_zero_ms == math.inf:
            return math.inf
        age_ms = now_ms - (min(self.clock_zero_ms, self.proven_zero_ms) + self.uptime_ms)
        constant_ms = self.uptime_ms - max(self.changed_uptime_ms, self.first_uptime_ms)
        return max(0.0, age_ms, now_ms - self.arrived_at_ms, age_ms + constant_ms - policy.constant_after_ms)


class HostLoad(msgspec.Struct):
    """The known load of one host.

    started_at_ms: start of its process, 0 if long ago. list_started_ms: the same as stated in the host list.
    warm_at_ms: end of its warm-up. learned: log2 of the learned factor, 0 or less. level: published number of steps
    below 1. attempts, failed, latency_ms: as observed by proxies; the counts decay.
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
    """Return the influence of a report by its age: 1 if new, half after each half-life, 0 from the expiry on."""
    if age_ms >= policy.expiry_ms:
        return 0.0
    return math.pow(2.0, -max(0.0, age_ms) / policy.half_life_ms)
