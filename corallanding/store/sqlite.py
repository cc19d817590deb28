"""The embedded store: one SQLite file in WAL mode. `docs/store.md` weighs it against LMDB.

A transaction a step: after kill -9 at any instant the file holds whole steps only. Each open raises `life`,
and every write checks it, so that a steward that was paused while another took over cannot write.
"""

from __future__ import annotations

import fcntl
import json
import os
import sqlite3
from collections.abc import Callable, Sequence
from pathlib import Path

from .. import interface as api
from ..interface import stored_names
from .api import StoreContents, StoreError, StoreLockedError

SCHEMA = 1
TABLES = """
create table if not exists meta (key text primary key, value text not null) without rowid;
create table if not exists line (tbl integer, host integer, weight real not null, primary key (tbl, host))
  without rowid;
create table if not exists roster (host integer primary key, entry text not null) without rowid;
"""
HOST_ENTRY = stored_names.FIELDS[api.HostEntry]


def no_halt(point: str) -> None:
    """Where the tests end the process: each write point is named, none is skipped."""


class SqliteStore:
    """path: the file; its folder must exist. sync: "normal" (kept through a killed process) or "full" (also
    through a lost machine). `halt` is called at every write point with its name."""

    def __init__(self, path: str | Path, sync: str = "normal", halt: Callable[[str], None] = no_halt) -> None:
        self.path, self.sync, self.on_write_point = Path(path), sync, halt
        self.start_number = 0
        self.lock: int | None = None
        self.db: sqlite3.Connection | None = None

    def open(self) -> StoreContents:
        """Raise `StoreLockedError` while another process holds the file, `StoreError` if it cannot be used."""
        try:
            return self.take()
        except BaseException:
            self.close()
            raise

    def take(self) -> StoreContents:
        try:
            self.lock = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StoreLockedError(f"{self.path}: another steward holds this store") from None
        except OSError as fault:
            raise StoreError(f"{self.path}: {fault.strerror}") from None
        try:
            self.db = sqlite3.connect(self.path, isolation_level=None, timeout=0.02, check_same_thread=False)
            self.db.execute("pragma journal_mode=wal")
            self.db.execute(f"pragma synchronous={self.sync}")
            self.db.executescript(TABLES)
            schema = int(self.value("schema") or SCHEMA)
            if schema != SCHEMA:
                raise StoreError(f"{self.path}: schema {schema}; this version reads {SCHEMA}")
            self.db.execute("begin immediate")
            self.start_number = int(self.value("life") or 0) + 1
            seq = int(self.value("seq") or 0)
            self.put("schema", str(SCHEMA))
            self.put("life", str(self.start_number))
            self.put("seq", "0")
            self.db.execute("commit")
            return self.read(seq)
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: {fault}") from None

    def read(self, seq: int) -> StoreContents:
        assert self.db is not None
        life = StoreContents(self.start_number, seq, host_list_version=int(self.value("roster_version") or 0))
        for table, host, weight in self.db.execute("select tbl, host, weight from line order by tbl, host"):
            life.tables.setdefault(table, {})[host] = weight
        entries = []
        for host, text in self.db.execute("select host, entry from roster order by host"):
            row = json.loads(text)
            life.addresses[host] = row.pop("address", "")
            life.started_at_ms[host] = row.pop("started", 0.0)
            entries.append(api.HostEntry(host, **{HOST_ENTRY[name]: value for name, value in row.items()}))
        life.host_entries = tuple(entries)
        return life

    def value(self, key: str) -> str | None:
        assert self.db is not None
        row = self.db.execute("select value from meta where key = ?", (key,)).fetchone()
        return None if row is None else str(row[0])

    def put(self, key: str, value: str) -> None:
        assert self.db is not None
        self.db.execute("insert or replace into meta values (?, ?)", (key, value))

    def transact(self, work: Callable[[sqlite3.Connection], None]) -> None:
        if self.db is None:
            raise StoreError(f"{self.path}: not open")
        try:
            self.on_write_point("before begin")
            self.db.execute("begin immediate")
            try:
                found = self.value("life")
                if found != str(self.start_number):
                    raise StoreLockedError(
                        f"{self.path}: taken by a later steward (life {found}, this is {self.start_number})"
                    )
                self.on_write_point("after begin")
                work(self.db)
                self.on_write_point("before commit")
                self.db.execute("commit")
                self.on_write_point("after commit")
            except BaseException:
                if self.db.in_transaction:
                    self.db.execute("rollback")
                raise
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: {fault}") from None

    def write(self, seq: int, lines: Sequence[tuple[int, int, float]], resets: Sequence[int] = ()) -> None:
        def work(db: sqlite3.Connection) -> None:
            db.executemany("delete from line where tbl = ?", [(t,) for t in resets])
            for table, host, weight in lines:
                if weight > 0:
                    db.execute("insert or replace into line values (?, ?, ?)", (table, host, weight))
                else:
                    db.execute("delete from line where tbl = ? and host = ?", (table, host))
                self.on_write_point("between lines")
            self.put("seq", str(seq))

        self.transact(work)

    def save_host_list(
        self, version: int, entries: Sequence[api.HostEntry], addresses: dict[int, str], starts: dict[int, float]
    ) -> None:
        def work(db: sqlite3.Connection) -> None:
            db.execute("delete from roster")
            self.on_write_point("between roster rows")
            for e in entries:
                row = {
                    "zone": e.zone,
                    "kind": e.kind,
                    "cell": e.cell,
                    "state": e.state,
                    "weight": e.weight,
                    "address": addresses.get(e.host, ""),
                    "started": starts.get(e.host, 0.0),
                }
                db.execute("insert into roster values (?, ?)", (e.host, json.dumps(row)))
            self.put("roster_version", str(version))

        self.transact(work)

    def close(self) -> None:
        if self.db is not None:
            self.db.close()
            self.db = None
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None
