"""The protocol of one connection at the listening address. Pure: bytes in, reports and answers out.

A collector identifies itself by its zone and then sends reports; any peer may request a heartbeat. A peer that sends
another message before it has identified itself is rejected, and bytes that cannot be parsed end the connection.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field

from ..resp import Reader, encode
from .reports import RejectedReportError, ReportIntake, UsageReport

HEARTBEAT_REQUEST = b"hb"
HEARTBEAT_ANSWER = encode(["hb_ok"])
REJECT = encode(["reject"])
MAX_UNIDENTIFIED_BYTES = 4_096  # size of a message of an unidentified peer
MAX_COLLECTOR_BYTES = 1 << 20  # size of a message of a collector
MAX_QUOTED_BYTES = 300  # bytes of a rejected report in a trace line


@dataclass
class FeedResult:
    """The result of processing received bytes.

    `heartbeats` counts the requests that the owner has to answer, `report_count` all reports, also rejected ones. If
    `close_reason` is not None, the connection ends after `answer` is sent.
    """

    reports: list[UsageReport] = field(default_factory=list)
    answer: bytes = b""
    heartbeats: int = 0
    report_count: int = 0
    close_reason: str | None = None


class CollectorSession:
    """The state of one connection. `zone` is set once the peer has identified itself as a collector."""

    def __init__(self, intake: ReportIntake) -> None:
        self.intake = intake
        self.reader = Reader(MAX_UNIDENTIFIED_BYTES)
        self.zone: int | None = None

    def feed(self, data: bytes, max_heartbeats: int = sys.maxsize, max_reports: int = sys.maxsize) -> FeedResult:
        """Process received bytes and return their result. The connection ends at the first message beyond a maximum."""
        result = FeedResult()
        for strings in self.reader.messages(data):
            if strings[0] == HEARTBEAT_REQUEST:
                self._on_heartbeat(max_heartbeats, result)
            elif result.report_count >= max_reports:
                result.close_reason = "too many reports"
            elif self.zone is None:
                self.identify(strings, result)
            else:
                self._on_report(strings, result)
            if result.close_reason:
                return result
        if self.reader.error:
            # Collectors receive no rejection, other peers do.
            result.answer = b"" if self.zone is not None else REJECT
            result.close_reason = "malformed message"
        return result

    def _on_heartbeat(self, max_heartbeats: int, result: FeedResult) -> None:
        if result.heartbeats < max_heartbeats:
            result.heartbeats += 1
        else:
            result.answer = REJECT
            result.close_reason = "too many heartbeats"

    def identify(self, strings: list[bytes], result: FeedResult) -> None:
        """Process the first message of a connection, which has to name an existing zone."""
        zones = self.intake.names.zones
        if strings[0] == b"telemetry" and len(strings) == 3 and strings[1] == b"locality":
            zone = zones.get(strings[2].decode("utf-8", "replace"))
            if zone is not None:
                self.zone = zone
                self.reader.max_bytes = MAX_COLLECTOR_BYTES
                return
            result.close_reason = "collector of an unknown zone"
        else:
            result.close_reason = "unexpected message before identification"
        result.answer += REJECT

    def _on_report(self, strings: list[bytes], result: FeedResult) -> None:
        result.report_count += 1
        try:
            result.reports.append(self.intake.parse_report(strings))
            self.intake.accepted += 1
        except RejectedReportError as error:
            self.intake.rejected[str(error)] += 1
            if self.intake.on_rejected:
                quoted = b" ".join(strings)[:MAX_QUOTED_BYTES]
                self.intake.on_rejected(f"report rejected ({error}): {quoted!r}")
