"""Search over states: hosts that lie, stall and restart never break the estimator's invariants."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from corallanding.load_reports.envelope import ReportHeader
from corallanding.load_reports.host_load import EstimatorPolicy
from corallanding.load_reports.load_estimator import ListedStart, LoadEstimator
from corallanding.load_reports.orca import ReportedLoad
from tests.load_reports.support import STARTED


class Senders(RuleBasedStateMachine):
    """Hosts that lie, stall, restart and lose reports, on clocks that drift; the invariants hold after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.policy = EstimatorPolicy(
            half_life_ms=1000.0, expiry_ms=4000.0, window_ms=1000.0, min_reporting_share=0.2, max_lowered_share=0.2
        )
        self.estimator, self.now, self.seq, self.nonce = LoadEstimator(self.policy), 1e6, 0, b"\0" * 8
        self.started = dict.fromkeys(range(6), STARTED)
        self.proof: dict[int, float] = {}  # host: when a report of it could last be known to be fresh
        self.listed()
        self.before: dict[int, int] = {}

    def listed(self) -> None:
        self.estimator.set_hosts({h: ListedStart(0.0, s, 0.0) for h, s in self.started.items()})

    @rule(ms=st.floats(1, 3000))
    def wait(self, ms: float) -> None:
        self.now += ms

    @rule()
    def tick(self) -> None:
        self.seq += 1
        self.nonce = self.seq.to_bytes(8, "big")
        self.estimator.add_nonce(self.now, self.nonce)

    @rule(
        hosts=st.sets(st.integers(0, 5)),
        load=st.sampled_from([0.0, 0.3, 0.6, 3.0, 50.0]),
        echo=st.booleans(),
        off=st.sampled_from([0.0, 0.0, -60.0, 5_000.0, -3.6e6, 3.6e6]),
        old=st.booleans(),
    )
    def report(self, hosts: set[int], load: float, echo: bool, off: float, old: bool) -> None:
        for h in hosts:
            self.seq += 1
            started = self.started[h] - (1000 if old else 0)
            uptime = max(0.0, self.now + off)
            head = ReportHeader(h, 0, started, self.seq, uptime, 0.0, self.nonce if echo else b"\0" * 8)
            self.estimator.on_report(self.now, 1e14, head, ReportedLoad(load))
            if not old:
                self.proof[h] = self.now

    @rule(h=st.integers(0, 5))
    def restart(self, h: int) -> None:
        self.started[h] += 10_000
        self.proof.pop(h, None)
        self.listed()

    @rule(h=st.integers(0, 5), tries=st.integers(0, 50), wait=st.floats(1, 2000))
    def seen(self, h: int, tries: int, wait: float) -> None:
        self.estimator.on_usage(h, tries, tries // 3, wait)

    @rule()
    def turn(self) -> None:
        before = {h: x.level for h, x in self.estimator.hosts.items()}
        self.estimator.update(self.now)
        lowered = 0
        for h, x in self.estimator.hosts.items():
            assert x.level == 0 or abs(x.level - before[h]) <= 1
            lowered += x.level > before[h]
        assert lowered <= max(1, 0.2 * 6)

    @invariant()
    def bounded(self) -> None:
        for h in range(6):
            assert self.policy.min_factor <= self.estimator.factor(h) <= 1.0

    @invariant()
    def nothing_of_the_silent(self) -> None:
        for h, x in self.estimator.hosts.items():
            if self.now - self.proof.get(h, -1e9) > self.policy.expiry_ms:
                assert self.estimator.reported(self.now, x)[1] == 0.0

    @precondition(lambda self: self.estimator.hosts)
    @invariant()
    def ages(self) -> None:
        for x in self.estimator.hosts.values():
            later = [self.estimator.reported(self.now + t, x)[1] for t in (0.0, 10.0, 500.0, 3999.0, 4000.0, 1e6)]
            assert later == sorted(later, reverse=True)
            assert later[-1] == 0.0


Senders.TestCase.settings = settings(max_examples=80, stateful_step_count=40, deadline=None)
TestSenders = Senders.TestCase
