"""A snapshot in a file: written whole or not at all, refused by name if it is not what it should be.

Eight bytes of name, the version, the length and the BLAKE2b digest of the body, then the body in MessagePack. Older
versions are brought up step by step by `UPGRADES`; a newer one is refused, since what it means is not known.
"""

from __future__ import annotations

import hashlib
import os
import struct
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec

NAME, VERSION = b"CORALSNP", 1
HEAD = struct.Struct(">8sHQ16s")
# From a version to the next: takes and gives the body as plain values.
UPGRADES: dict[int, Callable[[Any], Any]] = {}

T = TypeVar("T")


class SnapshotFault(Exception):
    """The snapshot cannot be used; the text says why. The store alone is used then."""


class Missing(SnapshotFault):
    """There is none."""


class Damaged(SnapshotFault):
    """Cut off, changed, or no snapshot at all."""


class Newer(SnapshotFault):
    """Of a version that this program does not know."""


def pack(body: Any, version: int = VERSION) -> bytes:
    data = msgspec.msgpack.encode(body)
    return HEAD.pack(NAME, version, len(data), hashlib.blake2b(data, digest_size=16).digest()) + data


def unpack(
    data: bytes, kind: type[T], version: int = VERSION, upgrades: Mapping[int, Callable[[Any], Any]] | None = None
) -> T:
    """Raises `Damaged` or `Newer`."""
    upgrades = UPGRADES if upgrades is None else upgrades
    if len(data) < HEAD.size:
        raise Damaged(f"{len(data)} bytes; the head alone has {HEAD.size}")
    name, found, length, digest = HEAD.unpack_from(data)
    if name != NAME:
        raise Damaged("no snapshot by its first bytes")
    if found > version:
        raise Newer(f"version {found}; this program knows versions up to {version}")
    body = data[HEAD.size :]
    if len(body) != length:
        raise Damaged(f"{len(body)} bytes where {length} are announced")
    if hashlib.blake2b(body, digest_size=16).digest() != digest:
        raise Damaged("its digest does not fit")
    try:
        if found == version:
            return msgspec.msgpack.decode(body, type=kind)
        raw = msgspec.msgpack.decode(body)
        for at in range(found, version):
            if at not in upgrades:
                raise Damaged(f"version {found}: no way from version {at} to {at + 1}")
            raw = upgrades[at](raw)
        return msgspec.convert(raw, kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise Damaged(f"its body does not fit: {str(fault)[:200]}") from None


def write(path: str | Path, body: Any) -> int:
    """Its size in bytes. Raises OSError; an older file stands then."""
    data = pack(body)
    place(path, data)
    return len(data)


def place(path: str | Path, data: bytes) -> None:
    """Beside, to disk, then in place."""
    path = Path(path)
    beside = path.with_name(path.name + ".new")
    try:
        with open(beside, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
    except OSError:
        if beside.is_file():
            beside.unlink()
        raise


def read(path: str | Path, kind: type[T]) -> T:
    """Raises `Missing`, `Damaged` or `Newer`; OSError if it is there and cannot be read."""
    try:
        data = Path(path).read_bytes()
    except FileNotFoundError:
        raise Missing(f"{path}: there is none") from None
    try:
        return unpack(data, kind)
    except SnapshotFault as fault:
        raise type(fault)(f"{path}: {fault}") from None
