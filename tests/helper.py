"""Drives an assigner by hand and prints its decisions as a short trace."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.interface import stored_names

TRACES = Path(__file__).parent / "traces"
QUOTE = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)
CLAIM = api.RequestClass("claim", api.Idempotency.SIDE_EFFECTING, "all", 5000, 2, 0.2, 1500, 5000, is_write=True)
SETTINGS = {
    "request_classes": (QUOTE, CLAIM),
    "slice_count": 8,
    "proxy_count": 2,
    "drain_grace_ms": 3000.0,
    "warm_up_ms": 16000.0,
    "report_interval_ms": 1000.0,
    "max_queued_lines": 4000.0,
    "may_check_health": True,
}


def up(host: int, state: str = "up", since: float = 0.0) -> api.HostEntry:
    return api.HostEntry(host, zone=host % 2, state=state, online_since=since)


class Rig:
    START = 100_000.0

    def __init__(self, **over: object) -> None:
        self.assigner = Assigner(api.Settings(**{**SETTINGS, **over}), seed=7)  # type: ignore[arg-type]
        self.now, self.lines, self.due = self.START, [], []
        self.probed: list[int] = []
        self.ends: dict[int, api.HealthCheckOutcome] = {}  # how probes end that do not pass
        self.took: dict[int, float] = {}  # ms that probes take, where it matters

    def say(self, text: str) -> None:
        self.lines.append(f"# {text}")

    def step(self, *events: api.Event) -> None:
        for a in self.assigner.step(self.now, events):
            if isinstance(a, api.StartTimer):
                self.due.append((self.now + a.delay_ms, a.timer))
                continue
            if isinstance(a, api.CheckHealth):
                self.probed.append(a.host)
            values = {stored: getattr(a, attribute) for stored, attribute in stored_names.FIELDS[type(a)].items()}
            shown = ", ".join(f"{stored}={getattr(value, 'name', value)}" for stored, value in values.items())
            self.lines.append(f"{self.now / 1000 - 100:8.3f} s  {stored_names.NAMES[type(a)]}({shown})")

    def start(self, hosts: list[api.HostEntry], owners: dict[int, int] | None = None, proxies: int = 2) -> None:
        events: list[api.Event] = [api.HostListUpdate(api.HostListKind.SAVED, 1, tuple(hosts))]
        for s in range(8):
            events.append(api.SliceOwnershipChange(s, True))
            if owners and s in owners:
                events.append(api.StoredWeight(s, owners[s], 1.0))
        self.step(*events, *(api.ProxyJoined(p, p % 2, 10.0, True) for p in range(proxies)))

    def run(self, seconds: float, each: Callable[[], list[api.Event]] | None = None, ack: bool = True) -> None:
        """Timers fall due; proxies ack and probes end at the next; `each` speaks once a second."""
        end, beat = self.now + seconds * 1000, self.now + 1000
        while True:
            at = min([t for t, _ in self.due] + [beat, end])
            if at >= end:
                self.now = end
                return
            self.now = at
            events: list[api.Event] = [api.TimerFired(h) for t, h in self.due if t <= at]
            self.due = [(t, h) for t, h in self.due if t > at]
            if ack:
                events += [
                    api.VersionAcked(p, self.assigner.pending_versions.last_version)
                    for p in self.assigner.pending_versions.unacked_by_proxy
                ]
            ended = [(h, self.ends.get(h, api.HealthCheckOutcome.OK), self.took.get(h, 0.0)) for h in self.probed]
            events += [api.HealthCheckResult(*row) for row in ended]
            self.probed = []
            if at >= beat:
                beat += 1000
                events += each() if each else []
            self.step(*events)

    def check(self, name: str) -> None:
        path, text = TRACES / f"{name}.txt", "\n".join(self.lines) + "\n"
        if os.environ.get("CORALLANDING_TRACES") == "write":
            path.write_text(text)
        assert text == path.read_text()
