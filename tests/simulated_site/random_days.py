"""Random days of a simulated site: two to four disruptions at once, within the sizes that the site may have.

By hand: `PYTHONPATH=. .venv/bin/python -m tests.simulated_site.random_days FIRST_SEED COUNT JOBS`, some two seconds a
day. It prints the days that broke a rule, and how many did.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from corallanding import interface as api

from .day import Day, Host
from .disruptions import Disruptions
from .judge import Findings
from .site import Site

SETTLE_SECONDS = 14.0
DAY_SECONDS = 45.0
LAST_START_MS = 9_000.0
LOST_CALL_SHARE = 0.1
LOST_ANSWER_SHARE = 0.2


@dataclass(frozen=True)
class Outcome:
    """What a day showed, and what happened on it."""

    seed: int
    site: Site
    disruptions: list[str]
    findings: Findings

    def broken_rules(self) -> list[str]:
        """Return the names of the rules that were broken."""
        findings = self.findings
        checks = {
            "no host": findings.pairs_without_host > 0,
            "drain": findings.drained_entries > 0,
            "queue": findings.max_queued_lines > self.site.max_queued_lines,
            "messages": findings.max_messages > self.site.max_messages,
        }
        return [name for name, is_broken in checks.items() if is_broken]


class RandomDay:
    """A day drawn from a seed: its site, its disruptions and when they begin."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(f"random day {seed}")
        self.site = self._draw_site()
        self.day = Day(self.site, seed)
        self.disruptions = Disruptions(self.day)

    def _draw_site(self) -> Site:
        rng = self.rng
        hosts = rng.randint(57, 78)
        lines_per_second = rng.uniform(9_700.0, 13_000.0)
        return Site(
            hosts=hosts,
            proxies=rng.randint(95, 128),
            slices=int(hosts * rng.uniform(4.2, 5.6)),
            controllers=rng.randint(1, 3),
            lines_per_second=lines_per_second,
            max_queued_lines=lines_per_second * rng.uniform(1.5, 2.0),
            warm_up_ms=rng.uniform(10_000.0, 17_000.0),
            drain_grace_ms=rng.uniform(3_000.0, 4_000.0),
        )

    def play(self) -> Outcome:
        """Play the day, and return what it showed."""
        self.day.run(SETTLE_SECONDS)
        kinds: list[Callable[[], None]] = [
            self.lose_zone,
            self.deploy,
            self.restart,
            self.break_streams,
            self.lose_calls,
            self.flap,
            self.list_wrongly,
            self.replace_at_once,
        ]
        chosen = self.rng.sample(kinds, self.rng.randint(2, 4))
        for disruption in chosen:
            self.day.clock.after(self.rng.uniform(0.0, LAST_START_MS), disruption)
        self.day.run(DAY_SECONDS)
        return Outcome(self.seed, self.site, [kind.__name__ for kind in chosen], self.day.judge.finish())

    def _draw_hosts(self, least: float, most: float) -> list[Host]:
        """Return a random share of the hosts in service."""
        hosts = [host for host in self.day.hosts.values() if host.state is api.HostState.UP]
        return self.rng.sample(hosts, int(len(hosts) * self.rng.uniform(least, most)))

    def lose_zone(self) -> None:
        """Lose a zone, which the list may tell of."""
        is_listed = self.rng.random() < 0.5
        self.disruptions.lose_zone(0, self.rng.uniform(4.0, 10.0), is_listed=is_listed)

    def deploy(self) -> None:
        """Replace half of the hosts or nearly all in steps, at the pace at which all would take 22 to 36 s."""
        hosts = self._draw_hosts(0.5, 0.97)
        step = max(1, int(self.site.hosts * self.rng.uniform(0.08, 0.19)))
        period_ms = self.rng.uniform(22_000.0, 36_000.0) * step / self.site.hosts
        self.disruptions.deploy(hosts, step, period_ms, self.rng.uniform(3_500.0, 5_000.0))

    def restart(self) -> None:
        """Restart a controller."""
        number = self.rng.randrange(self.site.controllers)
        self.disruptions.restart_controller(number, self.rng.uniform(800.0, 2_500.0))

    def break_streams(self) -> None:
        """Break the streams of some proxies."""
        self.disruptions.break_streams(self.rng.uniform(0.2, 0.6), self.rng.uniform(500.0, 5_000.0))

    def lose_calls(self) -> None:
        """Lose calls and answers from now on."""
        self.day.lost_call_share = LOST_CALL_SHARE
        self.day.lost_answer_share = LOST_ANSWER_SHARE

    def flap(self) -> None:
        """List an eighth of the hosts as draining and as up again, several times."""
        hosts = self._draw_hosts(0.12, 0.13)
        period_ms = self.rng.uniform(700.0, 3_000.0)
        for number in range(4):
            self.day.clock.after(2 * number * period_ms, lambda: self.disruptions.take_out(hosts, period_ms))

    def list_wrongly(self) -> None:
        """List hosts as gone that are in service."""
        self.disruptions.list_as_gone(self._draw_hosts(0.2, 0.6), self.rng.uniform(1.0, 6.0))

    def replace_at_once(self) -> None:
        """Replace many hosts in one step."""
        self.disruptions.replace(self._draw_hosts(0.2, 0.6), 4_000.0)


def play(seed: int) -> Outcome:
    """Play the day of a seed."""
    return RandomDay(seed).play()


def main() -> None:
    """Play days from the command line."""
    first, count, jobs = map(int, sys.argv[1:])
    with ProcessPoolExecutor(jobs) as executor:
        outcomes = list(executor.map(play, range(first, first + count)))
    broken = [outcome for outcome in outcomes if outcome.broken_rules()]
    for outcome in broken:
        print(outcome.seed, outcome.broken_rules(), outcome.disruptions, outcome.findings, outcome.site)
    print(f"{count} days, {len(broken)} broke a rule")


if __name__ == "__main__":
    main()
