"""The file of records: what was written is there after any end, with its age; one process at a time."""

from __future__ import annotations

import shutil
import sqlite3
from pathlib import Path

import pytest

from corallanding.controller import record_store
from corallanding.controller.record_store import RecordStore
from corallanding.quorum_records.limits import RecordLimits
from corallanding.quorum_records.replica import Replica, UnsavedChanges


def opened(path: Path, now: float = 5_000.0) -> tuple[RecordStore, Replica]:
    file, shelf = RecordStore(str(path), lambda: now), Replica(RecordLimits())
    shelf.blank = file.is_blank
    file.load(shelf)
    return file, shelf


def kept(shelf: Replica, file: RecordStore) -> None:
    file.write(shelf.take_unkept())


def test_what_was_written_is_there_with_its_age_and_the_fences_that_were_seen(tmp_path: Path) -> None:
    file, shelf = opened(tmp_path / "r.db")
    assert file.is_blank
    assert file.opening_number == 1
    shelf.unkept.whole = True
    shelf.put(7, 99, 3, (12, 4), 4_000.0)
    shelf.raise_seen(7, 13)
    shelf.unkept.peers[2] = (5, 77, 40)
    kept(shelf, file)
    file.close()
    file, shelf = opened(tmp_path / "r.db", 1_000.0)
    record = shelf.groups[7][99]
    assert (record.value, record.order, shelf.seen[7], file.is_blank, file.opening_number) == (3, (12, 4), 13, False, 2)
    assert 1_000.0 <= 1_000.0 - record.born < 6_000.0, "a second old when it was written, and goes on"
    assert file.load(Replica(RecordLimits())) == {2: (5, 77, 40)}
    assert shelf.writes == 1
    file.close()


def test_after_another_boot_ages_go_by_the_wall_clock(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file, shelf = opened(tmp_path / "r.db")
    shelf.put(7, 99, 3, (12, 4), 4_000.0)
    kept(shelf, file)
    file.close()
    with sqlite3.connect(tmp_path / "r.db") as db:
        db.execute("update record set wall = wall - 60000, born = born + 1e9")
        db.execute("insert or replace into meta values ('boot', 'another')")
    monkeypatch.setattr(record_store, "boot_id", lambda: "this one")
    file, shelf = opened(tmp_path / "r.db")
    assert 61_000.0 <= 5_000.0 - shelf.groups[7][99].born < 66_000.0
    file.close()
    file, shelf = opened(tmp_path / "r.db")
    assert 61_000.0 <= 5_000.0 - shelf.groups[7][99].born < 66_000.0, "from here on by this boot's clock"
    file.close()


def test_one_process_at_a_time_and_none_after_it_was_let_go(tmp_path: Path) -> None:
    file, shelf = opened(tmp_path / "r.db")
    with pytest.raises(OSError):
        RecordStore(str(tmp_path / "r.db"), lambda: 0.0)
    file.close()
    shelf.put(7, 99, 3, (12, 4), 0.0)
    with pytest.raises(OSError, match="another process"):
        kept(shelf, file)
    other, _ = opened(tmp_path / "r.db")
    assert other.opening_number == 2
    other.close()


def test_a_file_that_does_not_take_a_write_keeps_nothing_of_it(tmp_path: Path) -> None:
    file, shelf = opened(tmp_path / "r.db")
    with sqlite3.connect(tmp_path / "r.db", isolation_level=None) as other:
        other.execute("begin immediate")
        shelf.put(7, 99, 3, (12, 4), 0.0)
        what = shelf.take_unkept()
        with pytest.raises(OSError, match="locked"):
            file.write(what)
        other.execute("rollback")
    file.write(what)
    file.close()
    assert list(opened(tmp_path / "r.db")[1].groups[7]) == [99]


def test_a_copy_that_is_put_back_has_fewer_writes_than_others_know_of(tmp_path: Path) -> None:
    file, shelf = opened(tmp_path / "r.db")
    kept_at = []
    for key in range(1, 6):
        shelf.put(7, key, 3, (12, key), 0.0)
        kept(shelf, file)
        if key == 3:
            file.db.execute("pragma wal_checkpoint(truncate)")
            shutil.copy(tmp_path / "r.db", tmp_path / "copy.db")
        kept_at.append(shelf.writes)
    file.close()
    old, had = opened(tmp_path / "copy.db")
    assert kept_at == [1, 2, 3, 4, 5] and had.writes == 3 and old.opening_number == 2, "by its openings it would pass"
    old.close()


def test_what_is_wiped_is_gone_and_what_is_blank_stays_so_until_it_is_whole(tmp_path: Path) -> None:
    file, shelf = opened(tmp_path / "r.db")
    shelf.put(7, 99, 3, (12, 4), 0.0)
    shelf.unkept.whole = True
    kept(shelf, file)
    shelf.wipe()
    kept(shelf, file)
    file.close()
    file, shelf = opened(tmp_path / "r.db")
    assert file.is_blank
    assert not shelf.groups
    file.write(UnsavedChanges(whole=True, writes=9))
    file.close()
    assert not opened(tmp_path / "r.db")[0].is_blank
