"""The endpoint list: invalid rows, clocks that step, limits and events."""

from __future__ import annotations

from typing import Any

import pytest

from corallanding import interface as api
from corallanding.endpoints.endpoint_list import EndpointList, parse_loopback_address


def make_row(host: int, **fields: Any) -> dict[str, Any]:
    return {"host": host, "address": "127.0.0.1:9", "state": "up", **fields}


def test_list_when_a_row_is_invalid_then_its_host_keeps_its_entry_and_is_reported() -> None:
    endpoints = EndpointList()
    endpoints.apply(1000.0, 0.0, True, 1, [make_row(1), make_row(2), make_row(3)])
    invalid = [make_row(1, weight="heavy"), make_row(2, address="8.8.8.8:53"), "rubbish", make_row(4, state="sleeping")]
    event = endpoints.apply(2000.0, 0.0, True, 2, invalid)
    assert {entry.host for entry in event.entries} == {1, 2}, (
        "host 3 is not listed, 1 and 2 keep their last valid entries, 4 was never valid"
    )
    assert [text.split(":")[0] for text in endpoints.rejected_rows] == [
        "entry of host 1",
        "entry of host 2",
        "entry of host rubbish",
        "entry of host 4",
    ]
    assert "8.8.8.8 is not a loopback address" in endpoints.rejected_rows[1]


def test_list_when_wall_clocks_step_then_a_process_start_keeps_its_time_on_the_controllers_clock() -> None:
    endpoints = EndpointList()

    def online_since(now: float, wall_ms: float, version: int, row: dict[str, Any]) -> float:
        return endpoints.apply(now, wall_ms, True, version, [row]).entries[0].online_since

    first = online_since(1e9, 5_000_000.0, 1, make_row(1, started=4_990_000.0))
    after_step = online_since(1e9 + 50, 8_000_000.0, 2, make_row(1, started=4_990_000.0))
    started_in_future = online_since(1e9 + 60, 8_000_000.0, 3, make_row(1, started=9_999_000.0))
    assert first == after_step == 1e9 - 10_000.0
    assert started_in_future == 1e9 + 60
    assert online_since(1e9, 0.0, 4, make_row(2)) == 0.0, "long ago"


def test_list_when_there_are_too_many_hosts_then_new_ones_are_rejected() -> None:
    endpoints = EndpointList(max_hosts=2)
    endpoints.apply(0.0, 0.0, True, 1, [make_row(1), make_row(2)])
    event = endpoints.apply(0.0, 0.0, False, 2, [make_row(3), make_row(2, state="draining")])
    assert [(entry.host, entry.state) for entry in event.entries] == [(2, "draining")]
    assert "more than 2 hosts" in endpoints.rejected_rows[0]


@pytest.mark.parametrize("address", ["10.0.0.1:1", "example:80", "127.0.0.1", "127.0.0.1:99999", "0.0.0.0:1", ""])
def test_address_when_it_is_not_loopback_then_it_is_rejected(address: str) -> None:
    with pytest.raises(ValueError, match=r"is no ADDRESS:PORT|is no IP address|is not a loopback address"):
        parse_loopback_address(address)


def test_list_when_restored_then_the_event_holds_the_saved_entries() -> None:
    endpoints = EndpointList()
    event = endpoints.restore(1e9, 50_000.0, 3, [api.HostEntry(7)], {7: "127.0.0.1:1"}, {7: 40_000.0})
    assert event.kind is api.HostListKind.SAVED
    assert event.entries[0].online_since == 1e9 - 10_000.0
