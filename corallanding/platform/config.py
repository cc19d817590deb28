"""The platform's configuration file: JSON to what the steward needs. Pure but for `read`."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from .. import interface as api
from ..collector.reports import NameTables
from ..connection import Address
from ..discovery.host_list import ListAnswer
from ..json_errors import JSON_DECODE_ERRORS
from ..simulator_adapter.fields import MalformedLineError
from ..simulator_adapter.settings import milliseconds, positive, read_settings


class BadConfig(Exception):
    """One line: what is wrong, and at which key."""


@dataclass(frozen=True)
class Config:
    """known: the list as this steward last had it. sockets: descriptors, memory_mb: 0 where not told."""

    name: str
    listen: Address
    discovery: Address
    store: Address
    seed: int
    sockets: int
    memory_mb: float
    known: ListAnswer
    settings: api.Settings
    places: NameTables
    kinds: dict[str, int]
    dial_timeout: float  # ms that proxies wait for a connection


def address(text: str) -> Address:
    """ "10.0.0.4:8081" or "[::1]:8081" as host and port. Raises ValueError: there is no DNS."""
    name, mark, port = text.rpartition(":")
    if not mark or not port.isdigit() or not 0 < int(port) <= 65_535:
        raise ValueError(f"{text[:60]!r} is no ADDRESS:PORT")
    return str(ipaddress.ip_address(name.strip("[]"))), int(port)


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Nested JSON as the pairs that the simulator's wire gives: one reader of settings serves both fronts.

    Objects by dots, lists of plain values by commas, lists of objects by `.count` and places.
    """
    if isinstance(value, dict):
        out: dict[str, str] = {}
        for key, below in value.items():
            out.update(flatten(below, f"{path}.{key}" if path else str(key)))
        return out
    if isinstance(value, list):
        if any(isinstance(x, dict) for x in value):
            out = {f"{path}.count": str(len(value))}
            for n, below in enumerate(value):
                out.update(flatten(below, f"{path}.{n}"))
            return out
        return {path: ",".join(plain(x) for x in value)}
    return {} if value is None else {path: plain(value)}


def plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "".join("_" if c in " ,\t" else c for c in str(value))


def places(names: Any, key: str) -> dict[str, int]:
    if not isinstance(names, list) or not all(isinstance(x, str) for x in names):
        raise BadConfig(f"{key}: a list of names is expected")
    return {name: n for n, name in enumerate(names)}


class Store(msgspec.Struct):
    address: str


class Limits(msgspec.Struct):
    sockets: float = 0.0
    memory_mb: float = 0.0


class Top(msgspec.Struct):
    """The file as it stands; what it holds beside these is passed over."""

    settings: dict[str, Any]
    listen: str
    discovery: str
    store: Store
    name: str = ""
    seed: str | int = 0
    limits: Limits | None = None
    known: ListAnswer | None = None


MISSING = re.compile(r"missing required field `(?P<key>\w+)`(?: - at `\$\.?(?P<path>.*)`)?")
WRONG = re.compile(r"(?P<why>.*) - at `\$\.?(?P<path>.*)`")


def named(fault: msgspec.ValidationError) -> str:
    """What msgspec says, with the key first."""
    if found := MISSING.search(str(fault)):
        return f"{'.'.join(filter(None, (found['path'], found['key'])))}: missing"
    if found := WRONG.match(str(fault)):
        return f"{found['path']}: {'missing' if 'got `null`' in found['why'] else found['why']}"
    return f"no JSON object: {fault}"


def parse(raw: bytes) -> Config:
    """Raises BadConfig."""
    try:
        top = msgspec.json.decode(raw, type=Top)
    except msgspec.ValidationError as fault:
        raise BadConfig(named(fault)) from None
    except JSON_DECODE_ERRORS as fault:
        raise BadConfig(f"no JSON: {fault}") from None

    def where(path: str, text: str) -> Address:
        try:
            return address(text)
        except ValueError as fault:
            raise BadConfig(f"{path}: {fault}") from None

    flat = flatten(top.settings)
    try:
        settings = read_settings(flat)
        dial_timeout = positive(milliseconds, flat, "limits.dialTimeout", 300.0)
    except MalformedLineError as fault:
        raise BadConfig(f"settings: {fault}") from None
    try:
        seed = int(top.seed, 16) if isinstance(top.seed, str) else top.seed
    except ValueError as fault:
        raise BadConfig(f"seed: {fault}") from None
    classes, limits = top.settings.get("classes"), top.limits or Limits()
    names = [c.get("name") if isinstance(c, dict) else None for c in classes] if isinstance(classes, list) else None
    return Config(
        top.name,
        where("listen", top.listen),
        where("discovery", top.discovery),
        where("store.address", top.store.address),
        seed,
        max(0, int(limits.sockets)),
        max(0.0, limits.memory_mb),
        top.known or ListAnswer(0, True, []),
        settings,
        NameTables(places(top.settings.get("zones"), "settings.zones"), places(names, "settings.classes")),
        places(top.settings.get("kinds"), "settings.kinds"),
        dial_timeout,
    )


def read(path: str) -> Config:
    """Raises BadConfig, which names the file."""
    try:
        return parse(Path(path).read_bytes())
    except OSError as fault:
        raise BadConfig(f"{path}: {fault.strerror}") from None
    except BadConfig as fault:
        raise BadConfig(f"{path}: {fault}") from None
