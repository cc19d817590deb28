"""What the tests of load reports share: reports, and a fleet that sends them."""

from __future__ import annotations

from typing import Any

from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

from corallanding.load_reports.envelope import ReportHeader
from corallanding.load_reports.host_load import EstimatorPolicy
from corallanding.load_reports.load_estimator import ListedStart, LoadEstimator
from corallanding.load_reports.orca import ReportedLoad

HEADER_1 = ReportHeader(7, 3, 1_700_000_000_000, 9, 5_000.0, 1_700_000_005_000.0, b"12345678")


ORCA = OrcaLoadReport(cpu_utilization=0.4, application_utilization=0.7, rps_fractional=12.5, eps=0.5)


KEY = b"secret"


POLICY = EstimatorPolicy(
    half_life_ms=1000.0, expiry_ms=5000.0, window_ms=1000.0, max_processes=3, min_reporting_share=0.3
)


STARTED = 1_700_000_000_000


def orca(**fields: Any) -> bytes:
    return OrcaLoadReport(**fields).SerializeToString()


class Fleet:
    """Honest hosts on a clock of the test's; reports as bytes are left out, heads and loads are real."""

    def __init__(self, count: int, started: int = STARTED) -> None:
        self.estimator, self.now, self.count, self.started, self.seq = (
            LoadEstimator(POLICY),
            100_000.0,
            count,
            started,
            0,
        )
        self.estimator.set_hosts(dict.fromkeys(range(count), ListedStart(0.0, started, 0.0)))

    def add_nonce(self) -> bytes:
        self.seq += 1
        nonce = self.seq.to_bytes(8, "big")
        self.estimator.add_nonce(self.now, nonce)
        return nonce

    def report(self, host: int, load: float, echo: bytes = b"", late: float = 0.0, **more: Any) -> bool:
        self.seq += 1
        fields = {
            "process": 0,
            "process_started_ms": self.started,
            "seq": self.seq,
            "uptime_ms": self.now - late,
            "sent_at_ms": 0.0,
            **more,
        }
        head = ReportHeader(host=host, echoed_nonce=echo or b"\0" * 8, **fields)
        return self.estimator.on_report(self.now, 1e13, head, ReportedLoad(load))

    def run(self, seconds: float, loads: dict[int, float], echo: bool = True) -> None:
        for _ in range(round(seconds * 4)):
            self.now += 250.0
            nonce = self.add_nonce() if echo else b""
            for h, load in loads.items():
                self.report(h, load, nonce)
            self.estimator.update(self.now)
