"""Stores a controller's replica of quorum records in SQLite, one transaction per message.

Records age while no controller runs: by the machine's monotonic clock, or by the wall clock after a reboot.
"""

from __future__ import annotations

import errno
import os
import sqlite3
import time
from collections.abc import Callable
from typing import NamedTuple

from ..quorum_records.replica import Replica, UnsavedChanges
from ..quorum_records.stored_rows import Ballot, PeerFile
from ..store.database_file import is_transient, lock_database, open_database
from .recovery import boot_id

TABLES = """
create table if not exists meta (key text primary key, value text not null) without rowid;
create table if not exists record (grp integer, key integer, value integer not null, fence integer not null,
  round integer not null, born real not null, wall real not null, primary key (grp, key)) without rowid;
create table if not exists seen (grp integer primary key, fence integer not null);
create table if not exists peer (number integer primary key, opened integer not null, life integer not null,
  writes integer not null);
"""
NO_DESCRIPTOR = -1  # marks a closed lock file


class ClockReadings(NamedTuple):
    """The time on three clocks: the controller's own, the monotonic clock since boot, and the wall clock."""

    own_ms: float
    since_boot_ms: float
    wall_ms: float


class RecordStore:
    """Reads and writes the file of quorum records at `path`, which only one process may have open.

    clock: the controller's own, ms. is_blank: the file holds no complete replica (it is new, or was wiped).
    opening_number: how often the file was opened, including this time. Raises OSError if the file cannot be used, or
    another process has it open.
    """

    def __init__(self, path: str, clock: Callable[[], float]) -> None:
        self.path = path
        self.clock = clock
        self.lock_descriptor = NO_DESCRIPTOR
        self.db: sqlite3.Connection | None = None
        try:
            self.lock_descriptor = lock_database(path)
            self.db = open_database(path, TABLES)
            self._begin_opening(self.db)
        except (BlockingIOError, sqlite3.Error, ValueError) as error:
            self.close()
            number = errno.EIO if isinstance(error, sqlite3.Error) and is_transient(error) else errno.EINVAL
            raise OSError(number, str(error), path) from None

    def _begin_opening(self, db: sqlite3.Connection) -> None:
        """Read the metadata, and store the incremented number of openings."""
        metadata = dict(db.execute("select key, value from meta"))
        # Column `born` is on the clock since boot; after a reboot, ages are computed from the wall clock.
        self.is_same_boot = metadata.get("boot", "") == boot_id()
        self.is_blank = metadata.get("whole") != "1"
        self.opening_number = int(metadata.get("opened", 0)) + 1
        self.writes = int(metadata.get("writes", 0))
        self._write_metadata(db, {"opened": str(self.opening_number)})

    def _write_metadata(self, db: sqlite3.Connection, rows: dict[str, str]) -> None:
        db.executemany("insert or replace into meta values (?, ?)", rows.items())

    def _open_database(self) -> sqlite3.Connection:
        """Return the database. Raises OSError once the file is closed, because another process may have it open."""
        if self.db is None or self.lock_descriptor == NO_DESCRIPTOR:
            raise OSError(f"records file {self.path} is closed; another process may have it open")
        return self.db

    def _read_clocks(self) -> ClockReadings:
        return ClockReadings(self.clock(), time.monotonic() * 1000.0, time.time() * 1000.0)

    def load(self, replica: Replica) -> dict[int, PeerFile]:
        """Load all stored records into the replica.

        Returns what the other controllers reported about their files, by controller number.
        """
        db = self._open_database()
        clocks = self._read_clocks()
        for group, key, value, token, number, created_at_ms, wall_ms in db.execute("select * from record"):
            age_ms = max(0.0, clocks.since_boot_ms - created_at_ms if self.is_same_boot else clocks.wall_ms - wall_ms)
            # The file does not contain when a record was written last: it is kept as if that were now.
            replica.put(group, key, value, Ballot(token, number), clocks.own_ms - age_ms, clocks.own_ms)
        for group, token in db.execute("select * from seen"):
            replica.raise_token(group, token)
        replica.take_unsaved()
        replica.write_count = max(replica.write_count - 1, self.writes)
        if not self.is_same_boot:
            self._move_to_this_boot(db, clocks)
        return {number: PeerFile(*row) for number, *row in db.execute("select * from peer")}

    def _move_to_this_boot(self, db: sqlite3.Connection, clocks: ClockReadings) -> None:
        """Convert the times of all records to the clock since this boot, in one transaction."""
        rows = list(db.execute("select wall, grp, key from record"))
        db.execute("begin")
        db.executemany(
            "update record set born = ? where grp = ? and key = ?",
            [(clocks.since_boot_ms - max(0.0, clocks.wall_ms - wall_ms), group, key) for wall_ms, group, key in rows],
        )
        self._write_metadata(db, {"boot": boot_id()})
        db.execute("commit")
        self.is_same_boot = True

    def write(self, changes: UnsavedChanges) -> None:
        """Write changes of the replica in one transaction. Raises OSError, and then none of them is written."""
        db = self._open_database()
        clocks = self._read_clocks()
        try:
            db.execute("begin immediate")
            self._write_records(db, changes, clocks)
            self._write_counters(db, changes)
            db.execute("commit")
        except sqlite3.Error as error:
            if db.in_transaction:
                db.execute("rollback")
            raise OSError(f"{self.path}: {error}") from None

    def _write_records(self, db: sqlite3.Connection, changes: UnsavedChanges, clocks: ClockReadings) -> None:
        if changes.is_wiped:
            db.execute("delete from record")
            db.execute("delete from seen")
            self._write_metadata(db, {"whole": "0"})
        db.executemany("delete from record where grp = ? and key = ?", changes.deleted_keys)
        rows = []
        for group, key, value, token, number, created_at_ms in changes.rows:
            age_ms = clocks.own_ms - created_at_ms
            rows.append((group, key, value, token, number, clocks.since_boot_ms - age_ms, clocks.wall_ms - age_ms))
        db.executemany("insert or replace into record values (?, ?, ?, ?, ?, ?, ?)", rows)
        db.executemany("insert or replace into seen values (?, ?)", changes.highest_tokens.items())

    def _write_counters(self, db: sqlite3.Connection, changes: UnsavedChanges) -> None:
        peers = [(number, *row) for number, row in changes.peer_files.items()]
        db.executemany("insert or replace into peer values (?, ?, ?, ?)", peers)
        self.writes = changes.write_count
        self._write_metadata(db, {"writes": str(changes.write_count)})
        if changes.open_count:
            self.opening_number = changes.open_count
            self._write_metadata(db, {"opened": str(changes.open_count)})
        if changes.is_recovered:
            self._write_metadata(db, {"whole": "1"})

    def close(self) -> None:
        """Close the file and release its lock for another process."""
        if self.db is not None:
            self.db.close()
        if self.lock_descriptor != NO_DESCRIPTOR:
            os.close(self.lock_descriptor)
            self.lock_descriptor = NO_DESCRIPTOR
