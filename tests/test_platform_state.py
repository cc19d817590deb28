"""The platform's lists, names and configuration."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_samples import KINDS, ZONES

from corallanding import interface as api
from corallanding.discovery.host_list import MAX_DEPARTED_HOSTS, HostListView, InvalidAnswerError, ListAnswer
from corallanding.host_names import name, number
from corallanding.platform.config import InvalidConfigError, flatten, parse, read
from corallanding.simulator_adapter.settings import read_settings


def row(host: str, health: str = "in_service", **other: Any) -> dict[str, Any]:
    f = {"host": host, "dial": "127.0.0.1:8081", "site": "a", "class": "m2", "block": 3, "health": health}
    return {**f, "share": 1.0, "born_ms": 0, **other}


def take(view: HostListView, whole: bool, *rows: Any, seq: int = 1) -> api.HostListUpdate | None:
    return view.apply(ListAnswer(seq, whole, list(rows)))


def held(view: HostListView) -> dict[str, str]:
    return {name(h): e.state for h, e in view.entries.items()}


@given(st.text(min_size=1, max_size=16), st.text(min_size=1, max_size=16))
def test_a_name_and_its_number_are_one_to_one(one: str, two: str) -> None:
    assert name(number(one)) == one
    assert (number(one) == number(two)) == (one == two)


def test_lists_and_changes() -> None:
    view = HostListView(ZONES, KINDS)
    first = take(view, True, row("s-1"), row("s-2", born_ms=1_700_000_000_000, site="b"))
    assert first == api.HostListUpdate(
        api.HostListKind.FULL,
        1,
        (
            api.HostEntry(number("s-1"), 0, 0, 3, "up", 1.0, 0.0),
            api.HostEntry(number("s-2"), 1, 0, 3, "up", 1.0, 1_700_000_000_000.0),
        ),
    )
    assert take(view, False, seq=2) is None
    assert view.version == 2
    change = take(view, False, row("s-1", "terminating"), {"host": "s-2", "health": "terminated"}, seq=3)
    assert change
    assert change.kind is api.HostListKind.CHANGES
    assert [e.state for e in change.entries] == ["draining", "removed"]
    assert held(view) == {"s-1": "draining"}
    assert number("s-2") in view.addresses  # a report on it may still be under way
    whole = take(view, True, row("s-3"))
    assert whole
    assert [name(e.host) for e in whole.entries] == ["s-3"]


@pytest.mark.parametrize(
    "bad",
    [
        row("s-1", "asleep"),
        row("s-1", site="z"),
        row("s-1", **{"class": "m9"}),
        row("s-1", share=0),
        row("s-1", block="x"),
        row("s-1", born_ms=-1),
        {"host": "s-1"},
    ],
)
def test_a_damaged_entry_is_held_at_its_last_good_state_and_named(bad: dict[str, Any]) -> None:
    view = HostListView(ZONES, KINDS)
    take(view, True, row("s-1"), row("s-2"))
    take(view, True, bad, row("s-2", "terminating"), 7, {"host": 5}, seq=2)
    assert held(view) == {"s-1": "up", "s-2": "draining"}
    assert len(view.rejected_entries) == 3
    assert "s-1" in view.rejected_entries[0]


def test_an_answer_that_is_none_is_refused() -> None:
    for body in (b"", b"{", b"[]", b'{"seq":"x","whole":true,"hosts":[]}', b"\xff"):
        with pytest.raises(InvalidAnswerError):
            HostListView(ZONES, KINDS).decode(body)


def test_hosts_replaced_by_the_thousand_leave_nothing_behind() -> None:
    view = HostListView(ZONES, KINDS)
    for n in range(5_000):
        take(view, False, row(f"s-{n}"), row(f"s-{n - 30}", "terminated"), seq=n)
    assert len(view.entries) == 30
    assert len(view.addresses) <= 30 + MAX_DEPARTED_HOSTS >= len(view.departed)


SETTINGS: dict[str, Any] = {
    "zones": ["a", "north b"],
    "kinds": ["m2"],
    "zone": 1,
    "balancers": 2,
    "discovery": "pushed",
    "period": 2000,
    "classes": [
        {"name": "lookup", "idempotency": "repeatable", "aim": 1200000, "giveUp": 3000000, "worth": 3.0},
        {"name": "claim", "idempotency": "once", "aim": 1500000, "giveUp": 5000000},
    ],
    "familyInfo": {
        "keyRanges": 127,
        "proxies": 150,
        "writeClasses": [False, True],
        "soleOwner": False,
        "reportEvery": 500000,
        "channelRate": 11500.0,
    },
    "limits": {"mayProbe": True, "dialTimeout": 300000},
    "rules": {"drainGrace": 3000000},
    "loadReport": {"fields": []},
}
WIRE = (
    "zones=a,north_b kinds=m2 zone=1 balancers=2 discovery=pushed period=2000 classes.count=2 classes.0.name=lookup "
    "classes.0.idempotency=repeatable classes.0.aim=1200000 classes.0.giveUp=3000000 classes.0.worth=3.0 "
    "classes.1.name=claim classes.1.idempotency=once classes.1.aim=1500000 classes.1.giveUp=5000000 "
    "familyInfo.keyRanges=127 familyInfo.proxies=150 familyInfo.writeClasses=false,true familyInfo.soleOwner=false "
    "familyInfo.reportEvery=500000 familyInfo.channelRate=11500.0 limits.mayProbe=true limits.dialTimeout=300000 "
    "rules.drainGrace=3000000 loadReport.fields="
)
TOP: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.4:8081",
    "discovery": "127.2.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
    "store": {"address": "127.2.0.2:6400"},
    "known": {"seq": 41, "whole": True, "hosts": [row("s-1")]},
    "settings": SETTINGS,
}


def test_settings_as_json_and_on_the_simulators_wire_are_the_same() -> None:
    pairs = dict(pair.split("=", 1) for pair in WIRE.split(" "))
    assert flatten(SETTINGS) == pairs
    settings = parse(msgspec.json.encode(TOP)).settings
    assert settings == read_settings(pairs)
    assert settings.request_classes[1].is_write
    assert settings.slice_count == 127


def test_a_configuration() -> None:
    c = parse(msgspec.json.encode(TOP))
    assert (c.listen, c.relay, c.seed) == (("127.0.0.4", 8081), ("127.2.0.2", 6400), 0x8C1F30D27A5BE964)
    assert c.names.zones == {"a": 0, "north b": 1}
    assert c.names.request_classes == {"lookup": 0, "claim": 1}
    assert c.max_sockets == 256
    assert c.connect_timeout_ms == 300.0
    assert c.saved_list.version == 41


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ({"listen": None}, "listen: missing"),
        ({"listen": "here:80"}, "listen: "),
        ({"store": {}}, "store.address: missing"),
        ({"discovery": "127.0.0.1:0"}, "discovery: "),
        ({"settings": {}}, "settings: classes.count is missing"),
        ({"settings": {**SETTINGS, "period": "soon"}}, "settings: period="),
        ({"seed": "wet"}, "seed"),
        (
            {"settings": {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "aim": 0}]}},
            "settings: classes.0.aim='0' is",
        ),
        ({"settings": {**SETTINGS, "familyInfo": {"channelRate": 0}}}, "settings: familyInfo.channelRate='0' is not"),
        ({"settings": {**SETTINGS, "familyInfo": {"lease": -1}}}, "settings: familyInfo.lease='-1' is below 0"),
        ({"settings": {**SETTINGS, "limits": {"dialTimeout": 0}}}, "settings: limits.dialTimeout='0' is not"),
        ({"known": {"seq": "x"}}, "known"),
        ({"settings": {**SETTINGS, "zones": "a"}}, "settings.zones: "),
    ],
)
def test_a_configuration_that_cannot_be_used_names_the_key(change: dict[str, Any], says: str) -> None:
    with pytest.raises(
        InvalidConfigError, match="^" + says.replace(".", r"\.") if says not in ("seed", "known") else says
    ):
        parse(msgspec.json.encode({**TOP, **change}))


def test_a_configuration_that_is_not_there_or_half_written_names_the_file(tmp_path: Any) -> None:
    with pytest.raises(InvalidConfigError, match=r"nowhere\.json: No such file"):
        read(str(tmp_path / "nowhere.json"))
    half = tmp_path / "half.json"
    half.write_bytes(msgspec.json.encode(TOP)[:200])
    with pytest.raises(InvalidConfigError, match=r"half\.json: no JSON"):
        read(str(half))
