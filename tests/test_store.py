"""The embedded store: killed at every write point, fenced, full, read-only."""

from __future__ import annotations

import os
import signal
import sqlite3
from pathlib import Path

import pytest

from corallanding import interface as api
from corallanding.store import SqliteStore, StoreError, StoreLockedError

STEPS = [
    ([(1, 10, 1.0), (2, 10, 1.0), (3, 11, 0.5)], []),
    ([(1, 12, 1.0), (1, 10, 0.0)], []),
    ([(4, 10, 1.0), (4, 11, 1.0)], [2]),
]
HOSTS = (api.HostEntry(10, 1, 0, 2, "up", 1.5), api.HostEntry(11, 0, 1, 0, "draining", 1.0))


def after(count: int) -> dict[int, dict[int, float]]:
    tables: dict[int, dict[int, float]] = {}
    for lines, resets in STEPS[:count]:
        for t in resets:
            tables.pop(t, None)
        for t, h, w in lines:
            row = tables.setdefault(t, {})
            row.pop(h, None)
            if w:
                row[h] = w
    return tables


def write_all(path: Path, halt, told: int) -> None:
    store = SqliteStore(path, halt=halt)
    store.open()
    for number, (lines, resets) in enumerate(STEPS, 1):
        store.write(number, lines, resets)
        os.write(told, b"k")  # acknowledged
    store.save_host_list(7, HOSTS, {10: "127.0.0.1:1"}, {10: 5.0})
    os.write(told, b"r")


def killed_at(path: Path, point: int) -> tuple[str, bytes]:
    """Write all steps in a child that kills itself at its `point`-th write point; what it acknowledged."""
    told, said = os.pipe()
    names, which = os.pipe()
    child = os.fork()
    if child == 0:
        count = 0

        def halt(name: str) -> None:
            nonlocal count
            count += 1
            if count == point:
                os.write(which, name.encode())
                os.kill(os.getpid(), signal.SIGKILL)

        try:
            write_all(path, halt, said)
        finally:
            os._exit(0)
    os.close(said)
    os.close(which)
    os.waitpid(child, 0)
    try:
        return os.read(names, 100).decode(), os.read(told, 100)
    finally:
        os.close(told)
        os.close(names)


def test_killed_at_every_write_point_nothing_acknowledged_is_lost_and_nothing_is_half_written(tmp_path: Path) -> None:
    point, names = 0, set()
    while True:
        point += 1
        path = tmp_path / f"{point}.db"
        name, acked = killed_at(path, point)
        store = SqliteStore(path)
        life = store.open()
        store.close()
        done = acked.count(b"k")
        tables = {t: row for t, row in life.tables.items() if row}
        whole = [n for n in range(done, len(STEPS) + 1) if tables == {t: r for t, r in after(n).items() if r}]
        assert whole and whole[0] <= done + 1, (point, name, done, tables)
        assert life.message_number == whole[0]
        assert life.start_number == 2
        assert (len(life.host_entries) == 2) >= (b"r" in acked)
        assert len(life.host_entries) in (0, 2)
        if not name:
            break
        names.add(name)
    assert point > 20
    assert names == {
        "before begin",
        "after begin",
        "between lines",
        "between roster rows",
        "before commit",
        "after commit",
    }


def test_a_store_has_one_holder(tmp_path: Path) -> None:
    first = SqliteStore(tmp_path / "s.db")
    first.open()
    with pytest.raises(StoreLockedError, match="another steward holds"):
        SqliteStore(tmp_path / "s.db").open()
    first.close()
    assert SqliteStore(tmp_path / "s.db").open().start_number == 2


def test_a_steward_that_slept_through_a_takeover_cannot_write(tmp_path: Path) -> None:
    old = SqliteStore(tmp_path / "s.db")
    old.open()
    old.write(1, [(1, 10, 1.0)])
    assert old.lock is not None
    os.close(old.lock)  # its lock is lost, as on a file system that drops it
    new = SqliteStore(tmp_path / "s.db")
    new.open()
    with pytest.raises(StoreLockedError, match="taken by a later steward"):
        old.write(2, [(1, 11, 1.0)])
    old.lock = None
    assert new.read(0).tables == {1: {10: 1.0}}


def test_a_full_or_locked_store_says_so_and_keeps_what_it_has(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    store.open()
    store.write(1, [(1, 10, 1.0)])
    assert store.db is not None
    pages = store.db.execute("pragma page_count").fetchone()[0]
    store.db.execute(f"pragma max_page_count={pages}")
    with pytest.raises(StoreError, match="full"):
        store.write(2, [(t, h, 1.0) for t in range(500) for h in range(20)])
    store.db.execute("pragma max_page_count=100000")
    other = sqlite3.connect(tmp_path / "s.db", isolation_level=None)
    other.execute("begin immediate")
    with pytest.raises(StoreError, match="locked"):
        store.write(3, [(2, 10, 1.0)])
    other.execute("rollback")
    store.write(4, [(3, 10, 1.0)])
    assert store.read(0).tables == {1: {10: 1.0}, 3: {10: 1.0}}


def test_what_cannot_be_a_store_is_named(tmp_path: Path) -> None:
    (tmp_path / "s.db").write_bytes(b"no database" * 100)
    with pytest.raises(StoreError, match="s.db"):
        SqliteStore(tmp_path / "s.db").open()
    with pytest.raises(StoreError, match="No such file"):
        SqliteStore(tmp_path / "none" / "s.db").open()


def test_a_store_of_another_schema_is_refused(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    store.open()
    store.put("schema", "9")
    store.close()
    with pytest.raises(StoreError, match="schema 9; this version reads 1"):
        SqliteStore(tmp_path / "s.db").open()
