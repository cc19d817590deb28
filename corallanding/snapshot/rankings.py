"""Serialized rendezvous rankings, for a handover.

Rankings depend on slices and hosts alone, but those of a large fleet take seconds to compute again: the old process
sends them in advance, while it is still active.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from typing import Any

import msgspec

from ..assignment.rendezvous import Ranking, RendezvousTable


class StoredRanking(msgspec.Struct, array_like=True):
    """The ranking of one slice; the order of the fields is the wire format.

    `positions` are indexes into `AssignerState.ranked`, to which hosts are only appended. `hosts_seen` is the number of
    hosts of that list, from its beginning, that the ranking considers.
    """

    slice_id: int
    hosts_seen: int
    scores: bytes  # doubles
    positions: bytes  # unsigned integers of four bytes


def dump_rankings(rendezvous: RendezvousTable[Any], slice_ids: Iterable[int]) -> list[StoredRanking]:
    """Return the rankings of the given slices; slices without a ranking are omitted."""
    position_of = {id(host): position for position, host in enumerate(rendezvous.hosts)}
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
    """Add rankings to a table that has their hosts; return the number added.

    Invalid rankings, and those of slices that already have one, are skipped; a missing ranking is computed on demand.
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
        hosts = [rendezvous.hosts[position] for position in positions]
        rendezvous.rankings[row.slice_id] = Ranking(scores.tolist(), hosts)
        rendezvous.hosts_seen[row.slice_id] = row.hosts_seen
        count += 1
    return count
