"""Mutations of single messages of the relay and of discovery.

Each mutated message is rejected with a specific error or affects only the items that it names. No other exception may
be raised, and the state from all other messages is as without the mutation.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from platform_samples import HOSTS, KINDS, SETTINGS, ZONES, attach, entry, list_entry, owner

from corallanding import interface as api
from corallanding.discovery.host_list import HostListView, InvalidAnswerError
from corallanding.host_names import host_number
from corallanding.relay.notifications import InvalidNotificationError, parse_notification
from corallanding.relay.pending_calls import PendingCalls
from corallanding.relay.subscription import InitialState, RelayView

REMOVED = object()
NUMBERS: list[Any] = [True, 0, -1, 1 << 40, 1 << 70, 1.5, 1e300]
REPLACEMENTS: list[Any] = [REMOVED, None, *NUMBERS, "", "x", "s-0", "\x00", "x" * 99, [], {}, [[]], {"a": 1}]
NOTIFICATION_EVENTS = api.ProxyJoined | api.ProxyLeft | api.VersionAcked | api.SliceOwnershipChange | api.StoredWeight


def mutants(message: Any) -> Iterator[tuple[str, Any]]:
    """Yield the path of each value in a message, at any depth, and a copy of the message without it or with another."""
    for key in list(message) if isinstance(message, dict) else range(len(message)):
        for replacement in REPLACEMENTS:
            mutant = copy.deepcopy(message)
            if replacement is REMOVED:
                del mutant[key]
            else:
                mutant[key] = replacement
            if replacement is REMOVED or type(replacement) is not type(message[key]) or replacement != message[key]:
                yield f"{key}", mutant
        if isinstance(message[key], dict | list):
            for path, nested in mutants(message[key]):
                mutant = copy.deepcopy(message)
                mutant[key] = nested
                yield f"{key}.{path}", mutant


# ---- relay notifications ---------------------------------------------------------------------------------

INITIAL_NOTIFICATIONS = [attach(3), attach(4), owner(1), entry(1, 0), entry(1, 1), owner(2), entry(2, 2)]
LATER_NOTIFICATIONS: list[tuple[str, dict[str, Any]]] = [
    attach(5),
    ("done", {"node": 3, "nonce": 7, "latency": 3.5}),
    owner(6),
    entry(6, 3),
    ("detach", {"node": 4}),
    owner(2, False),
    ("ping", {}),
    attach(6),
]


def apply_lines(lines: list[Any]) -> tuple[RelayView, int]:
    """Apply the initial state and the later notifications; return the view and the number of rejected lines."""
    view, initial_state = RelayView(SETTINGS, ZONES), InitialState()
    errors: list[str] = []
    events: list[api.Event] = []
    for index, line in enumerate(lines):
        if index == len(INITIAL_NOTIFICATIONS):
            events += view.replace_state(initial_state)
        try:
            notification = parse_notification(msgspec.json.encode(line))
            if index < len(INITIAL_NOTIFICATIONS):
                view.add_initial(initial_state, notification)
            else:
                events += view.apply(notification)
        except InvalidNotificationError as error:
            errors.append(str(error))
    events += view.complete_slices()
    assert not any("\n" in error for error in errors)
    assert all(0 <= proxy < SETTINGS.proxy_count for proxy in view.proxies)
    assert all(
        0 <= slice_id < SETTINGS.slice_count and all(weight > 0 for weight in rows.values())
        for slice_id, rows in view.tables.items()
    )
    assert all(isinstance(event, NOTIFICATION_EVENTS) for event in events)
    return view, len(errors)


def named_proxies_and_slices(*lines: Any) -> tuple[set[int], set[int]]:
    """Return the proxies and slices that these lines may name."""
    all_params = [params for line in lines if isinstance(line, dict) and isinstance(params := line.get("params"), dict)]
    named = [
        {params.get(key) for params in all_params if isinstance(params.get(key), int)} for key in ("node", "shard")
    ]
    return named[0], named[1]


LINES = [
    {"jsonrpc": "2.0", "method": method, "params": params}
    for method, params in [*INITIAL_NOTIFICATIONS, *LATER_NOTIFICATIONS]
]


@pytest.mark.parametrize("index", range(len(LINES)))
def test_notification_when_one_value_is_changed_then_only_what_it_names_is_affected(index: int) -> None:
    expected, rejected_count = apply_lines(LINES)
    assert rejected_count == 0
    rejected = 0
    for _, mutant in mutants(LINES[index]):
        view, count = apply_lines([*LINES[:index], mutant, *LINES[index + 1 :]])
        rejected += count
        proxies, slices = named_proxies_and_slices(LINES[index], mutant)
        for actual, original, named in (
            (view.proxies, expected.proxies, proxies),
            (view.tables, expected.tables, slices),
        ):
            assert {k: v for k, v in actual.items() if k not in named} == {  # type: ignore[attr-defined]
                k: v for k, v in original.items() if k not in named
            }, mutant  # type: ignore[attr-defined]
    assert rejected or LINES[index]["method"] == "ping"


@pytest.mark.parametrize("index", range(len(LINES)))
@pytest.mark.parametrize("fault", ["lost", "duplicated", "after the next"])
def test_notification_when_lost_duplicated_or_late_then_only_what_it_names_is_affected(index: int, fault: str) -> None:
    expected, _ = apply_lines(LINES)
    following = LINES[index + 1 : index + 2]
    received = {
        "lost": following,
        "duplicated": [LINES[index], LINES[index], *following],
        "after the next": [*following, LINES[index]],
    }[fault]
    lines = [*LINES[:index], *received, *LINES[index + 2 :]]
    view, rejected = apply_lines(lines)
    proxies, slices = named_proxies_and_slices(LINES[index], *following)
    assert rejected == 0
    assert {p for p in view.proxies if p not in proxies} == {p for p in expected.proxies if p not in proxies}
    assert {s: rows for s, rows in view.tables.items() if s not in slices} == {
        s: rows for s, rows in expected.tables.items() if s not in slices
    }


# ---- host lists ------------------------------------------------------------------------------------------

STARTED_MS = 1_700_000_000_000
LISTS: list[dict[str, Any]] = [
    {"seq": 1, "whole": True, "hosts": [list_entry("s-1"), list_entry("s-2"), list_entry("s-3", site="b")]},
    {
        "seq": 2,
        "whole": False,
        "hosts": [list_entry("s-2", "terminating"), list_entry("s-4", born_ms=STARTED_MS)],
    },
    {"seq": 3, "whole": False, "hosts": [{"host": "s-2", "health": "terminated"}]},
]


def apply_answers(answers: list[Any]) -> tuple[HostListView, int]:
    """Apply discovery's answers; return the view and the number of rejected answers and entries."""
    view, rejected = HostListView(ZONES, KINDS), 0
    for answer in answers:
        try:
            event = view.apply(view.decode(msgspec.json.encode(answer)))
            rejected += len(view.rejected_entries)
            assert (
                all(isinstance(entry.host, int) and entry.zone in (0, 1) for entry in event.entries) if event else True
            )
        except InvalidAnswerError:
            rejected += 1
    return view, rejected


