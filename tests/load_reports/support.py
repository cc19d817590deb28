"""Reports for the tests of load reports, and a simulated fleet that sends them."""

from __future__ import annotations

from typing import Any

from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

from corallanding.load_reports.envelope import NO_NONCE, ReportHeader
from corallanding.load_reports.host_load import EstimatorPolicy
from corallanding.load_reports.load_estimator import ListedStart, LoadEstimator
from corallanding.load_reports.orca import ReportedLoad

HEADER_1 = ReportHeader(7, 3, 1_700_000_000_000, 9, 5_000.0, 1_700_000_005_000.0, b"12345678")
ORCA = OrcaLoadReport(cpu_utilization=0.4, application_utilization=0.7, rps_fractional=12.5, eps=0.5)
KEY = b"secret"
STARTED_MS = 1_700_000_000_000
WRONG_WALL_MS = 1e13  # wall clock that agrees with no report
POLICY = EstimatorPolicy(
    half_life_ms=1000.0, expiry_ms=5000.0, window_ms=1000.0, max_processes=3, min_reporting_share=0.3
)


def orca(**fields: Any) -> bytes:
    """Return a report body in protobuf."""
    return OrcaLoadReport(**fields).SerializeToString()


class Fleet:
    """Hosts that report correctly, on a clock set by the test. Reports are passed to the estimator without encoding."""

    def __init__(self, count: int) -> None:
        self.estimator = LoadEstimator(POLICY)
        self.now_ms = 100_000.0
        self.seq = 0
        self.estimator.set_hosts(dict.fromkeys(range(count), ListedStart(0.0, STARTED_MS, 0.0)))

    def add_nonce(self) -> bytes:
        """Issue a nonce."""
        self.seq += 1
        nonce = self.seq.to_bytes(8, "big")
        self.estimator.add_nonce(self.now_ms, nonce)
        return nonce

    def report(self, host: int, load: float, nonce: bytes = NO_NONCE, late_ms: float = 0.0, **fields: Any) -> bool:
        """Send a report; return whether it has influence. fields: other fields of its header."""
        self.seq += 1
        header_fields = {
            "process": 0,
            "process_started_ms": STARTED_MS,
            "seq": self.seq,
            "uptime_ms": self.now_ms - late_ms,
            "sent_at_ms": 0.0,
            **fields,
        }
        header = ReportHeader(host=host, echoed_nonce=nonce, **header_fields)
        return self.estimator.on_report(self.now_ms, WRONG_WALL_MS, header, ReportedLoad(load))

    def run(self, seconds: float, loads: dict[int, float]) -> None:
        """Send reports with these loads four times per second, which echo current nonces."""
        for _ in range(round(seconds * 4)):
            self.now_ms += 250.0
            nonce = self.add_nonce()
            for host, load in loads.items():
                self.report(host, load, nonce)
            self.estimator.update(self.now_ms)
