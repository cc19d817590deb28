"""Estimates by load reports the factor that multiplies the listed weight of each host. No I/O.

A factor starts at 1 and only reduces the listed weight, never below `min_factor`. A host that reports to be idle keeps
its listed weight, so that requests do not herd onto it. The influence of a report halves with each half-life of its age
and ends at the expiry; without reports every factor is exactly 1.

The age of a report is verified. A report that echoes a recent nonce of this controller is at most as old as the nonce.
Without an echo, its age is computed on the sender's monotonic clock, relative to the report of that process with the
shortest transit. A process has no influence until one of its reports is proven to be recent, by an echo or by a process
start or wall clock that agrees with this controller's.
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
"""A host with a higher share of failed attempts is overloaded, whatever its latency."""
LATENCY_AVERAGE_COUNT = 6.0
"""Weight of the current latency average, in attempts."""
MIN_UTILIZATION = 0.01
MIN_LEVEL_CHANGE = 0.75
"""Minimum difference to the target, in steps, at which a published level changes."""


class ListedStart(NamedTuple):
    """Start of a host's process on the controller's clock and as listed, and the end of its warm-up."""

    started_at_ms: float
    list_started_ms: int
    warm_at_ms: float


class ReportedUtilization(NamedTuple):
    """A host's utilization by its processes' reports, and the confidence in it, from 0 to 1."""

    utilization: float
    confidence: float


def median(values: list[float]) -> float:
    """Return the upper median; 0 if there are no values."""
    return sorted(values)[len(values) // 2] if values else 0.0


class LoadEstimator:
    """Computes `factors` from events (`set_hosts`, `add_nonce`, `on_report`, `on_usage`)."""

    def __init__(self, policy: EstimatorPolicy) -> None:
        self.policy = policy
        self.hosts: dict[int, HostLoad] = {}
        self.nonces: dict[bytes, float] = {}  # recent nonces of this controller, and when each was issued
        self.counts = ReportCounts()
        self.updated_at_ms = -math.inf

    def set_hosts(self, hosts: dict[int, ListedStart]) -> None:
        """Set the hosts that may report. Reports of a host's former process are dropped."""
        for number in [number for number in self.hosts if number not in hosts]:
            del self.hosts[number]
        for number, start in hosts.items():
            known = self.hosts.get(number)
            if known is None or known.list_started_ms != start.list_started_ms:
                self.hosts[number] = HostLoad(*start)

    def add_nonce(self, now_ms: float, nonce: bytes) -> None:
        """Record a nonce that is sent to senders from now on. Nonces are kept until the expiry."""
        self.nonces[nonce] = now_ms
        expired = [old for old, issued_at_ms in self.nonces.items() if now_ms - issued_at_ms > self.policy.expiry_ms]
        for old in expired:
            del self.nonces[old]

    # ---- reports ---------------------------------------------------------------------------------------

    def on_report(self, arrived_at_ms: float, wall_ms: float, header: ReportHeader, load: ReportedLoad) -> bool:
        """Handle one report; return true if it is the newest of its process and has influence.

        Guards against replays, wrong clocks, former processes and repetitions. A sender that echoes no nonce, and whose
        start and clock both disagree with this controller's, has no influence, though it may be honest.
        """
        host = self.hosts.get(header.host)
        if host is None:
            self.counts.unlisted += 1
            return False
        process = self._process(host, header)
        if process is None:
            return False
        is_proven = self._is_proven(arrived_at_ms, wall_ms, host, header)
        # A clock cannot have started before its process: a report "from the future" would make all others seem old.
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
        """Return the process that sent the report; None if it is a former one, or the host has too many."""
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
        """Return whether a report is proven to be recent, by its nonce or by a start or wall clock that agrees."""
        half_life_ms = self.policy.half_life_ms
        issued_at_ms = self.nonces.get(header.echoed_nonce)
        if issued_at_ms is not None and arrived_at_ms - issued_at_ms < half_life_ms:
            return True
        clock_zero_ms = arrived_at_ms - header.uptime_ms
        if host.list_started_ms > 0 and abs(clock_zero_ms - host.started_at_ms) < half_life_ms:
            return True
        return abs(wall_ms - header.sent_at_ms) < half_life_ms

    def on_usage(self, number: int, attempts: int, failed: int, latency_ms: float) -> None:
        """Add the usage of a host as observed by proxies, which the assigner gets too."""
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

    def reported(self, now_ms: float, host: HostLoad) -> ReportedUtilization:
        """Return a host's utilization by the reports of its processes."""
        parts = [
            (influence(process.age_ms(now_ms, self.policy), self.policy), process.utilization)
            for process in host.processes.values()
        ]
        total = sum(weight for weight, _ in parts)
        if not total:
            return ReportedUtilization(0.0, 0.0)
        utilization = sum(weight * utilization for weight, utilization in parts) / total
        # Processes that no longer report lower the confidence, which is the average over all processes.
        return ReportedUtilization(utilization, total / len(parts))

    def update(self, now_ms: float) -> bool:
        """Learn from fresh reports and change published levels, once per window; return true if any factor changed."""
        is_changed = self._drop_expired(now_ms)
        if now_ms - self.updated_at_ms < self.policy.window_ms:
            return is_changed
        self.updated_at_ms = now_ms
        reported = {number: self.reported(now_ms, host) for number, host in self.hosts.items()}
        fresh_count = sum(1 for row in reported.values() if row.confidence > 0.0)
        # Too few reports do not show what is usual: nothing is learned, and learned factors end with their reports.
        if fresh_count >= max(1.0, self.policy.min_reporting_share * len(self.hosts)):
            self._learn(now_ms, reported)
        return self._step_levels(reported) or is_changed

    def _learn(self, now_ms: float, reported: dict[int, ReportedUtilization]) -> None:
        """Lower the factor of hosts above the fleet's median utilization, and raise it again for hosts below it."""
        policy = self.policy
        fresh = {number: row for number, row in reported.items() if row.confidence > 0.0}
        baseline_utilization = max(median([row.utilization for row in fresh.values()]), policy.min_busy_utilization)
        median_latency_ms = median([host.latency_ms for host in self.hosts.values() if host.latency_ms])
        for number, row in fresh.items():
            host = self.hosts[number]
            if now_ms < host.warm_at_ms:
                host.learned = 0.0  # the assigner itself accounts for warm-up
                continue
            ratio = max(-1.0, min(1.0, math.log2(baseline_utilization / max(row.utilization, MIN_UTILIZATION))))
            # Slices are uneven, so some hosts always have more load. The same tolerance keeps learned factors stable.
            if ratio < 0:
                ratio = min(0.0, ratio + policy.tolerance)
            trust = self._trust(host, median_latency_ms) if ratio < 0 else 1.0
            learned = host.learned + ratio * (policy.gain * row.confidence * trust)
            host.learned = min(0.0, max(math.log2(policy.min_factor), learned))
            host.attempts /= 2
            host.failed /= 2

    def _trust(self, host: HostLoad, median_latency_ms: float) -> float:
        """Return the trust in a high utilization: full where proxies wait longer than at other hosts, low where they
        wait less. Guards against a host that sheds its load by its reports."""
        if not median_latency_ms or host.attempts < MIN_ATTEMPTS_TO_COMPARE:
            return UNKNOWN_TRUST
        if host.failed / host.attempts > MAX_FAILED_SHARE:
            return 1.0
        return min(1.0, max(MIN_TRUST, (host.latency_ms / median_latency_ms - 0.75) / 0.5))

    def _step_levels(self, reported: dict[int, ReportedUtilization]) -> bool:
        """Change published levels by one step towards the learned factors, the lowest factor first."""
        is_changed = False
        lowerable_count = int(max(1.0, self.policy.max_lowered_share * len(self.hosts)))
        for number, host in sorted(self.hosts.items(), key=lambda item: (item[1].learned, item[0])):
            target = self._target_level(host, reported[number].confidence)
            if target > host.level and lowerable_count > 0:
                lowerable_count -= 1
                host.level += 1
                is_changed = True
            elif target < host.level:
                host.level -= 1
                is_changed = True
        return is_changed

    def _target_level(self, host: HostLoad, confidence: float) -> int:
        steps = -host.learned * confidence / self.policy.step
        return host.level if abs(steps - host.level) < MIN_LEVEL_CHANGE else max(0, round(steps))

    def _drop_expired(self, now_ms: float) -> bool:
        """Reset the factors of hosts without fresh reports; return true if a published level changed."""
        is_changed = False
        for host in self.hosts.values():
            if (host.level or host.learned) and self.reported(now_ms, host).confidence <= 0.0:
                is_changed = is_changed or host.level > 0
                host.learned = 0.0
                host.level = 0
        return is_changed

    def factor(self, number: int) -> float:
        """Return the factor of a host's listed weight; 1 without fresh reports."""
        host = self.hosts.get(number)
        if host is None or not host.level:
            return 1.0
        return max(self.policy.min_factor, math.pow(2.0, -host.level * self.policy.step))

    def factors(self) -> dict[int, float]:
        """Return the factors that are not 1, by host."""
        return {number: self.factor(number) for number, host in self.hosts.items() if host.level}