@pytest.mark.parametrize("index", range(len(LISTS)))
def test_list_when_one_value_is_changed_then_only_its_entry_is_affected(index: int) -> None:
    expected, rejected = apply_answers(LISTS)
    assert rejected == 0
    for path, mutant in mutants(LISTS[index]):
        view, rejected = apply_answers([*LISTS[:index], mutant, *LISTS[index + 1 :]])
        assert isinstance(view.version, int)
        assert len(view.entries) <= 4
        if not path.startswith("hosts."):
            continue  # a mutation outside the entries: the answer is rejected, or it is a different list
        host = LISTS[index]["hosts"][int(path.split(".")[1])]["host"]
        others = {
            h: entry
            for h, entry in expected.entries.items()
            if h not in (host_number(host), host_number("x"), host_number("s-0"))
        }
        assert {h: entry for h, entry in view.entries.items() if h in others} == others, mutant


# ---- calls -----------------------------------------------------------------------------------------------


ANSWER: dict[str, Any] = {"jsonrpc": "2.0", "id": 1, "result": {"taken": 3}}
ERROR: dict[str, Any] = {"jsonrpc": "2.0", "id": 1, "error": {"code": -32_000, "message": "Throttling"}}


@pytest.mark.parametrize("answer", [ANSWER, ERROR], ids=["answer", "error"])
def test_call_answer_when_one_value_is_changed_then_no_order_is_lost_silently(answer: dict[str, Any]) -> None:
    orders = [api.SetWeight(1, HOSTS[0], 1.0), api.SetWeight(2, HOSTS[1], 2.0), api.PublishVersion(5)]
    for _, mutant in mutants(answer):
        calls = PendingCalls(["lookup"])
        calls.add(orders)
        first_call = calls.next_call(0.0)
        assert first_call
        confirmed = calls.on_answer(0.0, msgspec.json.encode(mutant))
        if calls.in_flight:  # an unknown answer, ignored until the call times out
            assert not confirmed
            calls.on_outcome_unknown(0.0)
        all_confirmed = [*(confirmed or [])]
        calls.not_before_ms = 0.0
        while call := calls.next_call(0.0):
            all_confirmed += (
                calls.on_answer(0.0, msgspec.json.encode({"id": call.id, "result": {"taken": len(call.orders)}})) or []
            )
        assert len(all_confirmed) + len(calls.warnings) >= len(orders) or len(calls.warnings) == 1, mutant
        assert [order for order in orders if order not in all_confirmed] == [] or calls.warnings, mutant
