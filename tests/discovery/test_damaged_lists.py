"""Host lists that are outdated, truncated or empty, and entries that are invalid, repeated or nested too deeply."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from platform_samples import KINDS, ZONES, list_entry

from corallanding.discovery.host_list import HostListView, InvalidAnswerError
from tests.discovery.support import apply_list, listed_states


def test_answer_when_nested_too_deeply_then_it_is_rejected() -> None:
    with pytest.raises(InvalidAnswerError):
        HostListView(ZONES, KINDS).decode(b'{"seq":1,"whole":true,"hosts":' + b"[" * 5_000 + b"]" * 5_000 + b"}")


@pytest.mark.parametrize("health", ["terminating", "terminated"])
@pytest.mark.parametrize("is_complete", [True, False])
def test_damaged_entry_when_its_host_leaves_then_its_state_is_applied(health: str, is_complete: bool) -> None:
    view = HostListView(ZONES, KINDS)
    apply_list(view, True, list_entry("s-1"), list_entry("s-2"))
    update = apply_list(view, is_complete, list_entry("s-1", health, site="z", share="x"), list_entry("s-2"), version=2)
    assert update
    assert view.rejected_entries
    is_draining = health == "terminating"
    assert listed_states(view) == {"s-2": "up", **({"s-1": "draining"} if is_draining else {})}
    assert apply_list(view, False, list_entry("s-9", health, share="x"), version=3) is None, (
        "an invalid entry of an unknown host is ignored"
    )


def test_damaged_entry_when_the_name_is_long_then_its_host_keeps_its_last_valid_state() -> None:
    view, name = HostListView(ZONES, KINDS), "rack-17.hall-b.olaine.example"
    apply_list(view, True, list_entry(name))
    apply_list(view, True, list_entry(name, share="x"), version=2)
    assert listed_states(view) == {name: "up"}
    assert view.rejected_entries


@pytest.mark.parametrize(
    "entry",
    [
        {"host": "\ud800"},
        {"host": "x" * 99},
        {"host": 7},
        {"host": ["s-1"]},
        {},
        [],
        None,
        3,
        {"host": "s-1", "health": ["terminating"]},
        {"host": "s-1", "health": {}},
    ],
)
def test_entry_when_invalid_then_it_is_reported_and_the_others_are_applied(entry: Any) -> None:
    view = HostListView(ZONES, KINDS)
    apply_list(view, True, list_entry("s-1"))
    update = apply_list(view, True, entry, list_entry("s-2"), version=2)
    assert update
    assert view.rejected_entries
    assert "s-2" in listed_states(view)


def test_list_when_older_than_the_last_then_the_next_answers_correct_it() -> None:
    """The view also takes the older version, so that the missing changes are requested again."""
    view = HostListView(ZONES, KINDS)
    apply_list(view, True, list_entry("s-1"), version=40)
    apply_list(view, False, list_entry("s-1", "terminating"), version=41)
    apply_list(view, True, list_entry("s-1"), version=40)
    assert view.version == 40
    apply_list(view, False, list_entry("s-1", "terminating"), version=41)
    assert listed_states(view) == {"s-1": "draining"}


def test_list_when_a_host_is_listed_twice_or_returns_then_the_last_entry_is_used() -> None:
    view = HostListView(ZONES, KINDS)
    update = apply_list(
        view, True, list_entry("s-1"), list_entry("s-1", "terminating"), list_entry("s-3", "terminating")
    )
    assert update
    assert [e.state for e in update.entries] == ["draining", "draining"]
    apply_list(view, False, list_entry("s-1", "terminated"), version=2)
    update = apply_list(view, False, list_entry("s-1", born_ms=9_000), version=3)
    assert update
    assert update.entries[0].online_since == 9_000
    assert listed_states(view) == {"s-1": "up", "s-3": "draining"}
    update = apply_list(view, True, version=4)
    assert update
    assert update.entries == ()
    assert listed_states(view) == {}, "an empty list is applied; the assigner decides what to do with it"


def test_list_when_truncated_at_any_byte_then_it_is_rejected() -> None:
    view, body = (
        HostListView(ZONES, KINDS),
        msgspec.json.encode({"seq": 2, "whole": True, "hosts": [list_entry("s-1"), list_entry("s-2")]}),
    )
    for cut in range(len(body)):
        with pytest.raises(InvalidAnswerError):
            view.decode(body[:cut])
