"""The view of a list: bad rows, steps of clocks, gaps; and the source on a socket that breaks, lags and lies."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from corallanding import interface as api
from corallanding.endpoints.endpoint_list import EndpointList, parse_loopback_address
from corallanding.endpoints.source import LineJsonSource


def row(host: int, **more: Any) -> dict[str, Any]:
    return {"host": host, "address": "127.0.0.1:9", "state": "up", **more}


def test_a_bad_row_is_held_at_its_last_good_state_and_named() -> None:
    view = EndpointList()
    view.apply(1000.0, 0.0, True, 1, [row(1), row(2), row(3)])
    bad = [row(1, weight="heavy"), row(2, address="8.8.8.8:53"), "rubbish", row(4, state="sleeping")]
    event = view.apply(2000.0, 0.0, True, 2, bad)
    assert {e.host for e in event.entries} == {1, 2}, "3 is gone, 1 and 2 stand as they were, 4 never was"
    assert [text.split(":")[0] for text in view.rejected_rows] == [
        "entry of host 1",
        "entry of host 2",
        "entry of host rubbish",
        "entry of host 4",
    ]
    assert "8.8.8.8 is not a loopback address" in view.rejected_rows[1]


def test_a_start_keeps_its_place_on_our_clock_when_wall_clocks_step() -> None:
    view = EndpointList()
    first = view.apply(1e9, 5_000_000.0, True, 1, [row(1, started=4_990_000.0)]).entries[0].online_since
    stepped = view.apply(1e9 + 50, 8_000_000.0, True, 2, [row(1, started=4_990_000.0)]).entries[0].online_since
    ahead = view.apply(1e9 + 60, 8_000_000.0, True, 3, [row(1, started=9_999_000.0)]).entries[0].online_since
    assert first == stepped == 1e9 - 10_000.0
    assert ahead == 1e9 + 60
    assert view.apply(1e9, 0.0, True, 4, [row(2)]).entries[0].online_since == 0.0, "long ago"


def test_hosts_are_bounded() -> None:
    view = EndpointList(max_hosts=2)
    view.apply(0.0, 0.0, True, 1, [row(1), row(2)])
    event = view.apply(0.0, 0.0, False, 2, [row(3), row(2, state="draining")])
    assert [(e.host, e.state) for e in event.entries] == [(2, "draining")]
    assert "more than 2 hosts" in view.rejected_rows[0]


@pytest.mark.parametrize("address", ["10.0.0.1:1", "example:80", "127.0.0.1", "127.0.0.1:99999", "0.0.0.0:1", ""])
def test_only_loopback_addresses_pass(address: str) -> None:
    with pytest.raises(ValueError):
        parse_loopback_address(address)


class Script:
    """A roster that says what a test writes; collects what the source asks and tells."""

    def __init__(self) -> None:
        self.asked: list[dict[str, Any]] = []
        self.told: list[Any] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.view = EndpointList()

    async def open(self, on_request: bool = False) -> LineJsonSource:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        source = LineJsonSource(f"127.0.0.1:{port}", self, lambda: self.view.version, on_request, 4096, 10, 50, 200)
        source.start()
        return source

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while line := await reader.readline():
            self.asked.append(json.loads(line))

    def say(self, **line: Any) -> None:
        self.writers[-1].write(json.dumps(line).encode() + b"\n")

    def on_host_rows(self, full: bool, version: int, rows: list[Any]) -> None:
        self.view.apply(0.0, 0.0, full, version, rows)
        self.told.append((full, version, len(rows)))

    def on_source_failure(self, why: str) -> None:
        self.told.append(why)

    async def until(self, wanted: Any) -> None:
        for _ in range(500):
            if wanted():
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"asked {self.asked}, told {self.told}")


def test_the_source_says_where_it_stood_and_mends_gaps() -> None:
    async def play() -> None:
        s = Script()
        source = await s.open()
        await s.until(lambda: s.asked)
        s.say(form="full", version=4, hosts=[row(1)], after=None)
        s.say(form="changes", version=5, hosts=[row(2)], after=4)
        await s.until(lambda: s.told == [(True, 4, 1), (False, 5, 1)])
        s.say(form="changes", version=9, hosts=[row(3)], after=8)  # 6 to 8 are missing
        await s.until(lambda: s.asked[-1] == {"ask": "fetch", "after": 5})
        s.say(form="full", version=9, hosts=[row(3)], after=None)
        await s.until(lambda: s.told[-1] == (True, 9, 1))
        s.writers[-1].transport.abort()
        await s.until(lambda: s.asked[-1] == {"ask": "follow", "after": 9})
        assert isinstance(s.told[-1], str)
        assert "broke" in s.told[-1]
        s.writers[-1].write(b"not json\n")
        await s.until(lambda: "cannot be read" in str(s.told[-1]))
        s.writers[-1].write(b"x" * 5000)
        await s.until(lambda: any("over 4096 bytes" in str(t) for t in s.told))
        source.stop()
        s.server.close()

    asyncio.run(play())


def test_on_request_it_speaks_when_asked_and_tells_of_silence() -> None:
    async def play() -> None:
        s = Script()
        source = await s.open(on_request=True)
        await s.until(lambda: s.writers)
        assert s.asked == []
        source.follow(True)
        await s.until(lambda: s.asked == [{"ask": "follow", "after": 0}])
        await s.until(lambda: any("broke" in str(t) for t in s.told))  # no answer in 200 ms
        source.stop()
        s.server.close()

    asyncio.run(play())


def test_events_are_the_module_s() -> None:
    view = EndpointList()
    event = view.restore(1e9, 50_000.0, 3, [api.HostEntry(7)], {7: "127.0.0.1:1"}, {7: 40_000.0})
    assert event.kind is api.HostListKind.SAVED
    assert event.entries[0].online_since == 1e9 - 10_000.0
