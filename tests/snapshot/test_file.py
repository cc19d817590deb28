"""Tests that an unusable snapshot file is rejected with an error that gives the reason."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from corallanding.snapshot import file


class Body(msgspec.Struct):
    """Body of the snapshots in these tests."""

    a: int
    b: str = ""


def test_a_file_when_it_is_truncated_or_corrupted_then_it_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "s.snap"
    with pytest.raises(file.SnapshotMissingError, match="no such file"):
        file.read(path, Body)
    assert file.write(path, Body(5, "x")) == path.stat().st_size
    assert file.read(path, Body) == Body(5, "x")
    complete = path.read_bytes()
    for length in range(len(complete)):
        path.write_bytes(complete[:length])
        with pytest.raises(file.SnapshotDamagedError, match=r"s\.snap"):
            file.read(path, Body)
    for offset in range(len(complete)):
        path.write_bytes(complete[:offset] + bytes([complete[offset] ^ 0x41]) + complete[offset + 1 :])
        with pytest.raises((file.SnapshotDamagedError, file.SnapshotVersionError)):
            file.read(path, Body)
    path.write_bytes(complete)
    (tmp_path / "s.snap.new").mkdir()  # the temporary file cannot be written: the old snapshot is kept
    with pytest.raises(OSError, match=r"s\.snap\.new"):
        file.write(path, Body(6))
    assert file.read(path, Body) == Body(5, "x")


def test_a_snapshot_when_its_version_is_older_then_it_is_upgraded_and_a_newer_one_is_rejected() -> None:
    old = file.pack({"a": 1}, version=1)
    upgrades = {1: lambda raw: {**raw, "b": "two"}, 2: lambda raw: {**raw, "a": raw["a"] + 10}}
    assert file.unpack(old, Body, 3, upgrades) == Body(11, "two")
    with pytest.raises(file.SnapshotDamagedError, match="no upgrade from version 2 to 3"):
        file.unpack(old, Body, 3, {1: upgrades[1]})
    with pytest.raises(file.SnapshotVersionError, match="version 4; this program supports versions up to 3"):
        file.unpack(file.pack({}, version=4), Body, 3, upgrades)
