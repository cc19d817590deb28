"""Lists that are whole, older, damaged, cut or of no shape at all."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from platform_samples import KINDS, ZONES
from test_platform_state import held, row, take

from corallanding.discovery.host_list import HostListView, InvalidAnswerError


def test_answer_when_nested_without_end_then_it_is_rejected() -> None:
    with pytest.raises(InvalidAnswerError):
        HostListView(ZONES, KINDS).decode(b'{"seq":1,"whole":true,"hosts":' + b"[" * 5_000 + b"]" * 5_000 + b"}")


@pytest.mark.parametrize("health", ["terminating", "terminated"])
@pytest.mark.parametrize("whole", [True, False])
def test_damaged_entry_when_its_host_leaves_then_that_is_believed(health: str, whole: bool) -> None:
    view = HostListView(ZONES, KINDS)
    take(view, True, row("s-1"), row("s-2"))
    told = take(view, whole, row("s-1", health, site="z", share="x"), row("s-2"), seq=2)
    assert told
    assert view.rejected_entries
    leaves = health == "terminating"
    assert held(view) == {"s-2": "up", **({"s-1": "draining"} if leaves else {})}
    assert take(view, False, row("s-9", health, share="x"), seq=3) is None, "one that nobody knows is not made up"


def test_damaged_entry_when_the_name_is_long_then_its_last_good_state_stays() -> None:
    view, name = HostListView(ZONES, KINDS), "rack-17.hall-b.olaine.example"
    take(view, True, row(name))
    take(view, True, row(name, share="x"), seq=2)
    assert held(view) == {name: "up"}
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
def test_entry_when_of_any_shape_then_it_is_logged_and_affects_only_itself(entry: Any) -> None:
    view = HostListView(ZONES, KINDS)
    take(view, True, row("s-1"))
    told = take(view, True, entry, row("s-2"), seq=2)
    assert told
    assert view.rejected_entries
    assert "s-2" in held(view)


def test_list_when_older_than_the_last_then_the_next_answers_undo_it() -> None:
    """Its version goes back with it, so that what it lacks is asked for again."""
    view = HostListView(ZONES, KINDS)
    take(view, True, row("s-1"), seq=40)
    take(view, False, row("s-1", "terminating"), seq=41)
    take(view, True, row("s-1"), seq=40)
    assert view.version == 40
    take(view, False, row("s-1", "terminating"), seq=41)
    assert held(view) == {"s-1": "draining"}


def test_list_when_a_host_is_named_twice_or_returns_then_the_last_entry_counts() -> None:
    view = HostListView(ZONES, KINDS)
    told = take(view, True, row("s-1"), row("s-1", "terminating"), row("s-3", "terminating"))
    assert told
    assert [e.state for e in told.entries] == ["draining", "draining"]
    take(view, False, row("s-1", "terminated"), seq=2)
    told = take(view, False, row("s-1", born_ms=9_000), seq=3)
    assert told
    assert told.entries[0].online_since == 9_000
    assert held(view) == {"s-1": "up", "s-3": "draining"}
    told = take(view, True, seq=4)
    assert told
    assert told.entries == ()
    assert held(view) == {}, "an empty list is a list: the assigner judges it"


def test_list_when_cut_at_any_byte_then_it_is_rejected_or_complete() -> None:
    view, body = (
        HostListView(ZONES, KINDS),
        msgspec.json.encode({"seq": 2, "whole": True, "hosts": [row("s-1"), row("s-2")]}),
    )
    for cut in range(len(body)):
        with pytest.raises(InvalidAnswerError):
            view.decode(body[:cut])
