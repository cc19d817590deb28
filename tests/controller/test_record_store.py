"""The file of quorum records: records keep their age over restarts, and only one process has the file open."""

from __future__ import annotations

import shutil
import sqlite3
from pathlib import Path
from typing import NamedTuple

import pytest

from corallanding.controller import record_store
from corallanding.controller.record_store import RecordStore
from corallanding.quorum_records.limits import RecordLimits
from corallanding.quorum_records.replica import Replica, UnsavedChanges


class OpenStore(NamedTuple):
    """A store, and the replica that was loaded from it."""

    store: RecordStore
    replica: Replica

    def save(self) -> None:
        """Write the changes of the replica."""
        self.store.write(self.replica.take_unsaved())


def open_store(path: Path, now_ms: float = 5_000.0) -> OpenStore:
    store = RecordStore(str(path), lambda: now_ms)
    replica = Replica(RecordLimits())
    replica.is_recovering = store.is_blank
    store.load(replica)
    return OpenStore(store, replica)


def test_store_when_reopened_then_records_keep_their_age_and_fencing_tokens_are_loaded(tmp_path: Path) -> None:
    opened = open_store(tmp_path / "r.db")
    assert opened.store.is_blank
    assert opened.store.opening_number == 1
    opened.replica.unsaved.is_recovered = True
    opened.replica.put(7, 99, 3, (12, 4), 4_000.0)
    opened.replica.raise_token(7, 13)
    opened.replica.unsaved.peer_files[2] = (5, 77, 40)
    opened.save()
    opened.store.close()
    opened = open_store(tmp_path / "r.db", 1_000.0)
    record = opened.replica.groups[7][99]
    assert (record.value, record.ballot) == (3, (12, 4))
    assert opened.replica.highest_tokens[7] == 13
    assert not opened.store.is_blank
    assert opened.store.opening_number == 2
    assert 1_000.0 <= 1_000.0 - record.created_at_ms < 6_000.0, "its age was 1 s when it was written, and increases"
    assert opened.store.load(Replica(RecordLimits())) == {2: (5, 77, 40)}
    assert opened.replica.write_count == 1
    opened.store.close()


def test_store_when_opened_after_a_reboot_then_ages_come_from_the_wall_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    opened = open_store(tmp_path / "r.db")
    opened.replica.put(7, 99, 3, (12, 4), 4_000.0)
    opened.save()
    opened.store.close()
    with sqlite3.connect(tmp_path / "r.db") as db:
        db.execute("update record set wall = wall - 60000, born = born + 1e9")
        db.execute("insert or replace into meta values ('boot', 'another')")
    monkeypatch.setattr(record_store, "boot_id", lambda: "this one")
    opened = open_store(tmp_path / "r.db")
    assert 61_000.0 <= 5_000.0 - opened.replica.groups[7][99].created_at_ms < 66_000.0
    opened.store.close()
    opened = open_store(tmp_path / "r.db")
    assert 61_000.0 <= 5_000.0 - opened.replica.groups[7][99].created_at_ms < 66_000.0, "converted to this boot's clock"
    opened.store.close()


def test_store_when_another_process_has_it_open_or_it_is_closed_then_access_fails(tmp_path: Path) -> None:
    opened = open_store(tmp_path / "r.db")
    with pytest.raises(OSError, match=r"r\.db"):
        RecordStore(str(tmp_path / "r.db"), lambda: 0.0)
    opened.store.close()
    opened.replica.put(7, 99, 3, (12, 4), 0.0)
    with pytest.raises(OSError, match="another process"):
        opened.save()
    other = open_store(tmp_path / "r.db")
    assert other.store.opening_number == 2
    other.store.close()


def test_write_when_the_file_is_locked_then_nothing_is_stored(tmp_path: Path) -> None:
    opened = open_store(tmp_path / "r.db")
    with sqlite3.connect(tmp_path / "r.db", isolation_level=None) as other:
        other.execute("begin immediate")
        opened.replica.put(7, 99, 3, (12, 4), 0.0)
        changes = opened.replica.take_unsaved()
        with pytest.raises(OSError, match="locked"):
            opened.store.write(changes)
        other.execute("rollback")
    opened.store.write(changes)
    opened.store.close()
    assert list(open_store(tmp_path / "r.db").replica.groups[7]) == [99]


def test_store_when_an_old_copy_is_restored_then_it_has_fewer_writes(tmp_path: Path) -> None:
    opened = open_store(tmp_path / "r.db")
    write_counts = []
    for key in range(1, 6):
        opened.replica.put(7, key, 3, (12, key), 0.0)
        opened.save()
        if key == 3:
            assert opened.store.db is not None
            opened.store.db.execute("pragma wal_checkpoint(truncate)")
            shutil.copy(tmp_path / "r.db", tmp_path / "copy.db")
        write_counts.append(opened.replica.write_count)
    opened.store.close()
    copy = open_store(tmp_path / "copy.db")
    assert write_counts == [1, 2, 3, 4, 5]
    assert copy.replica.write_count == 3
    assert copy.store.opening_number == 2, "the opening number alone does not reveal the old copy"
    copy.store.close()


def test_store_when_wiped_then_it_is_blank_until_it_is_complete_again(tmp_path: Path) -> None:
    opened = open_store(tmp_path / "r.db")
    opened.replica.put(7, 99, 3, (12, 4), 0.0)
    opened.replica.unsaved.is_recovered = True
    opened.save()
    opened.replica.wipe()
    opened.save()
    opened.store.close()
    opened = open_store(tmp_path / "r.db")
    assert opened.store.is_blank
    assert not opened.replica.groups
    opened.store.write(UnsavedChanges(is_recovered=True, write_count=9))
    opened.store.close()
    assert not open_store(tmp_path / "r.db").store.is_blank
