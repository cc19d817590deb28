"""The embedded store: one SQLite file in WAL mode. `docs/store.md` compares it with others.

Each step is one transaction: after a kill at any instant the file holds whole steps only. Every start raises the start
number in the file, and every write checks it, so that a controller that was suspended while another took the store over
cannot write.
"""

from __future__ import annotations

import json
import os
import sqlite3
from collections.abc import Callable, Mapping, Sequence
from enum import StrEnum
from pathlib import Path
from typing import Any

from ..interface import HostEntry, stored_names
from .api import StoreContents, StoreError, StoreLockedError, TableEntry
from .database_file import lock_database, open_database

SCHEMA_VERSION = 1
CREATE_TABLES = """
create table if not exists meta (key text primary key, value text not null) without rowid;
create table if not exists line (tbl integer, host integer, weight real not null, primary key (tbl, host))
  without rowid;
create table if not exists roster (host integer primary key, entry text not null) without rowid;
"""
# Keys of the table `meta`, as they are stored.
SCHEMA_KEY = "schema"
START_NUMBER_KEY = "life"
MESSAGE_NUMBER_KEY = "seq"
HOST_LIST_VERSION_KEY = "roster_version"

HOST_ENTRY_FIELDS = stored_names.FIELDS[HostEntry]


class WritePoint(StrEnum):
    """Instants of a write at which a process may be killed."""

    BEFORE_BEGIN = "before begin"
    AFTER_BEGIN = "after begin"
    BETWEEN_ENTRIES = "between lines"
    BETWEEN_HOSTS = "between roster rows"
    BEFORE_COMMIT = "before commit"
    AFTER_COMMIT = "after commit"


def ignore_write_point(point: WritePoint) -> None:
    """Do nothing at a write point; tests end the process there."""


