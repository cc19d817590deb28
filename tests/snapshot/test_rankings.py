"""Rankings that are handed over."""

from __future__ import annotations

import msgspec

from corallanding import interface as api
from corallanding.assignment.rendezvous import RendezvousTable
from corallanding.assignment.state import Host
from corallanding.snapshot.rankings import StoredRanking, dump_rankings, load_rankings


def test_rankings_when_loaded_then_they_grow_on_as_if_computed_anew() -> None:
    """Also in a table that has more hosts by then; what does not fit is left to be computed."""
    hosts = [Host(host_id, api.HostEntry(host_id)) for host_id in range(300)]
    old = RendezvousTable[Host]()
    old.add(hosts[:200])
    for slice_id in range(20):
        old.ranking(slice_id)
    stored = dump_rankings(old, range(25))
    assert len(stored) == 20
    unfit = [StoredRanking(21, 999, b"", b""), StoredRanking(22, 9, b"12345678", b""), StoredRanking(3, 1, b"", b"")]
    sent = msgspec.msgpack.decode(msgspec.msgpack.encode([*stored, *unfit]), type=list[StoredRanking])
    loaded = RendezvousTable[Host]()
    loaded.add(hosts[:250])
    assert load_rankings(loaded, sent) == 20
    loaded.add(hosts)
    fresh = RendezvousTable[Host]()
    fresh.add(hosts)
    for slice_id in range(25):
        assert loaded.ranking(slice_id) == fresh.ranking(slice_id)
