"""Log lines on changes of the assigner's state."""

from __future__ import annotations

from collections.abc import Sequence

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.host_names import host_name
from corallanding.platform.state_log import MAX_LINES, StateLog
from tests.assignment.support import HOSTS, SETTINGS, START_MS, host_entry

NAME = host_name(11)


def started_assigner() -> Assigner:
    """Return an assigner with eight slices, the last of them at host 12, the others at host 11."""
    assigner = Assigner(api.Settings(**SETTINGS), 1)
    events: list[api.Event] = [api.HostListUpdate(api.HostListKind.FULL, 1, tuple(HOSTS))]
    events += [api.ProxyJoined(0, 0, 1.0, False)]
    for slice_id in range(8):
        events += [
            api.SliceOwnershipChange(slice_id, True),
            api.StoredWeight(slice_id, 12 if slice_id == 7 else 11, 1.0),
        ]
    assigner.step(START_MS, events)
    return assigner


def step(assigner: Assigner, now_ms: float, entries: Sequence[api.HostEntry]) -> None:
    """Let the assigner receive changed entries of the host list."""
    assigner.step(now_ms, [api.HostListUpdate(api.HostListKind.CHANGES, 2, tuple(entries)), api.TimerFired(0)])


def test_state_log_when_slices_are_granted_then_those_without_a_report_are_counted() -> None:
    lines = StateLog(started_assigner()).lines(START_MS)
    assert "slices: 8 granted, 0 revoked, 8 of 8 without a report" in lines
    assert "proxies: 1 joined, 0 left, 1 now" in lines


def test_state_log_when_hosts_start_again_then_their_age_and_their_load_are_logged() -> None:
    assigner = started_assigner()
    state_log = StateLog(assigner)
    state_log.lines(START_MS)
    step(assigner, START_MS + 2_000.0, [host_entry(entry.host, since=START_MS + 1_500.0) for entry in HOSTS])
    lines = state_log.lines(START_MS + 2_100.0)
    assert any(
        f"host {NAME}: eligible -> " in line and "started 100 ms ago, 600 ms by its own clock" in line for line in lines
    )
    assert any(line.startswith(f"warming host {NAME}: load ") for line in lines)


def test_state_log_when_all_hosts_drain_then_the_lines_are_bounded() -> None:
    assigner = Assigner(api.Settings(**SETTINGS), 1)
    hosts = [host_entry(host) for host in range(100, 200)]
    assigner.step(START_MS, [api.HostListUpdate(api.HostListKind.FULL, 1, tuple(hosts))])
    state_log = StateLog(assigner)
    state_log.lines(START_MS)
    step(assigner, START_MS + 500.0, [host_entry(host, "draining") for host in range(100, 200)])
    lines = state_log.lines(START_MS + 500.0)
    assert len(lines) == MAX_LINES
    assert lines[-1] == f"{100 - MAX_LINES + 1} more changes"


def test_state_log_when_nothing_changes_then_it_is_silent() -> None:
    state_log = StateLog(started_assigner())
    state_log.lines(START_MS)
    assert state_log.lines(START_MS + 500.0) == []