class SqliteStore:
    """A store in the file `path`, whose folder must exist.

    `sync` is "normal" (steps survive a killed process) or "full" (also a lost machine). `on_write_point` is called at
    every write point.
    """

    def __init__(
        self,
        path: str | Path,
        sync: str = "normal",
        on_write_point: Callable[[WritePoint], None] = ignore_write_point,
    ) -> None:
        self.path = Path(path)
        self.sync = sync
        self.on_write_point = on_write_point
        self.start_number = 0
        self.lock_fd: int | None = None
        self.connection: sqlite3.Connection | None = None

    def open(self) -> StoreContents:
        """Take the store and read it; it is closed again if that fails.

        Raises `StoreLockedError` while another process holds the file, `StoreError` if it cannot be used.
        """
        try:
            self._lock()
            self.connection = open_database(self.path, CREATE_TABLES, sync=self.sync, is_thread_bound=False)
            return self._begin_start()
        except sqlite3.Error as error:
            self.close()
            raise StoreError(f"{self.path}: {error}") from None
        except BaseException:
            self.close()
            raise

    def _lock(self) -> None:
        try:
            self.lock_fd = lock_database(self.path)
        except BlockingIOError:
            raise StoreLockedError(f"{self.path}: another steward holds this store") from None
        except OSError as error:
            raise StoreError(f"{self.path}: {error.strerror}") from None

    def _begin_start(self) -> StoreContents:
        """Raise the start number, and read what the former start left."""
        schema = int(self.read_meta(SCHEMA_KEY) or SCHEMA_VERSION)
        if schema != SCHEMA_VERSION:
            raise StoreError(f"{self.path}: schema {schema}; this version reads {SCHEMA_VERSION}")
        connection = self._open_connection()
        connection.execute("begin immediate")
        self.start_number = int(self.read_meta(START_NUMBER_KEY) or 0) + 1
        message_number = int(self.read_meta(MESSAGE_NUMBER_KEY) or 0)
        self.write_meta(SCHEMA_KEY, str(SCHEMA_VERSION))
        self.write_meta(START_NUMBER_KEY, str(self.start_number))
        self.write_meta(MESSAGE_NUMBER_KEY, "0")
        connection.execute("commit")
        return self.read_contents(message_number)

    def read_contents(self, message_number: int) -> StoreContents:
        """Everything in the file, with a `message_number` that was read before it was reset."""
        connection = self._open_connection()
        host_list_version = int(self.read_meta(HOST_LIST_VERSION_KEY) or 0)
        contents = StoreContents(self.start_number, message_number, host_list_version=host_list_version)
        for table, host, weight in connection.execute("select tbl, host, weight from line order by tbl, host"):
            contents.tables.setdefault(table, {})[host] = weight
        entries = []
        for host, text in connection.execute("select host, entry from roster order by host"):
            row = json.loads(text)
            contents.addresses[host] = row.pop("address", "")
            contents.started_at_ms[host] = row.pop("started", 0.0)
            entries.append(HostEntry(host, **{HOST_ENTRY_FIELDS[name]: value for name, value in row.items()}))
        contents.host_entries = tuple(entries)
        return contents

    def read_meta(self, key: str) -> str | None:
        """The value of a key; None if it has none."""
        row = self._open_connection().execute("select value from meta where key = ?", (key,)).fetchone()
        return None if row is None else str(row[0])

    def write_meta(self, key: str, value: str) -> None:
        """Set the value of a key."""
        self._open_connection().execute("insert or replace into meta values (?, ?)", (key, value))

    def write(self, message_number: int, entries: Sequence[TableEntry], resets: Sequence[int] = ()) -> None:
        """Empty the tables `resets`, then set `entries`, in one transaction; see `Store.write`."""
        on_write_point = self.on_write_point
        between_entries = WritePoint.BETWEEN_ENTRIES

        def change(connection: sqlite3.Connection) -> None:
            connection.executemany("delete from line where tbl = ?", [(table,) for table in resets])
            for table, host, weight in entries:
                if weight > 0:
                    connection.execute("insert or replace into line values (?, ?, ?)", (table, host, weight))
                else:
                    connection.execute("delete from line where tbl = ? and host = ?", (table, host))
                on_write_point(between_entries)
            self.write_meta(MESSAGE_NUMBER_KEY, str(message_number))

        self._in_transaction(change)

    def save_host_list(
        self,
        version: int,
        entries: Sequence[HostEntry],
        addresses: Mapping[int, str],
        started_at_ms: Mapping[int, float],
    ) -> None:
        """Replace the stored host list, in one transaction."""

        def change(connection: sqlite3.Connection) -> None:
            connection.execute("delete from roster")
            self.on_write_point(WritePoint.BETWEEN_HOSTS)
            for entry in entries:
                row = stored_host(entry, addresses.get(entry.host, ""), started_at_ms.get(entry.host, 0.0))
                connection.execute("insert into roster values (?, ?)", (entry.host, json.dumps(row)))
            self.write_meta(HOST_LIST_VERSION_KEY, str(version))

        self._in_transaction(change)

    def _in_transaction(self, change: Callable[[sqlite3.Connection], None]) -> None:
        """Make a change in one transaction, or none at all.

        Raises `StoreLockedError` if the store was taken over, `StoreError` if SQLite fails.
        """
        connection = self._open_connection()
        try:
            self.on_write_point(WritePoint.BEFORE_BEGIN)
            connection.execute("begin immediate")
            try:
                self._check_start_number()
                self.on_write_point(WritePoint.AFTER_BEGIN)
                change(connection)
                self.on_write_point(WritePoint.BEFORE_COMMIT)
                connection.execute("commit")
                self.on_write_point(WritePoint.AFTER_COMMIT)
            except BaseException:
                if connection.in_transaction:
                    connection.execute("rollback")
                raise
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    def _check_start_number(self) -> None:
        found = self.read_meta(START_NUMBER_KEY)
        if found != str(self.start_number):
            raise StoreLockedError(f"{self.path}: taken by a later steward (life {found}, this is {self.start_number})")

    def _open_connection(self) -> sqlite3.Connection:
        if self.connection is None:
            raise StoreError(f"{self.path}: not open")
        return self.connection

    def close(self) -> None:
        """Close the file and release its lock."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None


def stored_host(entry: HostEntry, address: str, started_at_ms: float) -> dict[str, Any]:
    """A host as its row stores it. The keys are frozen."""
    return {
        "zone": entry.zone,
        "kind": entry.kind,
        "cell": entry.cell,
        "state": entry.state,
        "weight": entry.weight,
        "address": address,
        "started": started_at_ms,
    }
