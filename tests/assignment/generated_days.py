"""Generated days for the assigner: a small fleet that follows its actions, every kind of event, all by seeds.

`play` gives a running checksum of all actions after each step. `tests/golden/days.json` holds the checksums as an early
version of the assigner gave them; a day that differs names the first step that does.
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
CHECKSUM_STEPS = 16  # a checksum is kept every so many steps
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


class Plan(NamedTuple):
    """What one day is made from."""

    seed: int
    settings: dict[str, Any]
    hosts: int
    slices: int


DAYS = [
    Plan(seed, VARIANTS[seed % len(VARIANTS)], (6, 14, 40, 25)[seed % 4], (12, 30, 90, 160)[seed // 2 % 4])
    for seed in range(16)
]


def golden_checksums() -> dict[str, list[int]]:
    """The checksums that were kept, by the day's seed."""
    found: dict[str, list[int]] = json.loads(GOLDEN_DAYS.read_text())
    return found


def frozen_text(action: api.Action) -> str:
    """An action as text under its stored names, so that renaming a class or a field changes no golden file."""
    fields = stored_names.FIELDS[type(action)]
    values = ", ".join(f"{stored}={getattr(action, attribute)!r}" for stored, attribute in fields.items())
    return f"{stored_names.NAMES[type(action)]}({values})".replace("<RetryMode.", "<Retry.")


class Day(GeneratedWorld):
    """One generated day with its assigner and the checksum of its actions."""

    def __init__(self, make: MakeAssigner, plan: Plan) -> None:
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
        self.assigner = make(self.settings, plan.seed)
        self.checksum = 0
        for host_id in range(plan.hosts):
            self.fleet.add(host_id, -50_000.0)
        self.step(self.first_events(plan.hosts))

    def step(self, events: list[api.Event]) -> None:
        """One step of the assigner; the world follows its actions."""
        for action in self.assigner.step(self.now_ms, events):
            self.checksum = zlib.crc32(frozen_text(action).encode(), self.checksum)
            self.carry_out(action)

    def run(self) -> list[int]:
        """Live the day; returns the checksum after every `CHECKSUM_STEPS` steps."""
        found = []
        for step in range(STEPS):
            self.now_ms += STEP_MS * self.chance.choice((0.2, 1.0, 1.0, 1.8))
            events = [*self.due_timers(), *self.health_check_results(), *self.acks()]
            if step % 8 == 0:
                events += self.fleet.usage_reports(self.now_ms)
            # Days have calm halves, so that what an undisturbed assigner does is seen as well.
            if self.chance.random() < (0.08 if step // 300 % 2 else 0.01):
                events += self.inject_fault()
            self.step(events)
            if step % CHECKSUM_STEPS == CHECKSUM_STEPS - 1:
                found.append(self.checksum)
        return found

    def due_timers(self) -> list[api.Event]:
        """Timers that fire now."""
        due: list[api.Event] = [api.TimerFired(timer) for at, timer in sorted(self.timers) if at <= self.now_ms]
        self.timers = [row for row in self.timers if row[0] > self.now_ms]
        return due

    def health_check_results(self) -> list[api.Event]:
        """Results of the health checks that were asked for in the last step; now and then any other one."""
        results: list[api.Event] = []
        for host_id in self.health_checks:
            host = self.fleet.hosts.get(host_id)
            outcome = api.HealthCheckOutcome.OK if host and host.answers else api.HealthCheckOutcome.UNREACHABLE
            if host and host.is_hung:
                outcome = api.HealthCheckOutcome.TIMEOUT
            if self.chance.random() < 0.05:
                outcome = self.chance.choice(list(api.HealthCheckOutcome))
            results.append(api.HealthCheckResult(host_id, outcome, 3.0))
        self.health_checks = []
        return results

    def acks(self) -> list[api.Event]:
        """Most proxies acknowledge their last version, a few their first one."""
        acks: list[api.Event] = []
        for proxy, versions in self.unacked.items():
            if versions and self.chance.random() < 0.8:
                version = versions[-1] if self.chance.random() < 0.9 else versions[0]
                acks.append(api.VersionAcked(proxy, version, 5.0))
                versions.clear()
        return acks


def play(make: MakeAssigner, seed: int) -> list[int]:
    """The checksums of the day of that seed."""
    return Day(make, DAYS[seed]).run()


def write_golden_days(make: MakeAssigner) -> None:
    """Keep what this assigner decides as the golden checksums."""
    GOLDEN_DAYS.write_text(json.dumps({plan.seed: play(make, plan.seed) for plan in DAYS}) + "\n")
