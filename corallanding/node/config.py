"""The platform's configuration file: JSON to what the steward needs. Pure but for `read`."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from .. import interface as api
from ..collector.core import Places
from ..discovery.core import Answer
from ..simhost import codec

Address = tuple[str, int]


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
    known: Answer
    settings: api.Settings
    places: Places
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


def parse(raw: bytes) -> Config:
    """Raises BadConfig."""
    try:
        top = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise BadConfig(f"no JSON: {fault}") from None
    if not isinstance(top, dict):
        raise BadConfig("no JSON object")

    def need(path: str, kind: type) -> Any:
        value: Any = top
        for key in path.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        if not isinstance(value, kind) or isinstance(value, bool):
            raise BadConfig(f"{path}: {'missing' if value is None else f'{str(value)[:40]!r} is no {kind.__name__}'}")
        return value

    def where(path: str) -> Address:
        try:
            return address(need(path, str))
        except ValueError as fault:
            raise BadConfig(f"{path}: {fault}") from None

    flat = flatten(need("settings", dict))
    try:
        settings = codec.settings(flat)
        dial_timeout = codec.ms(flat, "limits.dialTimeout", 300.0)
    except codec.Malformed as fault:
        raise BadConfig(f"settings: {fault}") from None
    classes = need("settings.classes", list)
    seed = top.get("seed", 0)
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
        known = msgspec.convert(top.get("known") or {"seq": 0, "whole": True, "hosts": []}, Answer)
    except (ValueError, TypeError, msgspec.ValidationError) as fault:
        raise BadConfig(f"seed or known: {fault}") from None

    def limit(key: str) -> float:
        limits = top.get("limits")
        value = limits.get(key, 0) if isinstance(limits, dict) else 0
        return float(value) if isinstance(value, int | float) and value > 0 else 0.0

    return Config(
        str(top.get("name", "")), where("listen"), where("discovery"), where("store.address"), seed,
        int(limit("sockets")), limit("memory_mb"), known, settings,
        Places(
            places(need("settings.zones", list), "settings.zones"),
            places([c.get("name") if isinstance(c, dict) else None for c in classes], "settings.classes"),
        ),
        places(need("settings.kinds", list), "settings.kinds"), dial_timeout,
    )  # fmt: skip


def read(path: str) -> Config:
    """Raises BadConfig, which names the file."""
    try:
        return parse(Path(path).read_bytes())
    except OSError as fault:
        raise BadConfig(f"{path}: {fault.strerror}") from None
    except BadConfig as fault:
        raise BadConfig(f"{path}: {fault}") from None
