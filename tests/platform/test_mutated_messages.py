"""Mutation of one message at a time for the relay's and discovery's words: each mutant is refused by name, or costs no
more than what it speaks of. Nothing else may be raised, and whatever else was said stands as without it."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from platform_samples import HOSTS, KINDS, SETTINGS, ZONES, attach, entry, list_entry, owner

from corallanding import interface as api
from corallanding.discovery.host_list import HostListView, InvalidAnswerError
from corallanding.host_names import number
from corallanding.relay.notifications import InvalidNotificationError, parse_notification
from corallanding.relay.pending_calls import PendingCalls
from corallanding.relay.subscription import InitialState, RelayView

GONE = object()
NUMBERS: list[Any] = [True, 0, -1, 1 << 40, 1 << 70, 1.5, 1e300]
ODD: list[Any] = [GONE, None, *NUMBERS, "", "x", "s-0", "\x00", "x" * 99, [], {}, [[]], {"a": 1}]
TOLD = api.ProxyJoined | api.ProxyLeft | api.VersionAcked | api.SliceOwnershipChange | api.StoredWeight


def mutants(word: Any) -> Iterator[tuple[str, Any]]:
    """The word with one value at a time replaced or left out, however deep it stands."""
    for key in list(word) if isinstance(word, dict) else range(len(word)):
        for odd in ODD:
            other = copy.deepcopy(word)
            if odd is GONE:
                del other[key]
            else:
                other[key] = odd
            if odd is GONE or type(odd) is not type(word[key]) or odd != word[key]:
                yield f"{key}", other
        if isinstance(word[key], dict | list):
            for path, below in mutants(word[key]):
                other = copy.deepcopy(word)
                other[key] = below
                yield f"{key}.{path}", other


# ---- news ------------------------------------------------------------------------------------------------

STANDS = [attach(3), attach(4), owner(1), entry(1, 0), entry(1, 1), owner(2), entry(2, 2)]
SINCE: list[tuple[str, dict[str, Any]]] = [
    attach(5),
    ("done", {"node": 3, "nonce": 7, "latency": 3.5}),
    owner(6),
    entry(6, 3),
    ("detach", {"node": 4}),
    owner(2, False),
    ("ping", {}),
    attach(6),
]


def exchange(lines: list[Any]) -> tuple[RelayView, int]:
    """What stands, then what comes: the view at the end, and how many lines were refused."""
    news, standing = RelayView(SETTINGS, ZONES), InitialState()
    errors: list[str] = []
    events: list[api.Event] = []
    for at, line in enumerate(lines):
        if at == len(STANDS):
            events += news.replace_state(standing)
        try:
            notice = parse_notification(msgspec.json.encode(line))
            if at < len(STANDS):
                news.add_initial(standing, notice)
            else:
                events += news.apply(notice)
        except InvalidNotificationError as fault:
            errors.append(str(fault))
    events += news.complete_slices()
    assert not any("\n" in error for error in errors)
    assert all(0 <= p < SETTINGS.proxy_count for p in news.proxies)
    assert all(0 <= s < SETTINGS.slice_count and all(w > 0 for w in rows.values()) for s, rows in news.tables.items())
    assert all(isinstance(e, TOLD) for e in events)
    return news, len(errors)


def spoken_of(*lines: Any) -> tuple[set[int], set[int]]:
    """Proxies and slices that these lines may name."""
    params = [p for line in lines if isinstance(line, dict) and isinstance(p := line.get("params"), dict)]
    named = [{p.get(key) for p in params if isinstance(p.get(key), int)} for key in ("node", "shard")]
    return named[0], named[1]


LINES = [{"jsonrpc": "2.0", "method": method, "params": params} for method, params in [*STANDS, *SINCE]]


@pytest.mark.parametrize("at", range(len(LINES)))
def test_notification_when_one_value_is_changed_then_only_what_it_names_is_affected(at: int) -> None:
    sound, refused_sound = exchange(LINES)
    assert refused_sound == 0
    refused = 0
    for _, mutant in mutants(LINES[at]):
        news, count = exchange([*LINES[:at], mutant, *LINES[at + 1 :]])
        refused += count
        proxies, slices = spoken_of(LINES[at], mutant)
        for known, whole, named in ((news.proxies, sound.proxies, proxies), (news.tables, sound.tables, slices)):
            assert {k: v for k, v in known.items() if k not in named} == {  # type: ignore[attr-defined]
                k: v for k, v in whole.items() if k not in named
            }, mutant  # type: ignore[attr-defined]
    assert refused or LINES[at]["method"] == "ping"


@pytest.mark.parametrize("at", range(len(LINES)))
@pytest.mark.parametrize("way", ["lost", "doubled", "after the next"])
def test_notification_when_lost_doubled_or_late_then_only_what_it_names_is_affected(at: int, way: str) -> None:
    sound, _ = exchange(LINES)
    after = LINES[at + 1 : at + 2]
    instead = {"lost": after, "doubled": [LINES[at], LINES[at], *after], "after the next": [*after, LINES[at]]}[way]
    lines = [*LINES[:at], *instead, *LINES[at + 2 :]]
    news, refused = exchange(lines)
    proxies, slices = spoken_of(LINES[at], *after)
    assert refused == 0
    assert {p for p in news.proxies if p not in proxies} == {p for p in sound.proxies if p not in proxies}
    assert {s: r for s, r in news.tables.items() if s not in slices} == {
        s: r for s, r in sound.tables.items() if s not in slices
    }


# ---- lists -----------------------------------------------------------------------------------------------

STARTED_MS = 1_700_000_000_000
LISTS: list[dict[str, Any]] = [
    {"seq": 1, "whole": True, "hosts": [list_entry("s-1"), list_entry("s-2"), list_entry("s-3", site="b")]},
    {
        "seq": 2,
        "whole": False,
        "hosts": [list_entry("s-2", "terminating"), list_entry("s-4", born_ms=1_700_000_000_000)],
    },
    {"seq": 3, "whole": False, "hosts": [{"host": "s-2", "health": "terminated"}]},
]


def listed(answers: list[Any]) -> tuple[HostListView, int]:
    view, refused = HostListView(ZONES, KINDS), 0
    for answer in answers:
        try:
            event = view.apply(view.decode(msgspec.json.encode(answer)))
            refused += len(view.rejected_entries)
            assert all(isinstance(e.host, int) and e.zone in (0, 1) for e in event.entries) if event else True
        except InvalidAnswerError:
            refused += 1
    return view, refused


@pytest.mark.parametrize("at", range(len(LISTS)))
def test_list_when_one_value_is_changed_then_only_its_entry_is_affected(at: int) -> None:
    sound, refused = listed(LISTS)
    assert refused == 0
    for path, mutant in mutants(LISTS[at]):
        view, refused = listed([*LISTS[:at], mutant, *LISTS[at + 1 :]])
        assert isinstance(view.version, int)
        assert len(view.entries) <= 4
        if not path.startswith("hosts."):
            continue  # the answer as a whole: it is refused, or it is another list
        was = LISTS[at]["hosts"][int(path.split(".")[1])]["host"]
        others = {h: e for h, e in sound.entries.items() if h not in (number(was), number("x"), number("s-0"))}
        assert {h: e for h, e in view.entries.items() if h in others} == others, mutant


# ---- calls -----------------------------------------------------------------------------------------------


ANSWER: dict[str, Any] = {"jsonrpc": "2.0", "id": 1, "result": {"taken": 3}}
ERROR: dict[str, Any] = {"jsonrpc": "2.0", "id": 1, "error": {"code": -32_000, "message": "Throttling"}}


@pytest.mark.parametrize("said", [ANSWER, ERROR], ids=["answer", "error"])
def test_call_answer_when_one_value_is_changed_then_no_order_is_lost_silently(said: dict[str, Any]) -> None:
    orders = [api.SetWeight(1, HOSTS[0], 1.0), api.SetWeight(2, HOSTS[1], 2.0), api.PublishVersion(5)]
    for _, mutant in mutants(said):
        calls = PendingCalls(["lookup"])
        calls.add(orders)
        first = calls.next_call(0.0)
        assert first
        stood = calls.on_answer(0.0, msgspec.json.encode(mutant))
        if calls.in_flight:  # unknown, or passed over until its time is up
            assert not stood
            calls.on_outcome_unknown(0.0)
        arrived = [*(stood or [])]
        calls.not_before_ms = 0.0
        while call := calls.next_call(0.0):
            arrived += (
                calls.on_answer(0.0, msgspec.json.encode({"id": call.id, "result": {"taken": len(call.orders)}})) or []
            )
        assert len(arrived) + len(calls.warnings) >= len(orders) or len(calls.warnings) == 1, mutant
        assert [o for o in orders if o not in arrived] == [] or calls.warnings, mutant
