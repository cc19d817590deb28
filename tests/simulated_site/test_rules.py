"""The rules on slices without a host, drains, the queue and messages are kept when many hosts leave at once."""

from __future__ import annotations

import pytest

from tests.simulated_site import random_days
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
    disruptions.lose_zone(0, 5.0)
    day.run(2.0)
    _deploy(day, disruptions)
    return day.judge.finish()


def _deploy(day: Day, disruptions: Disruptions) -> None:
    hosts = [host for host in day.hosts.values() if host.zone != 0]
    day.rng.shuffle(hosts)
    disruptions.deploy(hosts[:DEPLOYED_HOSTS], HOSTS_PER_STEP, STEP_PERIOD_MS, HOST_END_MS)
    day.run(DEPLOYED_HOSTS / HOSTS_PER_STEP * STEP_PERIOD_MS / 1_000.0 + QUIET_SECONDS)


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


@pytest.mark.parametrize("seed", [1, 2])
def test_slices_when_a_restarted_controller_deploys_then_its_former_cordons_leave_none_without_a_host(
    seed: int,
) -> None:
    """Guards against new owners that proxies exclude, as the controller that cordoned them has been restarted since."""
    day = Day(Site(), seed)
    disruptions = Disruptions(day)
    day.run(14.0)
    disruptions.lose_zone(0, 9.0, is_listed=True)
    day.run(2.0)
    disruptions.restart_controller(0, 1_500.0)
    day.run(9.0)
    _deploy(day, disruptions)
    check_rules(day.site, day.judge.finish())


@pytest.mark.parametrize("seed", [1, 2])
def test_slices_when_a_zone_returns_to_a_restarted_controller_then_each_has_a_host_in_time(seed: int) -> None:
    """Guards against moves to hosts that proxies exclude since an earlier run of the controller cordoned them."""
    day = Day(Site(), seed)
    disruptions = Disruptions(day)
    day.run(14.0)
    disruptions.list_as_gone(disruptions.zone_hosts(0), 8.0)
    day.run(2.0)
    disruptions.restart_controller(0, 1_500.0)
    day.run(6.0 + QUIET_SECONDS)
    check_rules(day.site, day.judge.finish())


@pytest.mark.parametrize("seed", [1, 2])
def test_slices_when_a_wrong_list_ends_during_a_restart_then_each_has_a_host_in_time(seed: int) -> None:
    """Guards against cordons of an earlier run that are lifted a few hosts a message, while tables name these hosts."""
    day = Day(Site(), seed)
    disruptions = Disruptions(day)
    day.run(14.0)
    hosts = list(day.hosts.values())
    day.rng.shuffle(hosts)
    disruptions.list_as_gone(hosts[: int(0.6 * len(hosts))], 2.0)
    day.run(0.9)
    disruptions.restart_controller(0, 1_500.0)
    day.run(1.5 + QUIET_SECONDS)
    check_rules(day.site, day.judge.finish())


@pytest.mark.parametrize("seed", [5, 7])
def test_queue_when_answers_of_the_relay_are_lost_in_a_deploy_then_it_stays_within_its_limit(seed: int) -> None:
    """Guards against calls sent again whose messages take more of the queue than was counted."""
    day = Day(Site(), seed)
    day.lost_call_share = 0.1
    day.lost_answer_share = 0.3
    disruptions = Disruptions(day)
    day.run(14.0)
    hosts = list(day.hosts.values())
    day.rng.shuffle(hosts)
    disruptions.lose_zone(0, 5.0)
    disruptions.deploy(hosts[: int(0.6 * len(hosts))], 12, 1_750.0, HOST_END_MS)
    day.run(7.0 + QUIET_SECONDS)
    check_rules(day.site, day.judge.finish())


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_rules_when_several_disruptions_meet_on_a_random_day_then_they_are_kept(seed: int) -> None:
    """Guards against faults of disruptions that meet; `random_days` plays longer series by hand."""
    outcome = random_days.play(seed)
    assert not outcome.broken_rules(), f"{outcome.disruptions}: {outcome.findings}"
