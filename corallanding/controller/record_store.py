"""The file in which a steward keeps its copies of records that are written once. SQLite, one transaction for each word.

Ages go on while nobody runs: by the clock of the machine since its boot, or by the wall clock after another boot.
"""

from __future__ import annotations

import fcntl
import os
import sqlite3
import time
from collections.abc import Callable

from ..quorum_records.replica import Replica, UnsavedChanges
from .recovery import boot_id

TABLES = """
create table if not exists meta (key text primary key, value text not null) without rowid;
create table if not exists record (grp integer, key integer, value integer not null, fence integer not null,
  round integer not null, born real not null, wall real not null, primary key (grp, key)) without rowid;
create table if not exists seen (grp integer primary key, fence integer not null);
create table if not exists peer (number integer primary key, opened integer not null, life integer not null,
  writes integer not null);
"""


class RecordStore:
    """clock: the steward's own, ms. Raises OSError if the file cannot be used, or another process holds it."""

    def __init__(self, path: str, clock: Callable[[], float]) -> None:
        self.path, self.clock = path, clock
        self.lock = os.open(f"{path}.lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.db = sqlite3.connect(path, isolation_level=None, timeout=0.02)
            self.db.execute("pragma journal_mode=wal")
            self.db.execute("pragma synchronous=normal")
            self.db.executescript(TABLES)
            meta = dict(self.db.execute("select key, value from meta"))
            # `born` is on the clock since boot; what was written before another boot is told by the wall clock.
            self.is_same_boot = meta.get("boot", "") == boot_id()
            self.is_blank = meta.get("whole") != "1"
            self.opening_number, self.writes = int(meta.get("opened", 0)) + 1, int(meta.get("writes", 0))
            self.write_metadata({"opened": str(self.opening_number)})
        except (BlockingIOError, sqlite3.Error, ValueError) as fault:
            self.close()
            raise OSError(f"{path}: {fault}") from None

    def write_metadata(self, rows: dict[str, str]) -> None:
        self.db.executemany("insert or replace into meta values (?, ?)", rows.items())

    def clocks(self) -> tuple[float, float, float]:
        """ms: of the steward's clock, since boot, of the wall clock."""
        return self.clock(), time.monotonic() * 1000.0, time.time() * 1000.0

    def load(self, shelf: Replica) -> dict[int, tuple[int, int, int]]:
        """Puts all into the shelf; the openings of others' files that were heard of."""
        mine, booted, wall = self.clocks()
        for group, key, value, fence, number, born, walled in self.db.execute("select * from record"):
            age = max(0.0, booted - born if self.is_same_boot else wall - walled)
            shelf.put(group, key, value, (fence, number), mine - age)
        for group, fence in self.db.execute("select * from seen"):
            shelf.raise_seen(group, fence)
        shelf.take_unkept()
        shelf.writes = max(shelf.writes - 1, self.writes)
        if not self.is_same_boot:
            rows = list(self.db.execute("select wall, grp, key from record"))
            self.db.execute("begin")
            self.db.executemany(
                "update record set born = ? where grp = ? and key = ?",
                [(booted - max(0.0, wall - walled), group, key) for walled, group, key in rows],
            )
            self.write_metadata({"boot": boot_id()})
            self.db.execute("commit")
            self.is_same_boot = True
        return {n: (opened, life, writes) for n, opened, life, writes in self.db.execute("select * from peer")}

    def write(self, what: UnsavedChanges) -> None:
        """One transaction. Raises OSError; nothing of it is written then."""
        if self.lock < 0:
            raise OSError(f"{self.path}: it is another process's now")
        mine, booted, wall = self.clocks()
        try:
            self.db.execute("begin immediate")
            if what.wiped:
                self.db.execute("delete from record")
                self.db.execute("delete from seen")
                self.write_metadata({"whole": "0"})
            self.db.executemany("delete from record where grp = ? and key = ?", what.gone)
            self.db.executemany(
                "insert or replace into record values (?, ?, ?, ?, ?, ?, ?)",
                [
                    (group, key, value, fence, number, booted - (mine - born), wall - (mine - born))
                    for group, key, value, fence, number, born in what.rows
                ],
            )
            self.db.executemany("insert or replace into seen values (?, ?)", what.seen.items())
            self.db.executemany(
                "insert or replace into peer values (?, ?, ?, ?)", [(n, *row) for n, row in what.peers.items()]
            )
            self.writes = what.writes
            self.write_metadata({"writes": str(what.writes)})
            if what.opened:
                self.opening_number = what.opened
                self.write_metadata({"opened": str(what.opened)})
            if what.whole:
                self.write_metadata({"whole": "1"})
            self.db.execute("commit")
        except sqlite3.Error as fault:
            if self.db.in_transaction:
                self.db.execute("rollback")
            raise OSError(f"{self.path}: {fault}") from None

    def close(self) -> None:
        if hasattr(self, "db"):
            self.db.close()
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1
