"""Scenarios that drive an assigner step by step, and compare its decisions with a recorded trace.

With `CORALLANDING_TRACES=write` in the environment, the current decisions are written as the new traces.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.interface import stored_names

TRACES = Path(__file__).parent.parent / "traces"
QUOTE = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)
CLAIM = api.RequestClass("claim", api.Idempotency.SIDE_EFFECTING, "all", 5000, 2, 0.2, 1500, 5000, is_write=True)
SETTINGS: dict[str, Any] = {
    "request_classes": (QUOTE, CLAIM),
    "slice_count": 8,
    "proxy_count": 2,
    "drain_grace_ms": 3000.0,
    "warm_up_ms": 16000.0,
    "report_interval_ms": 1000.0,
    "max_queued_lines": 4000.0,
    "may_check_health": True,
}
SLICES = 8  # number of slices at the start of a scenario
START_MS = 100_000.0
REPORT_MS = 1000.0


def host_entry(host: int, state: str = "up", since: float = 0.0) -> api.HostEntry:
    """Return an entry of the host list."""
    return api.HostEntry(host, zone=host % 2, state=api.HostState(state), online_since=since)


HOSTS = [host_entry(host) for host in (11, 12, 13, 14)]
EVEN_OWNERS = {slice_id: 11 + slice_id % 4 for slice_id in range(SLICES)}


def usage_reports(
    answered: dict[int, int], failed: dict[int, int] | None = None, latency_ms: float = 200.0
) -> list[api.Event]:
    """Return the usage reports of one second: answered and failed attempts by host, and equal demand for all slices."""
    failed = failed or {}
    events: list[api.Event] = []
    for host in sorted({*answered, *failed}):
        failures = failed.get(host, 0)
        attempts = answered.get(host, 0) + failures
        events.append(api.HostUsageReport(host % 2, host, attempts, failures, latency_ms, REPORT_MS))
    return events + [api.SliceUsageReport(slice_id, 0, 10, 0, REPORT_MS) for slice_id in range(SLICES)]


def all_answered() -> list[api.Event]:
    """Return usage reports in which each of the four hosts answers all of its attempts."""
    return usage_reports(dict.fromkeys((11, 12, 13, 14), 20))


def equal_attempts(host_ids: Iterable[int], attempts: int) -> dict[int, int]:
    """Return the same number of attempts for each of the hosts."""
    return dict.fromkeys(host_ids, attempts)


class Scenario:
    """An assigner, its clock, and the lines of its trace.

    Health checks pass at the next step, unless `check_outcomes` has another outcome for the host. Their latency is
    taken from `check_latency_ms`.
    """

    def __init__(self, **settings: Any) -> None:
        self.assigner = Assigner(api.Settings(**{**SETTINGS, **settings}), seed=7)
        self.now_ms = START_MS
        self.lines: list[str] = []
        self.timers: list[tuple[float, int]] = []
        self.pending_checks: list[int] = []
        self.check_outcomes: dict[int, api.HealthCheckOutcome] = {}
        self.check_latency_ms: dict[int, float] = {}

    def note(self, text: str) -> None:
        """Add a comment to the trace."""
        self.lines.append(f"# {text}")

    def step(self, *events: api.Event) -> None:
        """Run one step, and add its actions to the trace under their stored names."""
        for action in self.assigner.step(self.now_ms, events):
            if isinstance(action, api.StartTimer):
                self.timers.append((self.now_ms + action.delay_ms, action.timer))
                continue
            if isinstance(action, api.CheckHealth):
                self.pending_checks.append(action.host)
            kind = type(action)
            values = {stored: getattr(action, name) for stored, name in stored_names.FIELDS[kind].items()}
            shown = ", ".join(f"{stored}={getattr(value, 'name', value)}" for stored, value in values.items())
            self.lines.append(f"{self.now_ms / 1000 - 100:8.3f} s  {stored_names.NAMES[kind]}({shown})")

    def start(self, hosts: list[api.HostEntry], owners: dict[int, int] | None = None, proxies: int = 2) -> None:
        """Run the first step: the saved host list, eight slices with their stored owners, and the proxies."""
        events: list[api.Event] = [api.HostListUpdate(api.HostListKind.SAVED, 1, tuple(hosts))]
        for slice_id in range(SLICES):
            events.append(api.SliceOwnershipChange(slice_id, True))
            if owners and slice_id in owners:
                events.append(api.StoredWeight(slice_id, owners[slice_id], 1.0))
        self.step(*events, *(api.ProxyJoined(proxy, proxy % 2, 10.0, True) for proxy in range(proxies)))

    def list_hosts(self, *entries: api.HostEntry, kind: api.HostListKind = api.HostListKind.CHANGES) -> None:
        """Run a step with a host list update."""
        self.step(api.HostListUpdate(kind, 2, entries))

    def run(
        self, seconds: float, each_second: Callable[[], list[api.Event]] | None = None, *, acks: bool = True
    ) -> None:
        """Advance the clock: timers fire, proxies acknowledge versions, and health checks end at the next step."""
        end_ms = self.now_ms + seconds * 1000
        next_second_ms = self.now_ms + 1000
        while True:
            at_ms = min([at for at, _ in self.timers] + [next_second_ms, end_ms])
            if at_ms >= end_ms:
                self.now_ms = end_ms
                return
            self.now_ms = at_ms
            events = [*self._due_timers(), *(self._acks() if acks else ()), *self._health_check_results()]
            if at_ms >= next_second_ms:
                next_second_ms += 1000
                events += each_second() if each_second else []
            self.step(*events)

    def _due_timers(self) -> list[api.Event]:
        due: list[api.Event] = [api.TimerFired(timer) for at, timer in self.timers if at <= self.now_ms]
        self.timers = [(at, timer) for at, timer in self.timers if at > self.now_ms]
        return due

    def _acks(self) -> list[api.Event]:
        pending = self.assigner.pending_versions
        return [api.VersionAcked(proxy, pending.last_version) for proxy in pending.unacked_by_proxy]

    def _health_check_results(self) -> list[api.Event]:
        results: list[api.Event] = []
        for host in self.pending_checks:
            outcome = self.check_outcomes.get(host, api.HealthCheckOutcome.OK)
            results.append(api.HealthCheckResult(host, outcome, self.check_latency_ms.get(host, 0.0)))
        self.pending_checks = []
        return results

    def check_trace(self, name: str) -> None:
        """Compare the trace with the recorded one of that name."""
        path = TRACES / f"{name}.txt"
        text = "\n".join(self.lines) + "\n"
        if os.environ.get("CORALLANDING_TRACES") == "write":
            path.write_text(text)
        assert text == path.read_text()


def settled_scenario(**settings: Any) -> Scenario:
    """Return a scenario with four hosts that own two slices each, after three seconds without faults."""
    scenario = Scenario(**settings)
    scenario.start(HOSTS, EVEN_OWNERS)
    scenario.run(3, all_answered)
    return scenario
