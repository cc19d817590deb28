"""Tests of the embedded store: killed at every write point, taken over, full, locked or damaged."""

from __future__ import annotations

import os
import signal
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest

from corallanding.interface import HostEntry, HostState
from corallanding.store import SqliteStore, StoreError, StoreLockedError, TableEntry
from corallanding.store.sqlite import SCHEMA_KEY, WritePoint

Tables = dict[int, dict[int, float]]


class Step(NamedTuple):
    """Arguments of one write."""

    entries: list[TableEntry]
    resets: list[int]


STEPS = [
    Step([(1, 10, 1.0), (2, 10, 1.0), (3, 11, 0.5)], []),
    Step([(1, 12, 1.0), (1, 10, 0.0)], []),
    Step([(4, 10, 1.0), (4, 11, 1.0)], [2]),
]
HOSTS = (HostEntry(10, 1, 0, 2, HostState.UP, 1.5), HostEntry(11, 0, 1, 0, HostState.DRAINING, 1.0))
STEP_DONE = b"k"
HOST_LIST_DONE = b"r"


class KilledRun(NamedTuple):
    """The write point at which a child process was killed ("" if it exited by itself), and its acknowledgements."""

    write_point: str
    acknowledged: bytes


def tables_after(step_count: int) -> Tables:
    """Return the tables after the first `step_count` steps, without empty ones."""
    tables: Tables = {}
    for step in STEPS[:step_count]:
        for table in step.resets:
            tables.pop(table, None)
        for table, host, weight in step.entries:
            row = tables.setdefault(table, {})
            row.pop(host, None)
            if weight:
                row[host] = weight
    return without_empty(tables)


def without_empty(tables: Tables) -> Tables:
    """Return the tables that have hosts."""
    return {table: row for table, row in tables.items() if row}


def write_all(path: Path, on_write_point: Callable[[WritePoint], None], acknowledgements: int) -> None:
    """Write all steps and the host list; acknowledge each by a byte to the descriptor `acknowledgements`."""
    store = SqliteStore(path, on_write_point=on_write_point)
    store.open()
    for number, step in enumerate(STEPS, 1):
        store.write(number, step.entries, step.resets)
        os.write(acknowledgements, STEP_DONE)
    store.save_host_list(7, HOSTS, {10: "127.0.0.1:1"}, {10: 5.0})
    os.write(acknowledgements, HOST_LIST_DONE)


def kill_at(path: Path, point: int) -> KilledRun:
    """Write all steps in a child process that kills itself at its `point`-th write point."""
    acknowledged, acknowledgements = os.pipe()
    write_points, write_point_of_kill = os.pipe()
    child = os.fork()
    if child == 0:
        count = 0

        def on_write_point(name: WritePoint) -> None:
            nonlocal count
            count += 1
            if count == point:
                os.write(write_point_of_kill, name.encode())
                os.kill(os.getpid(), signal.SIGKILL)

        try:
            write_all(path, on_write_point, acknowledgements)
        finally:
            os._exit(0)
    os.close(acknowledgements)
    os.close(write_point_of_kill)
    os.waitpid(child, 0)
    try:
        return KilledRun(os.read(write_points, 100).decode(), os.read(acknowledged, 100))
    finally:
        os.close(acknowledged)
        os.close(write_points)


def check_after_kill(path: Path, run: KilledRun) -> None:
    """Check that the file holds complete steps only, and all those that were acknowledged."""
    store = SqliteStore(path)
    contents = store.open()
    store.close()
    acknowledged_steps = run.acknowledged.count(STEP_DONE)
    tables = without_empty(contents.tables)
    matching_counts = [count for count in range(acknowledged_steps, len(STEPS) + 1) if tables == tables_after(count)]
    assert matching_counts, (run, tables)
    assert matching_counts[0] <= acknowledged_steps + 1, (run, tables)
    assert contents.message_number == matching_counts[0]
    assert contents.start_number == 2
    assert (len(contents.host_entries) == 2) >= (HOST_LIST_DONE in run.acknowledged)
    assert len(contents.host_entries) in (0, 2)


def test_store_when_killed_at_any_write_point_then_it_has_complete_steps_and_all_acknowledged_ones(
    tmp_path: Path,
) -> None:
    point = 0
    write_points = set()
    while True:
        point += 1
        path = tmp_path / f"{point}.db"
        run = kill_at(path, point)
        check_after_kill(path, run)
        if not run.write_point:
            break
        write_points.add(run.write_point)
    assert point > 20
    assert write_points == {
        "before begin",
        "after begin",
        "between entries",
        "between host rows",
        "before commit",
        "after commit",
    }


def test_store_when_locked_then_a_second_controller_is_rejected(tmp_path: Path) -> None:
    first = SqliteStore(tmp_path / "s.db")
    first.open()
    with pytest.raises(StoreLockedError, match="locked by another controller"):
        SqliteStore(tmp_path / "s.db").open()
    first.close()
    assert SqliteStore(tmp_path / "s.db").open().start_number == 2


def test_store_when_taken_over_then_the_previous_controller_cannot_write(tmp_path: Path) -> None:
    previous = SqliteStore(tmp_path / "s.db")
    previous.open()
    previous.write(1, [(1, 10, 1.0)])
    assert previous.lock_fd is not None
    os.close(previous.lock_fd)  # the lock is lost, as on a file system that drops locks
    successor = SqliteStore(tmp_path / "s.db")
    successor.open()
    with pytest.raises(StoreLockedError, match="taken over by a later start"):
        previous.write(2, [(1, 11, 1.0)])
    previous.lock_fd = None
    assert successor.read_contents(0).tables == {1: {10: 1.0}}


def test_store_when_full_or_locked_then_it_raises_and_keeps_its_contents(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    store.open()
    store.write(1, [(1, 10, 1.0)])
    assert store.connection is not None
    pages = store.connection.execute("pragma page_count").fetchone()[0]
    store.connection.execute(f"pragma max_page_count={pages}")
    with pytest.raises(StoreError, match="full"):
        store.write(2, [(table, host, 1.0) for table in range(500) for host in range(20)])
    store.connection.execute("pragma max_page_count=100000")
    other = sqlite3.connect(tmp_path / "s.db", isolation_level=None)
    other.execute("begin immediate")
    with pytest.raises(StoreError, match="locked"):
        store.write(3, [(2, 10, 1.0)])
    other.execute("rollback")
    store.write(4, [(3, 10, 1.0)])
    assert store.read_contents(0).tables == {1: {10: 1.0}, 3: {10: 1.0}}


def test_store_when_the_file_cannot_be_used_then_the_error_names_it(tmp_path: Path) -> None:
    (tmp_path / "s.db").write_bytes(b"no database" * 100)
    with pytest.raises(StoreError, match=r"s\.db"):
        SqliteStore(tmp_path / "s.db").open()
    with pytest.raises(StoreError, match="No such file"):
        SqliteStore(tmp_path / "none" / "s.db").open()


def test_store_when_of_another_schema_version_then_it_is_rejected(tmp_path: Path) -> None:
    store = SqliteStore(tmp_path / "s.db")
    store.open()
    store.write_meta(SCHEMA_KEY, "9")
    store.close()
    with pytest.raises(StoreError, match="schema version 9 is not supported; this program reads version 1"):
        SqliteStore(tmp_path / "s.db").open()
