"""Snapshots: a module dumped and loaded acts as one that ran on; a file that is not right is refused by name."""

from __future__ import annotations

import json
from pathlib import Path

import golden
import msgspec
import pytest

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.assignment.rendezvous import RendezvousTable
from corallanding.assignment.state import Host
from corallanding.snapshot import file
from corallanding.snapshot.assigner_state import AssignerState, AssignerStateError, dump, load
from corallanding.snapshot.rankings import StoredRanking, dump_rankings, load_rankings
from corallanding.snapshot.stored_fields import VALUE_PATHS

WANT: dict[str, list[int]] = json.loads(golden.KEPT.read_text())


class Broken(golden.Day):
    """A day whose module is dumped, sent through bytes and loaded again, at every `every`-th step."""

    every, steps = 0, 0

    def step(self, events: list[golden.api.Event]) -> None:
        super().step(events)
        self.steps += 1
        if self.every and self.steps % self.every == 0:
            data = file.pack(dump(self.module))
            self.module = load(self.set, file.unpack(data, AssignerState))


@pytest.mark.parametrize(("seed", "every"), [(0, 1), (1, 7), (2, 13), (5, 50), (7, 97), (11, 31), (15, 400), (12, 1)])
def test_a_module_loaded_again_acts_as_the_one_that_ran_through(seed: int, every: int) -> None:
    _, over, hosts, slices = golden.DAYS[seed]
    day = Broken(Assigner, seed, over, hosts, slices)
    day.every = every
    assert day.run() == WANT[str(seed)]
    assert day.steps // every > 5


def test_every_part_of_the_module_is_either_kept_or_worked_out_anew() -> None:
    a = Assigner(golden.api.Settings(request_classes=(golden.QUOTE,)), 1)
    a.step(0.0, [])
    state = dump(a)
    parts = {
        *("publication", "pending_versions", "host_list", "host_health", "demand", "fleet", "load_estimator"),
        *("admission", "placement", "evacuation", "load_shedding", "migration"),
    }
    # All else follows from settings and seed, is shared between the parts, or is what the head of a turn works out.
    derived = {
        *("settings", "seed", "hosts", "slices", "rendezvous", "actions", "may_begin", "handlers"),
        *("decision_interval_ms", "min_latency_objective_ms", "is_ordinary_decision_due"),
        *("eligible_hosts", "spare_loads", "hosts_with_changed_load"),
    }
    assert set(state.values) == set(VALUE_PATHS)
    separately_stored = {
        "pending_versions.unacked_by_proxy",
        "pending_versions.sent_at_ms",
        "fleet.typical_latency_ms_by_kind",
    }
    kept = set(VALUE_PATHS.values()) | separately_stored
    owners = {
        "admission.": a.admission,
        "publication.": a.publication,
        "pending_versions.": a.pending_versions,
        "host_list.": a.host_list,
        "host_health.": a.host_health,
        "demand.": a.demand,
        "load_estimator.": a.load_estimator,
        "fleet.": a.fleet,
    }
    every = [(at, name) for at, part in {"": a, **owners}.items() for name in vars(part) if name not in derived]
    held = [at + name for at, name in every if name not in parts]
    assert sorted(held) == sorted(kept), "each is kept, once, under a name of its own"
    assert len(set(VALUE_PATHS.values())) == len(VALUE_PATHS)
    assert msgspec.msgpack.encode(state.values), "plain values only"


def test_a_snapshot_of_other_fields_is_refused_by_their_names() -> None:
    a = Assigner(golden.api.Settings(request_classes=(golden.QUOTE,)), 1)
    a.step(0.0, [golden.api.HostListUpdate(golden.api.HostListKind.FULL, 1, (golden.api.HostEntry(1),))])
    state = dump(a)
    state.host_fields = [*state.host_fields, "mood"]
    with pytest.raises(AssignerStateError, match="mood"):
        load(a.settings, state)


class Body(msgspec.Struct):
    a: int
    b: str = ""


def test_a_file_is_there_whole_or_not_at_all(tmp_path: Path) -> None:
    path = tmp_path / "s.snap"
    with pytest.raises(file.SnapshotMissingError, match="there is none"):
        file.read(path, Body)
    assert file.write(path, Body(5, "x")) == path.stat().st_size
    assert file.read(path, Body) == Body(5, "x")
    whole = path.read_bytes()
    for cut in range(len(whole)):
        path.write_bytes(whole[:cut])
        with pytest.raises(file.SnapshotDamagedError, match="s.snap"):
            file.read(path, Body)
    for at in range(len(whole)):
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 0x41]) + whole[at + 1 :])
        with pytest.raises((file.SnapshotDamagedError, file.SnapshotVersionError)):
            file.read(path, Body)
    path.write_bytes(whole)
    (tmp_path / "s.snap.new").mkdir()  # it cannot be written beside: the older one stands
    with pytest.raises(OSError):
        file.write(path, Body(6))
    assert file.read(path, Body) == Body(5, "x")


def test_versions_older_are_brought_up_and_newer_refused() -> None:
    old = file.pack({"a": 1}, version=1)
    ups = {1: lambda raw: {**raw, "b": "two"}, 2: lambda raw: {**raw, "a": raw["a"] + 10}}
    assert file.unpack(old, Body, 3, ups) == Body(11, "two")
    with pytest.raises(file.SnapshotDamagedError, match="no way from version 2 to 3"):
        file.unpack(old, Body, 3, {1: ups[1]})
    with pytest.raises(file.SnapshotVersionError, match="version 4; this program knows versions up to 3"):
        file.unpack(file.pack({}, version=4), Body, 3, ups)


def test_marks_go_over_and_grow_on_as_if_worked_out_anew() -> None:
    """Also into ranks that have more hosts by then; what does not fit is left to be worked out."""
    servers = [Host(h, api.HostEntry(h)) for h in range(300)]
    old, new, fresh = RendezvousTable[Host](), RendezvousTable[Host](), RendezvousTable[Host]()
    old.add(servers[:200])
    for s in range(20):
        old.ranking(s)
    rows = dump_rankings(old, range(25))
    assert len(rows) == 20
    new.add(servers[:250])
    bad = [StoredRanking(21, 999, b"", b""), StoredRanking(22, 9, b"12345678", b""), StoredRanking(3, 1, b"", b"")]
    assert (
        load_rankings(new, msgspec.msgpack.decode(msgspec.msgpack.encode([*rows, *bad]), type=list[StoredRanking]))
        == 20
    )
    new.add(servers)
    fresh.add(servers)
    for s in range(25):
        assert new.ranking(s) == fresh.ranking(s)
