"""One connection at the listening address: who may say what. Pure: bytes in, reports and answers out.

A collector names its zone and then brings reports; anyone may ask for a heartbeat. Whoever says anything else before
naming a zone is rejected, and bytes that cannot be parsed end the connection.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..resp import Reader, encode
from .reports import RejectedReportError, ReportIntake, UsageReport

HEARTBEAT_REQUEST = b"hb"
HEARTBEAT_ANSWER = encode(["hb_ok"])
REJECT = encode(["reject"])
MAX_UNIDENTIFIED_BYTES = 4_096  # of a message before a collector has named its zone
MAX_COLLECTOR_BYTES = 1 << 20
MAX_QUOTED_BYTES = 300  # of a rejected report in a trace


@dataclass
class FeedResult:
    """What received bytes led to.

    `heartbeats` counts the requests that are still to be answered by the owner. If `close_reason` is not None, the
    connection ends after `answer` is sent.
    """

    reports: list[UsageReport] = field(default_factory=list)
    answer: bytes = b""
    heartbeats: int = 0
    close_reason: str | None = None


class CollectorSession:
    """The state of one connection. `zone` is set once it has named itself a collector."""

    def __init__(self, intake: ReportIntake) -> None:
        self.intake = intake
        self.reader = Reader(MAX_UNIDENTIFIED_BYTES)
        self.zone: int | None = None

    def feed(self, data: bytes) -> FeedResult:
        """Take received bytes."""
        result = FeedResult()
        for strings in self.reader.feed(data):
            if strings[0] == HEARTBEAT_REQUEST:
                result.heartbeats += 1
            elif self.zone is None:
                self.identify(strings, result)
            else:
                self._on_report(strings, result)
            if result.close_reason:
                return result
        if self.reader.error:
            # A collector is never written to; others are told.
            result.answer = b"" if self.zone is not None else REJECT
            result.close_reason = "what cannot be read"
        return result

    def identify(self, strings: list[bytes], result: FeedResult) -> None:
        """Take the first message of a connection: it has to name a zone that exists."""
        zones = self.intake.names.zones
        if strings[0] == b"telemetry" and len(strings) == 3 and strings[1] == b"locality":
            zone = zones.get(strings[2].decode("utf-8", "replace"))
            if zone is not None:
                self.zone = zone
                self.reader.max_bytes = MAX_COLLECTOR_BYTES
                return
            result.close_reason = "a collector of no zone there is"
        else:
            result.close_reason = "another word before joining"
        result.answer += REJECT

    def _on_report(self, strings: list[bytes], result: FeedResult) -> None:
        try:
            result.reports.append(self.intake.parse_report(strings))
            self.intake.accepted += 1
        except RejectedReportError as error:
            self.intake.rejected[str(error)] += 1
            if self.intake.on_rejected:
                quoted = b" ".join(strings)[:MAX_QUOTED_BYTES]
                self.intake.on_rejected(f"report rejected ({error}): {quoted!r}")
