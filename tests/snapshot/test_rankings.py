"""Tests of rendezvous rankings that are serialized for a handover."""

from __future__ import annotations

import msgspec

from corallanding import interface as api
from corallanding.assignment.rendezvous import RendezvousTable
from corallanding.assignment.state import Host
from corallanding.snapshot.rankings import StoredRanking, dump_rankings, load_rankings


def test_rankings_when_loaded_then_they_are_extended_like_computed_ones() -> None:
    """The loading table may already have more hosts. Invalid rankings are skipped, and computed on demand."""
    hosts = [Host(host_id, api.HostEntry(host_id)) for host_id in range(300)]
    old = RendezvousTable[Host]()
    old.add(hosts[:200])
    for slice_id in range(20):
        old.ranking(slice_id)
    stored = dump_rankings(old, range(25))
    assert len(stored) == 20
    invalid = [StoredRanking(21, 999, b"", b""), StoredRanking(22, 9, b"12345678", b""), StoredRanking(3, 1, b"", b"")]
    sent = msgspec.msgpack.decode(msgspec.msgpack.encode([*stored, *invalid]), type=list[StoredRanking])
    loaded = RendezvousTable[Host]()
    loaded.add(hosts[:250])
    assert load_rankings(loaded, sent) == 20
    loaded.add(hosts)
    recomputed = RendezvousTable[Host]()
    recomputed.add(hosts)
    for slice_id in range(25):
        assert loaded.ranking(slice_id) == recomputed.ranking(slice_id)
