"""SQLite files that are used by one process at a time: locking and opening."""

from __future__ import annotations

import fcntl
import os
import sqlite3
from pathlib import Path

BUSY_TIMEOUT_SECONDS = 0.02  # short: waiting for a locked file blocks the event loop
PRIMARY_CODE_MASK = 0xFF
TRANSIENT_CODES = frozenset(
    {
        *(sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR, sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED),
        *(sqlite3.SQLITE_NOMEM, sqlite3.SQLITE_CANTOPEN, sqlite3.SQLITE_PROTOCOL),
    }
)
"""Primary result codes of a disk that is full or fails, and of resources that lack for a moment."""


def is_transient(error: sqlite3.Error | ValueError) -> bool:
    """Return whether the operation may succeed if it is repeated, on the same file."""
    code = getattr(error, "sqlite_errorcode", None)
    return code is not None and code & PRIMARY_CODE_MASK in TRANSIENT_CODES


def lock_database(path: str | Path) -> int:
    """Lock the file at `path` by a lock file beside it; return its descriptor, whose closing releases the lock.

    Raises `BlockingIOError` while another process holds it, `OSError` if the lock file cannot be used.
    """
    descriptor = os.open(f"{path}.lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BaseException:
        os.close(descriptor)
        raise
    return descriptor


def open_database(
    path: str | Path, tables: str, *, sync: str = "normal", is_thread_bound: bool = True
) -> sqlite3.Connection:
    """Open the file in WAL mode and create missing tables.

    tables: an SQL script. sync: "normal" (transactions survive a killed process) or "full" (also a machine crash).
    is_thread_bound: only this thread may use the connection. Raises `sqlite3.Error` if the file cannot be used.
    """
    connection = sqlite3.connect(
        path, isolation_level=None, timeout=BUSY_TIMEOUT_SECONDS, check_same_thread=is_thread_bound
    )
    try:
        connection.execute("pragma journal_mode=wal")
        connection.execute(f"pragma synchronous={sync}")
        connection.executescript(tables)
    except BaseException:
        connection.close()
        raise
    return connection
