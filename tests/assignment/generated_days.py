"""Generated scenarios ("days") for the assigner: a small simulated fleet with events of every kind, driven by seeds.

`run_day` returns running checksums of all actions. `tests/golden/days.json` contains the checksums of an early version
of the assigner; a test that finds a difference reports the steps in which it first occurs.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from corallanding import interface as api
from corallanding.interface import stored_names
from tests.assignment.generated_world import PROXIES, GeneratedWorld

GOLDEN = Path(__file__).parent.parent / "golden"
GOLDEN_DAYS = GOLDEN / "days.json"
STEPS = 2_400
CHECKSUM_STEPS = 16  # number of steps between two recorded checksums
STEP_MS = 125.0
QUOTE = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)
CLAIM = api.RequestClass("claim", api.Idempotency.SIDE_EFFECTING, "all", 5000, 2, 0.2, 1500, 5000, is_write=True)
VARIANTS: list[dict[str, Any]] = [
    {},
    {"polls_host_list": True, "only_drains_bind": True},
    {"admission": "fraction", "caches_keys": True, "max_messages": 12, "message_window_ms": 10_000.0},
    {"may_check_health": False, "reports_per_second": 60.0},
    {"zone_count": 3, "propagation_ms": 600.0, "max_queued_lines": 900.0},
    {"admission": "fraction", "only_drains_bind": True, "overload_factor": 2.0, "warm_up_ms": 4000.0},
]

MakeAssigner = Callable[[api.Settings, int], Any]


class ScenarioPlan(NamedTuple):
    """Parameters of one generated day: seed, settings that differ from the base, numbers of hosts and slices."""

    seed: int
    settings: dict[str, Any]
    hosts: int
    slices: int


SCENARIO_PLANS = [
    ScenarioPlan(seed, VARIANTS[seed % len(VARIANTS)], (6, 14, 40, 25)[seed % 4], (12, 30, 90, 160)[seed // 2 % 4])
    for seed in range(16)
]


def golden_checksums() -> dict[str, list[int]]:
    """Return the recorded checksums, by the seed of the day."""
    checksums: dict[str, list[int]] = json.loads(GOLDEN_DAYS.read_text())
    return checksums


def text_with_stored_names(action: api.Action) -> str:
    """Return an action as text with stored names, so that renaming a class or a field changes no golden file."""
    fields = stored_names.FIELDS[type(action)]
    values = ", ".join(f"{stored}={getattr(action, attribute)!r}" for stored, attribute in fields.items())
    return f"{stored_names.NAMES[type(action)]}({values})".replace("<RetryMode.", "<Retry.")


class GeneratedScenario(GeneratedWorld):
    """One generated day, with its assigner and the running checksum of its actions."""

    def __init__(self, make_assigner: MakeAssigner, plan: ScenarioPlan) -> None:
        base = {
            "request_classes": (QUOTE, CLAIM),
            "slice_count": plan.slices,
            "proxy_count": PROXIES,
            "max_queued_lines": 20_000.0,
            "may_check_health": True,
            "warm_up_ms": 16_000.0,
            "reports_per_second": 400.0,
        }
        super().__init__(plan.seed, api.Settings(**{**base, **plan.settings}))
        self.assigner = make_assigner(self.settings, plan.seed)
        self.checksum = 0
        for host_id in range(plan.hosts):
            self.fleet.add(host_id, 0.0)
        self.step(self.initial_events(plan.hosts))

    def step(self, events: list[api.Event]) -> None:
        """Run one step of the assigner, and apply its actions to the simulated world."""
        for action in self.assigner.step(self.now_ms, events):
            self.checksum = zlib.crc32(text_with_stored_names(action).encode(), self.checksum)
            self.apply_action(action)

    def run(self) -> list[int]:
        """Run the whole day, and return the checksum after every `CHECKSUM_STEPS` steps."""
        checksums = []
        for step in range(STEPS):
            self.now_ms += STEP_MS * self.rng.choice((0.2, 1.0, 1.0, 1.8))
            events = [*self.due_timers(), *self.health_check_results(), *self.acks()]
            if step % 8 == 0:
                events += self.fleet.usage_reports(self.now_ms)
            # Faults are rare in every other block of 300 steps, so that undisturbed decisions are covered as well.
            if self.rng.random() < (0.08 if step // 300 % 2 else 0.01):
                events += self.inject_fault()
            self.step(events)
            if step % CHECKSUM_STEPS == CHECKSUM_STEPS - 1:
                checksums.append(self.checksum)
        return checksums

    def due_timers(self) -> list[api.Event]:
        """Remove the timers that are due, and return their events."""
        due: list[api.Event] = [api.TimerFired(timer) for at, timer in sorted(self.timers) if at <= self.now_ms]
        self.timers = [row for row in self.timers if row[0] > self.now_ms]
        return due

    def health_check_results(self) -> list[api.Event]:
        """Return results of the health checks requested in the last step; a few have a random outcome."""
        results: list[api.Event] = []
        for host_id in self.health_checks:
            host = self.fleet.hosts.get(host_id)
            outcome = api.HealthCheckOutcome.OK if host and host.answers else api.HealthCheckOutcome.UNREACHABLE
            if host and host.is_hung:
                outcome = api.HealthCheckOutcome.TIMEOUT
            if self.rng.random() < 0.05:
                outcome = self.rng.choice(list(api.HealthCheckOutcome))
            results.append(api.HealthCheckResult(host_id, outcome, 3.0))
        self.health_checks = []
        return results

    def acks(self) -> list[api.Event]:
        """Return acknowledgements of most proxies: usually of the last version, sometimes only of the first."""
        acks: list[api.Event] = []
        for proxy, versions in self.unacked.items():
            if versions and self.rng.random() < 0.8:
                version = versions[-1] if self.rng.random() < 0.9 else versions[0]
                acks.append(api.VersionAcked(proxy, version, 5.0))
                versions.clear()
        return acks


def run_day(make_assigner: MakeAssigner, seed: int) -> list[int]:
    """Run the day with that seed, and return its checksums."""
    return GeneratedScenario(make_assigner, SCENARIO_PLANS[seed]).run()


def write_golden_days(make_assigner: MakeAssigner) -> None:
    """Write the checksums of this assigner's decisions as the new golden file."""
    GOLDEN_DAYS.write_text(json.dumps({plan.seed: run_day(make_assigner, plan.seed) for plan in SCENARIO_PLANS}) + "\n")
