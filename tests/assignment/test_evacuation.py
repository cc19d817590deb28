"""Slices leave draining hosts in the same step, within the limits of the channel."""

from __future__ import annotations

from corallanding import interface as api
from corallanding.assignment import Assigner
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


def test_drains_when_entries_of_failed_hosts_wait_then_slices_without_a_usable_host_come_first() -> None:
    """Guards against cordons whose slices get their new owners last, while proxies cannot send their requests.

    Half of the hosts fail, more than fit into one message; then hosts drain and are cordoned. The room of that message
    is for the slices of the cordoned hosts, as those of failed hosts still have a host that proxies try.
    """
    hosts = [host_entry(host) for host in range(11, 19)]
    scenario = Scenario(max_queued_lines=52.0, slice_count=32)
    assigner = scenario.assigner
    scenario.step(
        api.HostListUpdate(api.HostListKind.FULL, 1, tuple(hosts)),
        *(api.SliceOwnershipChange(slice_id, True) for slice_id in range(32)),
        *(api.StoredWeight(slice_id, 11 + slice_id // 4, 1.0) for slice_id in range(32)),
        *(api.ProxyJoined(proxy, 0, 10.0, True) for proxy in range(2)),
    )
    scenario.run(3)
    for host in (11, 12, 13):
        assigner.host_health.record_failure(assigner.hosts[host])
    scenario.run(0.01)
    scenario.step(api.TimerFired(99))
    failed = {assigner.hosts[host] for host in (11, 12, 13)}
    assert any(failed & set(slice_.weights) for slice_ in assigner.slices.values()), "entries are expected to wait"
    drains = (host_entry(17, "draining"), host_entry(18, "draining"))
    scenario.step(
        *(api.VersionAcked(proxy, assigner.pending_versions.last_version) for proxy in range(2)),
        api.HostListUpdate(api.HostListKind.CHANGES, 2, drains),
    )
    assert assigner.hosts[17].is_cordoned
    stranded = [slice_.id for slice_ in assigner.slices.values() if all(host.is_cordoned for host in slice_.weights)]
    assert stranded == []


def test_drains_in_two_waves_when_few_entries_fit_then_slices_that_wait_longest_come_first() -> None:
    """Guards against slices without a usable host that wait anew with each wave, because others have lower numbers.

    Two waves of three hosts drain, the second while most slices of the first have no usable host yet. A message has
    room for a few entries; the proxies acknowledge each after a second.
    """
    hosts = [host_entry(host) for host in range(11, 19)]
    scenario = Scenario(max_queued_lines=40.0, message_overhead_lines=1.0, slice_count=128)
    assigner = scenario.assigner
    scenario.step(
        api.HostListUpdate(api.HostListKind.FULL, 1, tuple(hosts)),
        *(api.SliceOwnershipChange(slice_id, True) for slice_id in range(128)),
        *(api.StoredWeight(slice_id, 11 + slice_id // 16, 1.0) for slice_id in range(128)),
        *(api.ProxyJoined(proxy, 0, 10.0, True) for proxy in range(2)),
    )
    scenario.run(3)
    scenario.step(api.HostListUpdate(api.HostListKind.CHANGES, 2, _draining(16, 17, 18)))
    first_wave = _stranded(assigner)
    _acknowledge(scenario, api.HostListUpdate(api.HostListKind.CHANGES, 3, _draining(11, 12, 13)))
    second_wave = _stranded(assigner) - first_wave
    assert second_wave, "the second wave is expected to wait"
    while first_wave & _stranded(assigner):
        assert second_wave <= _stranded(assigner), "a slice of the second wave got a host before one of the first"
        _acknowledge(scenario)


def test_a_drain_when_entries_of_others_wait_then_it_does_not_wait_behind_them() -> None:
    """Guards against a host that is not cordoned as its few entries would fit, and then gets no room for them."""
    scenario = Scenario(max_queued_lines=40.0, message_overhead_lines=1.0, slice_count=50)
    assigner = scenario.assigner
    owners = {slice_id: 12 + slice_id % 3 for slice_id in range(48)} | {48: 11, 49: 11}
    scenario.step(
        api.HostListUpdate(api.HostListKind.FULL, 1, tuple(host_entry(host) for host in range(11, 19))),
        *(api.SliceOwnershipChange(slice_id, True) for slice_id in range(50)),
        *(api.StoredWeight(slice_id, host, 1.0) for slice_id, host in owners.items()),
        *(api.ProxyJoined(proxy, 0, 10.0, True) for proxy in range(2)),
    )
    scenario.run(3)
    scenario.step(api.HostListUpdate(api.HostListKind.CHANGES, 2, _draining(12, 13, 14)))
    assert _stranded(assigner), "slices of the first hosts are expected to wait"
    _acknowledge(scenario, api.HostListUpdate(api.HostListKind.CHANGES, 3, _draining(11)))
    drained = assigner.hosts[11]
    assert drained.is_cordoned or not any(drained in slice_.weights for slice_ in assigner.slices.values())


def test_cordons_when_they_exceed_the_queue_then_the_rest_waits_for_the_next_message() -> None:
    """Guards against a message of cordons alone that is larger than the queue may be."""
    scenario = Scenario(max_queued_lines=24.0, message_overhead_lines=1.0, slice_count=24)
    assigner = scenario.assigner
    scenario.step(
        api.HostListUpdate(api.HostListKind.FULL, 1, tuple(host_entry(host) for host in range(11, 23))),
        *(api.SliceOwnershipChange(slice_id, True) for slice_id in range(24)),
        *(api.StoredWeight(slice_id, 11 + slice_id // 2, 1.0) for slice_id in range(24)),
        *(api.ProxyJoined(proxy, 0, 10.0, True) for proxy in range(2)),
    )
    scenario.run(3)
    draining = range(11, 21)
    scenario.step(api.HostListUpdate(api.HostListKind.CHANGES, 2, _draining(*draining)))
    while not all(assigner.hosts[host].is_cordoned for host in draining):
        assert assigner.pending_versions.queued_lines() <= 24.0
        _acknowledge(scenario)
    assert assigner.pending_versions.queued_lines() <= 24.0


def _acknowledge(scenario: Scenario, *events: api.Event) -> None:
    """Let all proxies acknowledge the last message after a second."""
    scenario.now_ms += 1_000.0
    last_version = scenario.assigner.pending_versions.last_version
    scenario.step(*(api.VersionAcked(proxy, last_version) for proxy in range(2)), *events)


def _draining(*host_ids: int) -> tuple[api.HostEntry, ...]:
    return tuple(host_entry(host, "draining") for host in host_ids)


def _stranded(assigner: Assigner) -> set[int]:
    """Return the slices whose tables name cordoned hosts only."""
    return {s.id for s in assigner.slices.values() if all(host.is_cordoned for host in s.weights)}
