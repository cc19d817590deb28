"""Lists of marks out and in. They follow from slices and hosts alone, and working them out anew takes a large fleet
seconds: a handover takes them along, and sends them ahead, while the old process still works. Decides nothing."""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from typing import Any

import msgspec

from ..assignment.rendezvous import RendezvousTable


class Row(msgspec.Struct, array_like=True):
    """One slice's list. done: how many hosts it has seen. Positions are places in the order of `ModuleState.ranked`,
    which only grows."""

    slice: int
    done: int
    marks: bytes  # doubles
    places: bytes  # unsigned, four bytes each


def out(ranks: RendezvousTable[Any], slices: Iterable[int]) -> list[Row]:
    """Those of `slices` that have a list. Positions are looked up anew for each call: a call is a piece of work."""
    place = {id(server): n for n, server in enumerate(ranks.hosts)}
    found = []
    for s in slices:
        if row := ranks.rankings.get(s):
            places = array("I", [place[id(x)] for x in row[1]])
            found.append(Row(s, ranks.hosts_seen[s], array("d", row[0]).tobytes(), places.tobytes()))
    return found


def put(ranks: RendezvousTable[Any], rows: Iterable[Row]) -> int:
    """Into ranks that know their hosts; how many lists were taken. One that does not fit is left to be worked out."""
    taken, servers = 0, ranks.hosts
    for r in rows:
        if r.done > len(servers) or len(r.marks) != 2 * len(r.places) or r.slice in ranks.rankings:
            continue
        marks, places = array("d"), array("I")
        marks.frombytes(r.marks)
        places.frombytes(r.places)
        if len(places) > ranks.max_ranked or max(places, default=0) >= r.done:
            continue
        ranks.rankings[r.slice] = (marks.tolist(), [servers[n] for n in places])
        ranks.hosts_seen[r.slice] = r.done
        taken += 1
    return taken
