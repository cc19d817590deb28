"""Slices leave draining hosts in the same step, within the limits of the channel."""

from __future__ import annotations

from tests.assignment.support import HOSTS, Scenario, all_answered, equal_attempts, host_entry, settled_scenario


def test_a_host_when_it_drains_then_its_slices_leave_in_the_same_step() -> None:
    scenario = settled_scenario()
    scenario.note("12 drains: its slices leave in the same step, the new line before the old one goes")
    scenario.list_hosts(host_entry(12, "draining"))
    scenario.run(1, all_answered)
    scenario.check_trace("drain")


def test_drains_when_the_message_limit_is_reached_then_they_wait() -> None:
    scenario = settled_scenario(max_messages=4)
    scenario.note("three drains, one by one; no proxy gets more than 3 of 4 messages in 10 s, the rest waits")
    for host in (12, 13, 14):
        scenario.list_hosts(host_entry(host, "draining"))
        scenario.list_hosts(host_entry(host))
        scenario.list_hosts(host_entry(host, "draining"))
    scenario.run(12)
    scenario.check_trace("full_channel")


def test_a_drain_when_no_other_host_is_available_then_slices_leave_nevertheless() -> None:
    scenario = Scenario()
    scenario.start(HOSTS[:1], equal_attempts(range(8), 11))
    scenario.note("the only server drains: its lines go, as nothing else may have them")
    scenario.list_hosts(host_entry(11, "draining"))
    scenario.note("a server comes: every slice is placed")
    scenario.list_hosts(host_entry(12))
    scenario.run(2)
    scenario.check_trace("no_server")


def test_drains_when_their_entries_exceed_the_queue_then_hosts_are_cordoned() -> None:
    scenario = Scenario(max_queued_lines=52.0)
    scenario.start(HOSTS, {s: 12 + s % 2 for s in range(8)})
    scenario.run(3, all_answered)
    scenario.note("12 and 13 drain, 16 lines to a proxy, the queue has room for 13: a cordon each, then new owners")
    scenario.list_hosts(host_entry(12, "draining"), host_entry(13, "draining"))
    scenario.run(1, all_answered)
    scenario.check_trace("bounded")
