"""The embedded store: one SQLite file in WAL mode. `docs/store.md` compares it with alternatives.

Each step is one transaction: if the process is killed at any time, the file holds complete steps only. Every start
increments the start number in the file and every write checks it, so that a controller that was suspended while another
one took over the store cannot write.
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
from ..transient_errors import is_transient as is_transient_call
from .api import StoreContents, StoreError, StoreLockedError, TableEntry
from .database_file import is_transient, lock_database, open_database

SCHEMA_VERSION = 1
CREATE_TABLES = """
create table if not exists meta (key text primary key, value text not null) without rowid;
create table if not exists line (tbl integer, host integer, weight real not null, primary key (tbl, host))
  without rowid;
create table if not exists roster (host integer primary key, entry text not null) without rowid;
"""
# Keys of the table `meta`.
SCHEMA_KEY = "schema"
START_NUMBER_KEY = "life"
MESSAGE_NUMBER_KEY = "seq"
HOST_LIST_VERSION_KEY = "roster_version"

HOST_ENTRY_FIELDS = stored_names.FIELDS[HostEntry]


class WritePoint(StrEnum):
    """Points of a write at which tests kill the process."""

    BEFORE_BEGIN = "before begin"
    AFTER_BEGIN = "after begin"
    BETWEEN_ENTRIES = "between entries"
    BETWEEN_HOSTS = "between host rows"
    BEFORE_COMMIT = "before commit"
    AFTER_COMMIT = "after commit"


def ignore_write_point(point: WritePoint) -> None:
    """Do nothing at a write point; tests pass a function that kills the process."""


class SqliteStore:
    """A store in the file `path`, whose directory must exist.

    `sync` is "normal" (steps survive a killed process) or "full" (also a machine crash). `on_write_point` is called at
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
        """Lock the store and read it; on failure it is closed again.

        Raises `StoreLockedError` while another process holds the lock, `StoreError` if the file cannot be used.
        """
        try:
            self._lock()
            self.connection = open_database(self.path, CREATE_TABLES, sync=self.sync, is_thread_bound=False)
            return self._begin_start()
        except sqlite3.Error as error:
            self.close()
            raise StoreError(f"{self.path}: {error}", is_transient=is_transient(error)) from None
        except BaseException:
            self.close()
            raise

    def _lock(self) -> None:
        try:
            self.lock_fd = lock_database(self.path)
        except BlockingIOError:
            raise StoreLockedError(f"{self.path}: store is locked by another controller") from None
        except OSError as error:
            raise StoreError(f"{self.path}: {error.strerror}", is_transient=is_transient_call(error)) from None

    def _begin_start(self) -> StoreContents:
        """Increment the start number, and read what the previous start stored."""
        schema = int(self.read_meta(SCHEMA_KEY) or SCHEMA_VERSION)
        if schema != SCHEMA_VERSION:
            raise StoreError(
                f"{self.path}: schema version {schema} is not supported; this program reads version {SCHEMA_VERSION}"
            )
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
        """Return the contents of the file, with a `message_number` that was read before it was reset."""
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
        """Return the value of a key of the table `meta`, None if it is missing."""
        row = self._open_connection().execute("select value from meta where key = ?", (key,)).fetchone()
        return None if row is None else str(row[0])

    def write_meta(self, key: str, value: str) -> None:
        """Set the value of a key of the table `meta`."""
        self._open_connection().execute("insert or replace into meta values (?, ?)", (key, value))

    def write(self, message_number: int, entries: Sequence[TableEntry], resets: Sequence[int] = ()) -> None:
        """Clear the tables `resets`, then set `entries`, in one transaction; see `Store.write`."""
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
        """Apply a change in one transaction, which is rolled back on failure.

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
            raise StoreError(f"{self.path}: {error}", is_transient=is_transient(error)) from None

    def _check_start_number(self) -> None:
        found = self.read_meta(START_NUMBER_KEY)
        if found != str(self.start_number):
            raise StoreLockedError(
                f"{self.path}: store was taken over by a later start (number {found}, this one is {self.start_number})"
            )

    def _open_connection(self) -> sqlite3.Connection:
        if self.connection is None:
            raise StoreError(f"{self.path}: store is not open")
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
    """Return the stored row of a host. The keys are part of the file format."""
    return {
        "zone": entry.zone,
        "kind": entry.kind,
        "cell": entry.cell,
        "state": entry.state,
        "weight": entry.weight,
        "address": address,
        "started": started_at_ms,
    }
