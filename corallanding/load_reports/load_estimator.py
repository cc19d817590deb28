"""Estimates from load reports by which factor the listed weight of each host is multiplied. Pure.

A factor starts at 1 and only lowers the listed weight, never below `min_factor`: a host that reports to be idle gets
what it would get anyway, so that requests do not herd onto it. The influence of a report halves with each half-life of
its age and ends at the expiry; without reports every factor is exactly 1.

The age of a report is not taken on trust. One that echoes a recent nonce of this controller is at most as old as the
nonce. Without an echo, its age is counted on the sender's own monotonic clock from the quickest report of that process;
a process whose reports were never proven to be recent, by an echo, or by a start or a wall clock that agrees, counts
for nothing.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from .envelope import ReportHeader
from .host_load import EstimatorPolicy, HostLoad, ProcessLoad, ReportCounts, influence
from .orca import ReportedLoad

UNKNOWN_TRUST = 0.5
MIN_TRUST = 0.25
MIN_ATTEMPTS_TO_COMPARE = 4.0
MAX_FAILED_SHARE = 0.2
"""A host with more failures is overloaded, whatever its latency."""
LATENCY_AVERAGE_COUNT = 6.0
"""Weight of the present average of latency, in attempts."""
MIN_UTILIZATION = 0.01
MIN_LEVEL_CHANGE = 0.75
"""Steps that must be missing before a published level moves."""


class ListedStart(NamedTuple):
    """Start of a host's process, on the controller's clock and as in the host list; and when it is warm."""

    started_at_ms: float
    list_started_ms: int
    warm_at_ms: float


class ReportedUtilization(NamedTuple):
    """A host's utilization by its processes' reports, and how much that counts, from 0 to 1."""

    utilization: float
    confidence: float


def median(values: list[float]) -> float:
    """Return the upper median; 0 without values."""
    return sorted(values)[len(values) // 2] if values else 0.0


class LoadEstimator:
    """Takes events (`set_hosts`, `add_nonce`, `on_report`, `on_usage`) and computes `factors`."""

    def __init__(self, policy: EstimatorPolicy) -> None:
        self.policy = policy
        self.hosts: dict[int, HostLoad] = {}
        self.nonces: dict[bytes, float] = {}  # recent ones of this controller, when issued
        self.counts = ReportCounts()
        self.updated_at_ms = -math.inf

    def set_hosts(self, hosts: dict[int, ListedStart]) -> None:
        """Set the hosts that may report. What a former process of a host reported is dropped."""
        for number in [number for number in self.hosts if number not in hosts]:
            del self.hosts[number]
        for number, start in hosts.items():
            known = self.hosts.get(number)
            if known is None or known.list_started_ms != start.list_started_ms:
                self.hosts[number] = HostLoad(*start)

    def add_nonce(self, now: float, nonce: bytes) -> None:
        """Note that `nonce` is sent to senders from now on. Nonces are known until the expiry."""
        self.nonces[nonce] = now
        expired = [old for old, issued_at in self.nonces.items() if now - issued_at > self.policy.expiry_ms]
        for old in expired:
            del self.nonces[old]

    # ---- reports ---------------------------------------------------------------------------------------

    def on_report(self, arrived_at_ms: float, wall_ms: float, header: ReportHeader, load: ReportedLoad) -> bool:
        """Take one report. True if it is the newest of its process, and counts.

        Guards against replays, clocks that are off, former processes and repetitions. A sender that echoes no nonce and
        whose start and clock both disagree with ours counts for nothing, though it may be honest.
        """
        host = self.hosts.get(header.host)
        if host is None:
            self.counts.unlisted += 1
            return False
        process = self._process(host, header)
        if process is None:
            return False
        is_proven = self._is_proven(arrived_at_ms, wall_ms, host, header)
        # A clock cannot have run before its process: a report "from the future" would make all others look old.
        min_zero_ms = host.started_at_ms - self.policy.max_clock_lead_ms if host.list_started_ms else -math.inf
        process.observe_clock(arrived_at_ms, header.uptime_ms, min_zero_ms, is_proven=is_proven)
        if not process.accept(arrived_at_ms, header, load.utilization):
            self.counts.repeated += 1
            return False
        age_ms = process.age_ms(arrived_at_ms, self.policy)
        if age_ms == math.inf:
            self.counts.doubtful += 1
            return False
        if age_ms >= self.policy.expiry_ms:
            self.counts.expired += 1
            return False
        self.counts.counted += 1
        return True

    def _process(self, host: HostLoad, header: ReportHeader) -> ProcessLoad | None:
        """Return the process that sent the report; None if it is a former one, or one too many."""
        if host.list_started_ms and header.process_started_ms != host.list_started_ms:
            self.counts.former += 1
            return None
        known = host.processes.get(header.process)
        if known is not None and known.started_ms > header.process_started_ms:
            self.counts.former += 1
            return None
        if known is not None and known.started_ms == header.process_started_ms:
            return known
        if known is None and len(host.processes) >= self.policy.max_processes:
            self.counts.crowded += 1
            return None
        process = ProcessLoad(header.process_started_ms)
        host.processes[header.process] = process
        return process

    def _is_proven(self, arrived_at_ms: float, wall_ms: float, host: HostLoad, header: ReportHeader) -> bool:
        """Whether a report shows that it is recent: by its nonce, or by a start or a wall clock that agrees."""
        half_life_ms = self.policy.half_life_ms
        issued_at_ms = self.nonces.get(header.echoed_nonce)
        if issued_at_ms is not None and arrived_at_ms - issued_at_ms < half_life_ms:
            return True
        clock_zero_ms = arrived_at_ms - header.uptime_ms
        if host.list_started_ms > 0 and abs(clock_zero_ms - host.started_at_ms) < half_life_ms:
            return True
        return abs(wall_ms - header.sent_at_ms) < half_life_ms

    def on_usage(self, number: int, attempts: int, failed: int, latency_ms: float) -> None:
        """Take what proxies observed at a host, as the assigner gets it."""
        host = self.hosts.get(number)
        if host is None:
            return
        succeeded = attempts - failed
        host.attempts += attempts
        host.failed += failed
        if succeeded > 0:
            share = succeeded / (succeeded + LATENCY_AVERAGE_COUNT) if host.latency_ms else 1.0
            host.latency_ms += (latency_ms - host.latency_ms) * share

    # ---- factors ---------------------------------------------------------------------------------------

    def reported(self, now: float, host: HostLoad) -> ReportedUtilization:
        """Return a host's utilization as its processes reported it."""
        parts = [
            (influence(process.age_ms(now, self.policy), self.policy), process.utilization)
            for process in host.processes.values()
        ]
        total = sum(weight for weight, _ in parts)
        if not total:
            return ReportedUtilization(0.0, 0.0)
        utilization = sum(weight * utilization for weight, utilization in parts) / total
        # Processes that fell silent lower the confidence: a host is as well known as its processes are.
        return ReportedUtilization(utilization, total / len(parts))

    def update(self, now: float) -> bool:
        """Learn from fresh reports and move published levels, once a window. True if any factor changed."""
        is_changed = self._drop_expired(now)
        if now - self.updated_at_ms < self.policy.window_ms:
            return is_changed
        self.updated_at_ms = now
        reported = {number: self.reported(now, host) for number, host in self.hosts.items()}
        fresh_count = sum(1 for row in reported.values() if row.confidence > 0.0)
        # With too few reports to know what is usual nothing is learned; what was learned ends with its reports.
        if fresh_count >= max(1.0, self.policy.min_reporting_share * len(self.hosts)):
            self._learn(now, reported)
        return self._move_levels(reported) or is_changed

    def _learn(self, now: float, reported: dict[int, ReportedUtilization]) -> None:
        """Lower a host above the fleet's median until it is there; a host below it gets its own weight back."""
        policy = self.policy
        fresh = {number: row for number, row in reported.items() if row.confidence > 0.0}
        usual = max(median([row.utilization for row in fresh.values()]), policy.min_busy_utilization)
        usual_latency_ms = median([host.latency_ms for host in self.hosts.values() if host.latency_ms])
        for number, row in fresh.items():
            host = self.hosts[number]
            if now < host.warm_at_ms:
                host.learned = 0.0  # the assigner accounts for hosts that are warming up
                continue
            ratio = max(-1.0, min(1.0, math.log2(usual / max(row.utilization, MIN_UTILIZATION))))
            # Slices are uneven, and some hosts always carry more. The same margin keeps in place what is learned.
            if ratio < 0:
                ratio = min(0.0, ratio + policy.tolerance)
            trust = self._trust(host, usual_latency_ms) if ratio < 0 else 1.0
            learned = host.learned + ratio * (policy.gain * row.confidence * trust)
            host.learned = min(0.0, max(math.log2(policy.min_factor), learned))
            host.attempts /= 2
            host.failed /= 2

    def _trust(self, host: HostLoad, usual_latency_ms: float) -> float:
        """Return how far a high utilization is believed: fully where proxies wait longer than elsewhere, little where
        they are answered sooner. Guards against a host that sheds its work by its reports."""
        if not usual_latency_ms or host.attempts < MIN_ATTEMPTS_TO_COMPARE:
            return UNKNOWN_TRUST
        if host.failed / host.attempts > MAX_FAILED_SHARE:
            return 1.0
        return min(1.0, max(MIN_TRUST, (host.latency_ms / usual_latency_ms - 0.75) / 0.5))

    def _move_levels(self, reported: dict[int, ReportedUtilization]) -> bool:
        """Move published levels one step towards what was learned, the lowest first."""
        is_changed = False
        may_lower = int(max(1.0, self.policy.max_lowered_share * len(self.hosts)))
        for number, host in sorted(self.hosts.items(), key=lambda item: (item[1].learned, item[0])):
            target = self._target_level(host, reported[number].confidence)
            if target > host.level and may_lower > 0:
                may_lower -= 1
                host.level += 1
                is_changed = True
            elif target < host.level:
                host.level -= 1
                is_changed = True
        return is_changed

    def _target_level(self, host: HostLoad, confidence: float) -> int:
        steps = -host.learned * confidence / self.policy.step
        return host.level if abs(steps - host.level) < MIN_LEVEL_CHANGE else max(0, round(steps))

    def _drop_expired(self, now: float) -> bool:
        """Drop what rests on expired reports at once: the weights are those of the list again."""
        is_changed = False
        for host in self.hosts.values():
            if (host.level or host.learned) and self.reported(now, host).confidence <= 0.0:
                is_changed = is_changed or host.level > 0
                host.learned = 0.0
                host.level = 0
        return is_changed

    def factor(self, number: int) -> float:
        """Return the factor of a host's listed weight: 1 unless fresh reports say otherwise."""
        host = self.hosts.get(number)
        if host is None or not host.level:
            return 1.0
        return max(self.policy.min_factor, math.pow(2.0, -host.level * self.policy.step))

    def factors(self) -> dict[int, float]:
        """Return the factors that are not 1, by host."""
        return {number: self.factor(number) for number, host in self.hosts.items() if host.level}
