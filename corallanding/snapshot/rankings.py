"""Rendezvous rankings as bytes, for a handover.

They follow from slices and hosts alone, but a large fleet's take seconds to compute anew: the old process sends them
ahead while it still works.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from typing import Any

import msgspec

from ..assignment.rendezvous import Ranking, RendezvousTable


class StoredRanking(msgspec.Struct, array_like=True):
    """The ranking of one slice; its order of fields is the wire.

    `positions` are places in the order of `AssignerState.ranked`, which only grows. `hosts_seen` is how many hosts of
    that order the ranking takes in.
    """

    slice_id: int
    hosts_seen: int
    scores: bytes  # doubles
    positions: bytes  # unsigned, four bytes each


def dump_rankings(rendezvous: RendezvousTable[Any], slice_ids: Iterable[int]) -> list[StoredRanking]:
    """The rankings of those slices that have one."""
    position_of = {id(host): n for n, host in enumerate(rendezvous.hosts)}
    stored = []
    for slice_id in slice_ids:
        ranking = rendezvous.rankings.get(slice_id)
        if ranking is None:
            continue
        scores = array("d", ranking.scores).tobytes()
        positions = array("I", [position_of[id(host)] for host in ranking.hosts]).tobytes()
        stored.append(StoredRanking(slice_id, rendezvous.hosts_seen[slice_id], scores, positions))
    return stored


def load_rankings(rendezvous: RendezvousTable[Any], stored: Iterable[StoredRanking]) -> int:
    """Take rankings into a table that has their hosts; returns how many.

    One that does not fit, or that the table has already, is passed over: it is computed when it is needed.
    """
    count = 0
    for row in stored:
        if row.slice_id in rendezvous.rankings or len(row.scores) != 2 * len(row.positions):
            continue
        positions = array("I")
        positions.frombytes(row.positions)
        is_known = row.hosts_seen <= len(rendezvous.hosts) and max(positions, default=0) < row.hosts_seen
        if not is_known or len(positions) > rendezvous.max_ranked:
            continue
        scores = array("d")
        scores.frombytes(row.scores)
        hosts = [rendezvous.hosts[n] for n in positions]
        rendezvous.rankings[row.slice_id] = Ranking(scores.tolist(), hosts)
        rendezvous.hosts_seen[row.slice_id] = row.hosts_seen
        count += 1
    return count
