"""Parsing of the platform's JSON configuration file. Pure except for `read`."""

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
from ..errors import ConfigurationError
from ..json_errors import JSON_DECODE_ERRORS
from ..simulator_adapter.fields import MalformedLineError
from ..simulator_adapter.settings import milliseconds, positive, read_settings
from ..transient_errors import retry_transient_blocking
from .settings_pairs import flatten

DEFAULT_CONNECT_TIMEOUT_MS = 300.0
MAX_PORT = 65_535
MAX_QUOTED_CHARACTERS = 60  # characters of a rejected address in an error
MISSING_FIELD = re.compile(r"missing required field `(?P<key>\w+)`(?: - at `\$\.?(?P<path>.*)`)?")
INVALID_FIELD = re.compile(r"(?P<reason>.*) - at `\$\.?(?P<path>.*)`")


class InvalidConfigError(ConfigurationError):
    """The configuration cannot be used. The text is one line that names the key."""


@dataclass(frozen=True)
class Config:
    """The configuration of a controller.

    `saved_list` is the last host list that this controller received before its start; `max_sockets` (descriptors) and
    `memory_mb` are 0 if not configured; `connect_timeout_ms` is the proxies' connect timeout.
    """

    name: str
    listen: Address
    discovery: Address
    relay: Address
    seed: int
    max_sockets: int
    memory_mb: float
    saved_list: ListAnswer
    settings: api.Settings
    names: NameTables
    kinds: dict[str, int]
    connect_timeout_ms: float


class _Store(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    sockets: float = 0.0
    memory_mb: float = 0.0


class _ConfigFile(msgspec.Struct):
    """The contents of the file; unknown keys are ignored."""

    settings: dict[str, Any]
    listen: str
    discovery: str
    store: _Store
    name: str = ""
    seed: str | int = 0
    limits: _Limits | None = None
    known: ListAnswer | None = None


def parse_address(text: str) -> Address:
    """Parse "10.0.0.4:8081" or "[::1]:8081". Raises ValueError; names are not resolved."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text[:MAX_QUOTED_CHARACTERS]!r} is not ADDRESS:PORT")
    return str(ipaddress.ip_address(host.strip("[]"))), int(port)


def read(path: str, max_retry_seconds: float = 0.0) -> Config:
    """Read and parse a file. Raises InvalidConfigError, which names the file.

    Reading is repeated for `max_retry_seconds`, blocking, while it fails for a reason that may pass.
    """
    try:
        return parse(retry_transient_blocking(Path(path).read_bytes, max_retry_seconds))
    except OSError as error:
        raise InvalidConfigError(f"{path}: {error.strerror}") from None
    except InvalidConfigError as error:
        raise InvalidConfigError(f"{path}: {error}") from None


def parse(raw: bytes) -> Config:
    """Parse the contents of a file. Raises InvalidConfigError."""
    file = _decode(raw)
    pairs = flatten(file.settings)
    try:
        settings = read_settings(pairs)
        connect_timeout_ms = positive(milliseconds, pairs, "limits.dialTimeout", DEFAULT_CONNECT_TIMEOUT_MS)
    except MalformedLineError as error:
        raise InvalidConfigError(f"settings: {error}") from None
    limits = file.limits or _Limits()
    return Config(
        name=file.name,
        listen=_address("listen", file.listen),
        discovery=_address("discovery", file.discovery),
        relay=_address("store.address", file.store.address),
        seed=_seed(file.seed),
        max_sockets=max(0, int(limits.sockets)),
        memory_mb=max(0.0, limits.memory_mb),
        saved_list=file.known or ListAnswer(0, True, []),
        settings=settings,
        names=_name_tables(file.settings),
        kinds=_indices_by_name(file.settings.get("kinds"), "settings.kinds"),
        connect_timeout_ms=connect_timeout_ms,
    )


def _decode(raw: bytes) -> _ConfigFile:
    try:
        return msgspec.json.decode(raw, type=_ConfigFile)
    except msgspec.ValidationError as error:
        raise InvalidConfigError(_describe(error)) from None
    except JSON_DECODE_ERRORS as error:
        raise InvalidConfigError(f"invalid JSON: {error}") from None


def _describe(error: msgspec.ValidationError) -> str:
    """Return the message of msgspec with the key first."""
    if match := MISSING_FIELD.search(str(error)):
        return f"{'.'.join(filter(None, (match['path'], match['key'])))}: missing"
    if match := INVALID_FIELD.match(str(error)):
        return f"{match['path']}: {'missing' if 'got `null`' in match['reason'] else match['reason']}"
    return f"not a JSON object: {error}"


def _address(key: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise InvalidConfigError(f"{key}: {error}") from None


def _seed(seed: str | int) -> int:
    try:
        return int(seed, 16) if isinstance(seed, str) else seed
    except ValueError as error:
        raise InvalidConfigError(f"seed: {error}") from None


def _name_tables(settings: dict[str, Any]) -> NameTables:
    classes = settings.get("classes")
    class_names: list[Any] | None = None
    if isinstance(classes, list):
        class_names = [item.get("name") if isinstance(item, dict) else None for item in classes]
    zones = _indices_by_name(settings.get("zones"), "settings.zones")
    return NameTables(zones, _indices_by_name(class_names, "settings.classes"))


def _indices_by_name(names: Any, key: str) -> dict[str, int]:
    """Return the index of each name in a list. Raises InvalidConfigError."""
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise InvalidConfigError(f"{key}: a list of names is expected")
    return {name: index for index, name in enumerate(names)}
