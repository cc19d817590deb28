"""Snapshot files: written atomically, and rejected with a typed error if damaged.

A file holds an eight-byte signature, the version, the length and the BLAKE2b digest of the body, then the body in
MessagePack. Older versions are upgraded one version at a time by `UPGRADES`; newer ones are rejected.
"""

from __future__ import annotations

import hashlib
import os
import struct
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from ..errors import StorageError

FILE_SIGNATURE = b"CORALSNP"
VERSION = 1
HEADER = struct.Struct(">8sHQ16s")
"""Signature, version, length of the body in bytes, digest of the body."""

DIGEST_BYTES = 16
MAX_DECODE_ERROR_CHARS = 200

Upgrade = Callable[[Any], Any]
"""Converts the body of one version, as plain values, to the next version."""

UPGRADES: dict[int, Upgrade] = {}
"""Upgrades by the version that they convert from."""

T = TypeVar("T")


class SnapshotError(StorageError):
    """The snapshot cannot be used; the message gives the reason. The controller then recovers from the store alone."""


class SnapshotMissingError(SnapshotError):
    """The snapshot file does not exist."""


class SnapshotDamagedError(SnapshotError):
    """The file is truncated or corrupted, or is not a snapshot."""


class SnapshotVersionError(SnapshotError):
    """The snapshot has a newer version than this program supports."""


def pack(body: Any, version: int = VERSION) -> bytes:
    """Return a snapshot of `body`, with its header."""
    data = msgspec.msgpack.encode(body)
    return HEADER.pack(FILE_SIGNATURE, version, len(data), digest_of(data)) + data


def unpack(data: bytes, kind: type[T], version: int = VERSION, upgrades: Mapping[int, Upgrade] | None = None) -> T:
    """Return the body of a snapshot as a `kind`, upgraded to `version`.

    Raises `SnapshotDamagedError` or `SnapshotVersionError`.
    """
    if len(data) < HEADER.size:
        raise SnapshotDamagedError(f"{len(data)} bytes, shorter than the header of {HEADER.size} bytes")
    signature, found, length, digest = HEADER.unpack_from(data)
    if signature != FILE_SIGNATURE:
        raise SnapshotDamagedError("not a snapshot: wrong signature")
    if found > version:
        raise SnapshotVersionError(f"version {found}; this program supports versions up to {version}")
    body = data[HEADER.size :]
    if len(body) != length:
        raise SnapshotDamagedError(f"body has {len(body)} bytes; the header announces {length}")
    if digest_of(body) != digest:
        raise SnapshotDamagedError("digest of the body does not match the header")
    try:
        if found == version:
            return msgspec.msgpack.decode(body, type=kind)
        raw = upgrade(msgspec.msgpack.decode(body), found, version, UPGRADES if upgrades is None else upgrades)
        return msgspec.convert(raw, kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        reason = str(error)[:MAX_DECODE_ERROR_CHARS]
        raise SnapshotDamagedError(f"invalid body: {reason}") from None


def digest_of(body: bytes) -> bytes:
    """Return the digest of a body, as stored in the header."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def upgrade(raw: Any, found: int, version: int, upgrades: Mapping[int, Upgrade]) -> Any:
    """Upgrade a body, as plain values, from version `found` to `version`.

    Raises `SnapshotDamagedError` if a version in between has no upgrade.
    """
    for step in range(found, version):
        if step not in upgrades:
            raise SnapshotDamagedError(f"version {found}: no upgrade from version {step} to {step + 1}")
        raw = upgrades[step](raw)
    return raw


def write(path: str | Path, body: Any) -> int:
    """Write a snapshot of `body` and return its size in bytes. Raises OSError; an existing file is then kept."""
    data = pack(body)
    replace_file(path, data)
    return len(data)


def replace_file(path: str | Path, data: bytes) -> None:
    """Replace the file at `path` atomically: write a temporary file, sync it to disk, rename it. Raises OSError."""
    path = Path(path)
    temporary = path.with_name(path.name + ".new")
    try:
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        if temporary.is_file():
            temporary.unlink()
        raise


def read(path: str | Path, kind: type[T]) -> T:
    """Return the body of a snapshot file as a `kind`.

    Raises a `SnapshotError` if there is no usable snapshot, OSError if an existing file cannot be read.
    """
    try:
        data = Path(path).read_bytes()
    except FileNotFoundError:
        raise SnapshotMissingError(f"{path}: no such file") from None
    try:
        return unpack(data, kind)
    except SnapshotError as error:
        raise type(error)(f"{path}: {error}") from None
