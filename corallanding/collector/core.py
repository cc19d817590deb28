"""Who may say what at the listening address, and what a report says. Pure: bytes in, events and answers out.

A collector names its zone and passes on reports; anyone may ask for a sign of life; all else is a stranger and goes. A
report that is spoilt costs that report alone and is counted by reason; bytes that cannot be read end the connection.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from .. import interface as api
from ..host_names import number
from ..resp import Reader, encode

SIGN_OF_LIFE = encode(["hb_ok"])
REJECT = encode(["reject"])
STRANGER_MOST = 4_096  # bytes of a message before a collector has named itself
COLLECTOR_MOST = 1 << 20
FIGURE_MOST = 32  # characters


class Spoilt(Exception):
    """A message that cannot be used; the text is its reason, one of a few."""


@dataclass(frozen=True)
class Places:
    """Names to their places in the settings' lists."""

    zones: dict[str, int]
    operations: dict[str, int]


@dataclass
class Intake:
    """hosts: numbers that discovery has named. slices: those in this steward's charge. What all collectors share."""

    settings: api.Settings
    places: Places
    hosts: Container[int]
    slices: Container[int]
    spoilt: Counter[str] = field(default_factory=Counter)
    taken: int = 0
    trace: Callable[[str], None] | None = None  # told of each that is spoilt

    def __post_init__(self) -> None:
        # No good answer comes later than its client has waited; no report covers more than a few of the longest waits.
        self.slowest = 2.0 * max((o.timeout_ms for o in self.settings.request_classes), default=5_000.0)
        self.span_most = 60.0 * max(self.settings.report_interval_ms, 1_000.0)

    def report(self, words: list[bytes]) -> api.HostUsageReport | api.SliceUsageReport:
        """One report. Raises Spoilt."""
        kind = words[0]
        try:
            f = dict(zip([w.decode() for w in words[1::2]], [w.decode() for w in words[2::2]], strict=True))
        except UnicodeDecodeError:
            raise Spoilt("no text") from None
        except ValueError:
            raise Spoilt("a name without a value") from None
        if kind == b"upstream_stats":
            return self.host_sums(f)
        if kind == b"range_stats":
            return self.slice_sums(f)
        raise Spoilt("unknown kind")

    def host_sums(self, f: dict[str, str]) -> api.HostUsageReport:
        zone = place(f, "locality", self.places.zones)
        try:
            host = number(text(f, "endpoint"))
        except ValueError:
            raise Spoilt("endpoint unknown") from None
        if host not in self.hosts:
            raise Spoilt("endpoint unknown")
        total, errors = whole(f, "total"), whole(f, "errors")
        if errors > total:
            raise Spoilt("errors above total")
        rtt = figure(f, "rtt")
        if rtt > self.slowest:
            raise Spoilt("rtt out of range")
        return api.HostUsageReport(zone, host, total, errors, rtt, self.span(f), metrics(f))

    def slice_sums(self, f: dict[str, str]) -> api.SliceUsageReport:
        slice = whole(f, "shard")
        if self.settings.slice_count <= slice:
            raise Spoilt("shard unknown")
        operation = place(f, "route", self.places.operations)
        # Unanswered ones may have come in an earlier interval: more errors than the total is no fault here, and stands
        # in just those reports that tell of trouble.
        total, errors = whole(f, "total"), whole(f, "errors")
        span = self.span(f)
        if slice not in self.slices:
            raise Spoilt("shard not in charge")
        return api.SliceUsageReport(slice, operation, total, errors, span)

    def span(self, f: dict[str, str]) -> float:
        span = figure(f, "interval")
        if not 0.0 < span <= self.span_most:
            raise Spoilt("interval out of range")
        return span


def text(f: dict[str, str], key: str) -> str:
    if key not in f:
        raise Spoilt(f"{key} missing")
    return f[key]


def place(f: dict[str, str], key: str, places: dict[str, int]) -> int:
    if text(f, key) not in places:
        raise Spoilt(f"{key} unknown")
    return places[f[key]]


def figure(f: dict[str, str], key: str) -> float:
    try:
        value = float(text(f, key)[:FIGURE_MOST])
    except ValueError:
        raise Spoilt(f"{key} no number") from None
    if not math.isfinite(value) or value < 0.0:
        raise Spoilt(f"{key} out of range")
    return value


def whole(f: dict[str, str], key: str) -> int:
    value = figure(f, key)
    if value != int(value):
        raise Spoilt(f"{key} no whole number")
    if value >= 2**31:
        raise Spoilt(f"{key} out of range")
    return int(value)


def metrics(f: dict[str, str]) -> dict[str, float]:
    out: dict[str, float] = {}
    for pair in f.get("metrics", "").split(",")[:16]:
        if pair:
            key, _, value = pair.partition(":")
            out[key] = figure({"metrics": value}, "metrics")
    return out


@dataclass
class Heard:
    """What bytes on one connection came to. over: why it ends after `answer`, or None while it goes on."""

    events: list[api.HostUsageReport | api.SliceUsageReport] = field(default_factory=list)
    answer: bytes = b""
    asked: int = 0  # signs of life that are owed, left to the owner
    over: str | None = None


class Peer:
    """One connection."""

    def __init__(self, intake: Intake) -> None:
        self.intake = intake
        self.reader = Reader(STRANGER_MOST)
        self.zone: int | None = None  # once it has named itself a collector

    def feed(self, data: bytes) -> Heard:
        heard = Heard()
        for words in self.reader.feed(data):
            if words[0] == b"hb":
                heard.asked += 1
            elif self.zone is None:
                self.greet(words, heard)
            else:
                try:
                    heard.events.append(self.intake.report(words))
                    self.intake.taken += 1
                except Spoilt as fault:
                    self.intake.spoilt[str(fault)] += 1
                    if self.intake.trace:
                        self.intake.trace(f"spoilt ({fault}): {b' '.join(words)[:300]!r}")
            if heard.over:
                return heard
        if self.reader.error:
            # A collector is never written to; a stranger is told.
            heard.answer, heard.over = b"" if self.zone is not None else REJECT, "what cannot be read"
        return heard

    def greet(self, words: list[bytes], heard: Heard) -> None:
        """The first word of a connection: a collector's that names a zone there is, or it ends."""
        zones = self.intake.places.zones
        if words[0] == b"telemetry" and len(words) == 3 and words[1] == b"locality":
            zone = zones.get(words[2].decode("utf-8", "replace"))
            if zone is not None:
                self.zone, self.reader.max_bytes = zone, COLLECTOR_MOST
                return
            heard.over = "a collector of no zone there is"
        else:
            heard.over = "another word before joining"
        heard.answer += REJECT
