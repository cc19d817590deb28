"""The session of one connection at the listening address, without sockets."""

from __future__ import annotations

import pytest
from platform_samples import (
    HOSTS,
    SETTINGS,
    ZONES,
    add_initial_notifications,
    collector_session,
    host_report,
    owner,
    report_intake,
    slice_report,
)

from corallanding import interface as api
from corallanding.collector.session import REJECT, CollectorSession
from corallanding.relay.subscription import InitialState, RelayView
from corallanding.resp import encode


def test_slice_report_when_the_slice_is_in_the_initial_state_then_it_is_accepted() -> None:
    """Reports are checked against the view's own table.

    It must remain the same object when a connection replaces the view's state.
    """
    view = RelayView(SETTINGS, ZONES)
    peer = collector_session(report_intake(view.tables))
    first = InitialState()
    add_initial_notifications(view, first, owner(3))
    view.replace_state(first)
    assert peer.feed(encode(slice_report())).reports == [api.SliceUsageReport(3, 1, 9, 2, 500.0)]
    second = InitialState()
    add_initial_notifications(view, second, owner(4))
    view.replace_state(second)
    assert peer.feed(encode(slice_report())).reports == []
    assert peer.feed(encode(slice_report(shard=4))).reports == [api.SliceUsageReport(4, 1, 9, 2, 500.0)]


def test_slice_report_when_more_are_unanswered_than_received_then_it_is_accepted() -> None:
    """A request received two seconds ago times out in this interval: total 0, errors 1."""
    peer = collector_session(report_intake({3}))
    assert peer.feed(encode(slice_report(total=0, errors=1))).reports == [api.SliceUsageReport(3, 1, 0, 1, 500.0)]
    assert not peer.intake.rejected


@pytest.mark.parametrize(
    ("report", "reason"),
    [
        (host_report(locality=None), "locality missing"),
        (host_report(locality="z"), "locality unknown"),
        (host_report(endpoint="s-99"), "endpoint unknown"),
        (host_report(endpoint=""), "endpoint unknown"),
        (host_report(total="many"), "total not a number"),
        (host_report(total=-3), "total out of range"),
        (host_report(total=1e300), "total out of range"),
        (host_report(total=2.5), "total not an integer"),
        (host_report(errors=10), "errors above total"),
        (host_report(rtt="nan"), "rtt out of range"),
        (host_report(rtt=10_001), "rtt out of range"),
        (host_report(interval=0), "interval out of range"),
        (host_report(interval="inf"), "interval out of range"),
        (host_report(metrics="util:x"), "metrics not a number"),
        (slice_report(shard=8), "shard unknown"),
        (slice_report(shard=5), "shard not owned"),
        (slice_report(route="steal"), "route unknown"),
        (slice_report()[:-1], "field without a value"),
        (["range_stats"], "shard missing"),
        (["assign", "shard", "1"], "unknown kind"),
    ],
)
def test_report_when_invalid_then_only_it_is_rejected(report: list[str], reason: str) -> None:
    peer = collector_session(report_intake({3}))
    result = peer.feed(encode(host_report()) + encode(report) + encode(slice_report()))
    assert [type(event) for event in result.reports] == [api.HostUsageReport, api.SliceUsageReport]
    assert not result.close_reason
    assert dict(peer.intake.rejected) == {reason: 1}


def test_report_when_valid_then_every_field_is_in_the_event() -> None:
    result = collector_session(report_intake({3})).feed(encode(host_report(metrics="inflight:7,util:0.61")))
    assert result.reports == [api.HostUsageReport(0, HOSTS[1], 9, 2, 41.5, 500.0, {"inflight": 7.0, "util": 0.61})]


@pytest.mark.parametrize(
    "message",
    [
        encode(["telemetry", "locality", "nowhere"]),
        encode(["telemetry"]),
        encode(slice_report()),
        encode(["assign"]),
        encode(["attach", "node", "1", "locality", "a", "w", "1", "cold", "1"]),
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00\xff",
        b"*1\r\n$1048576\r\n",
    ],
)
def test_session_when_the_first_message_is_invalid_then_it_is_rejected_and_ends(message: bytes) -> None:
    result = CollectorSession(report_intake({3})).feed(message)
    assert result.close_reason
    assert result.answer == REJECT
    assert not result.reports


def test_collector_when_bytes_cannot_be_parsed_then_it_ends_without_an_answer() -> None:
    result = collector_session(report_intake({3})).feed(encode(slice_report()) + b"garbage")
    assert result.close_reason
    assert result.answer == b""
    assert len(result.reports) == 1


def test_heartbeat_when_requested_on_any_connection_then_it_is_owed() -> None:
    assert CollectorSession(report_intake(set())).feed(encode(["hb"]) * 2).heartbeats == 2
    assert collector_session(report_intake(set())).feed(encode(["hb"])).heartbeats == 1


def test_collector_when_it_sends_too_many_reports_then_the_rest_is_not_parsed() -> None:
    """Guards against a peer whose reports are handled for as long as it sends them."""
    session = collector_session(report_intake({3}))
    result = session.feed(encode(slice_report()) * 50, max_reports=20)
    assert (len(result.reports), result.close_reason) == (20, "too many reports")
    session = collector_session(report_intake({3}))
    result = session.feed(encode(["unsound"]) * 50, max_reports=20)
    assert (session.intake.rejected.total(), result.close_reason) == (20, "too many reports")


def test_peer_when_it_sends_too_many_heartbeats_then_it_is_rejected() -> None:
    result = CollectorSession(report_intake(set())).feed(encode(["hb"]) * 50, max_heartbeats=20)
    assert (result.heartbeats, result.close_reason, result.answer) == (20, "too many heartbeats", REJECT)
