"""A snapshot in a file: written as a whole or not at all, and refused with a typed error if it is damaged.

The file holds eight bytes of name, the version, the length and the BLAKE2b digest of the body, then the body in
MessagePack. Older versions are brought up step by step by `UPGRADES`; a newer one is refused.
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
"""Name, version, length and digest of the body."""

DIGEST_BYTES = 16
MAX_DECODE_ERROR_CHARS = 200

Upgrade = Callable[[Any], Any]
"""Takes the body of one version as plain values and gives that of the next."""

UPGRADES: dict[int, Upgrade] = {}
"""By the version that each takes."""

T = TypeVar("T")


class SnapshotError(StorageError):
    """The snapshot cannot be used; the text says why. The controller recovers from the store alone then."""


class SnapshotMissingError(SnapshotError):
    """There is no snapshot."""


class SnapshotDamagedError(SnapshotError):
    """The file is cut off or changed, or is no snapshot at all."""


class SnapshotVersionError(SnapshotError):
    """The snapshot is of a version that this program does not know."""


def pack(body: Any, version: int = VERSION) -> bytes:
    """A snapshot of `body`, with its header."""
    data = msgspec.msgpack.encode(body)
    return HEADER.pack(FILE_SIGNATURE, version, len(data), digest_of(data)) + data


def unpack(data: bytes, kind: type[T], version: int = VERSION, upgrades: Mapping[int, Upgrade] | None = None) -> T:
    """The body of a snapshot as a `kind`, brought up to `version`.

    Raises `SnapshotDamagedError` or `SnapshotVersionError`.
    """
    if len(data) < HEADER.size:
        raise SnapshotDamagedError(f"{len(data)} bytes; the head alone has {HEADER.size}")
    signature, found, length, digest = HEADER.unpack_from(data)
    if signature != FILE_SIGNATURE:
        raise SnapshotDamagedError("no snapshot by its first bytes")
    if found > version:
        raise SnapshotVersionError(f"version {found}; this program knows versions up to {version}")
    body = data[HEADER.size :]
    if len(body) != length:
        raise SnapshotDamagedError(f"{len(body)} bytes where {length} are announced")
    if digest_of(body) != digest:
        raise SnapshotDamagedError("its digest does not fit")
    try:
        if found == version:
            return msgspec.msgpack.decode(body, type=kind)
        raw = upgrade(msgspec.msgpack.decode(body), found, version, UPGRADES if upgrades is None else upgrades)
        return msgspec.convert(raw, kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        text = str(error)[:MAX_DECODE_ERROR_CHARS]
        raise SnapshotDamagedError(f"its body does not fit: {text}") from None


def digest_of(body: bytes) -> bytes:
    """The digest that the header holds of a body."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def upgrade(raw: Any, found: int, version: int, upgrades: Mapping[int, Upgrade]) -> Any:
    """A body of version `found`, as plain values, brought up to `version`. Raises `SnapshotDamagedError`."""
    for at in range(found, version):
        if at not in upgrades:
            raise SnapshotDamagedError(f"version {found}: no way from version {at} to {at + 1}")
        raw = upgrades[at](raw)
    return raw


def write(path: str | Path, body: Any) -> int:
    """Write a snapshot of `body`; returns its size in bytes. Raises OSError; an older file stays then."""
    data = pack(body)
    replace_file(path, data)
    return len(data)


def replace_file(path: str | Path, data: bytes) -> None:
    """Write `data` to a file beside `path`, flush it to disk, and move it there. Raises OSError."""
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
    """The body of a snapshot file as a `kind`. Raises a `SnapshotError`; OSError if it is there and cannot be read."""
    try:
        data = Path(path).read_bytes()
    except FileNotFoundError:
        raise SnapshotMissingError(f"{path}: there is none") from None
    try:
        return unpack(data, kind)
    except SnapshotError as error:
        raise type(error)(f"{path}: {error}") from None
