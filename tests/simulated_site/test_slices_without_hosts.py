"""No proxy is without a host for a slice for longer than the site allows, when many hosts leave at once."""

from __future__ import annotations

import pytest

from tests.simulated_site.day import Day
from tests.simulated_site.disruptions import Disruptions
from tests.simulated_site.judge import Findings
from tests.simulated_site.site import Site

SLICES = 400
"""Slices of a site at which the last step of the deploy needs most of what the channel can send in the time."""

DEPLOYED_HOSTS = 56
HOSTS_PER_STEP = 14
STEP_PERIOD_MS = 4_400.0
HOST_END_MS = 4_000.0
QUIET_SECONDS = 12.0


def deploy_after_lost_zone(site: Site, seed: int) -> Findings:
    """Lose a zone, and replace nearly all other hosts in four steps: few warm hosts are left after the last one."""
    day = Day(site, seed)
    disruptions = Disruptions(day)
    day.run(14.0)
    hosts = [host for host in day.hosts.values() if host.zone != 0]
    day.rng.shuffle(hosts)
    disruptions.lose_zone(0, 5.0)
    day.run(2.0)
    disruptions.deploy(hosts[:DEPLOYED_HOSTS], HOSTS_PER_STEP, STEP_PERIOD_MS, HOST_END_MS)
    day.run(DEPLOYED_HOSTS / HOSTS_PER_STEP * STEP_PERIOD_MS / 1_000.0 + QUIET_SECONDS)
    return day.judge.finish()


def check_rules(site: Site, findings: Findings) -> None:
    """Check what every day has to keep, whatever happens."""
    assert findings.pairs_without_host == 0, f"{findings.max_without_host_ms:.0f} ms without a host"
    assert findings.drained_entries == 0
    assert findings.max_queued_lines <= site.max_queued_lines
    assert findings.max_messages <= site.max_messages


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_slices_when_most_hosts_leave_after_a_lost_zone_then_each_gets_a_host_in_time(seed: int) -> None:
    """Guards against a full channel that is spent on the overheads of messages with a few entries each."""
    site = Site(slices=SLICES)
    check_rules(site, deploy_after_lost_zone(site, seed))
