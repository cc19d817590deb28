"""Search over states: hosts with false reports, stalls and restarts never break the estimator's invariants."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from corallanding.load_reports.envelope import NO_NONCE, ReportHeader
from corallanding.load_reports.host_load import EstimatorPolicy
from corallanding.load_reports.load_estimator import ListedStart, LoadEstimator
from corallanding.load_reports.orca import ReportedLoad
from tests.load_reports.support import STARTED_MS


class ReportSenders(RuleBasedStateMachine):
    """Hosts that send false reports, stall, restart and lose reports, on clocks with errors."""

    def __init__(self) -> None:
        super().__init__()
        self.policy = EstimatorPolicy(
            half_life_ms=1000.0, expiry_ms=4000.0, window_ms=1000.0, min_reporting_share=0.2, max_lowered_share=0.2
        )
        self.estimator = LoadEstimator(self.policy)
        self.now_ms = 1e6
        self.seq = 0
        self.nonce = NO_NONCE
        self.started_ms = dict.fromkeys(range(6), STARTED_MS)
        self.proven_at_ms: dict[int, float] = {}  # last time at which a report of the host could be proven fresh
        self.set_hosts()

    def set_hosts(self) -> None:
        self.estimator.set_hosts(
            {host: ListedStart(0.0, started_ms, 0.0) for host, started_ms in self.started_ms.items()}
        )

    @rule(ms=st.floats(1, 3000))
    def wait(self, ms: float) -> None:
        self.now_ms += ms

    @rule()
    def issue_nonce(self) -> None:
        self.seq += 1
        self.nonce = self.seq.to_bytes(8, "big")
        self.estimator.add_nonce(self.now_ms, self.nonce)

    @rule(
        hosts=st.sets(st.integers(0, 5)),
        load=st.sampled_from([0.0, 0.3, 0.6, 3.0, 50.0]),
        echoes=st.booleans(),
        clock_error_ms=st.sampled_from([0.0, 0.0, -60.0, 5_000.0, -3.6e6, 3.6e6]),
        is_former=st.booleans(),
    )
    def report(self, hosts: set[int], load: float, echoes: bool, clock_error_ms: float, is_former: bool) -> None:
        for host in hosts:
            self.seq += 1
            started_ms = self.started_ms[host] - (1000 if is_former else 0)
            uptime_ms = max(0.0, self.now_ms + clock_error_ms)
            nonce = self.nonce if echoes else NO_NONCE
            header = ReportHeader(host, 0, started_ms, self.seq, uptime_ms, 0.0, nonce)
            self.estimator.on_report(self.now_ms, 1e14, header, ReportedLoad(load))
            if not is_former:
                self.proven_at_ms[host] = self.now_ms

    @rule(host=st.integers(0, 5))
    def restart(self, host: int) -> None:
        self.started_ms[host] += 10_000
        self.proven_at_ms.pop(host, None)
        self.set_hosts()

    @rule(host=st.integers(0, 5), attempts=st.integers(0, 50), latency_ms=st.floats(1, 2000))
    def use(self, host: int, attempts: int, latency_ms: float) -> None:
        self.estimator.on_usage(host, attempts, attempts // 3, latency_ms)

    @rule()
    def update(self) -> None:
        before = {number: host.level for number, host in self.estimator.hosts.items()}
        self.estimator.update(self.now_ms)
        lowered = 0
        for number, host in self.estimator.hosts.items():
            assert host.level == 0 or abs(host.level - before[number]) <= 1
            lowered += host.level > before[number]
        assert lowered <= max(1, 0.2 * 6)

    @invariant()
    def bounded(self) -> None:
        for host in range(6):
            assert self.policy.min_factor <= self.estimator.factor(host) <= 1.0

    @invariant()
    def silent_hosts_have_no_influence(self) -> None:
        for number, host in self.estimator.hosts.items():
            if self.now_ms - self.proven_at_ms.get(number, -1e9) > self.policy.expiry_ms:
                assert self.estimator.reported(self.now_ms, host).confidence == 0.0

    @precondition(lambda self: self.estimator.hosts)
    @invariant()
    def confidence_falls_with_age(self) -> None:
        for host in self.estimator.hosts.values():
            times = (self.now_ms + later_ms for later_ms in (0.0, 10.0, 500.0, 3999.0, 4000.0, 1e6))
            confidences = [self.estimator.reported(now_ms, host).confidence for now_ms in times]
            assert confidences == sorted(confidences, reverse=True)
            assert confidences[-1] == 0.0


ReportSenders.TestCase.settings = settings(max_examples=80, stateful_step_count=40, deadline=None)
TestReportSenders = ReportSenders.TestCase
