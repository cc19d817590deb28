"""Parsing of the relay's watch notifications: lines to typed values, each field validated. No I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from .. import interface as api
from ..errors import ProtocolError
from ..host_names import host_number
from ..json_errors import JSON_DECODE_ERRORS

VERSION_LIMIT = 65_536  # versions are below this
NUMBER_LIMIT = 1e12
MAX_QUOTED_BYTES = 80  # longest part of an invalid line in an error message


class InvalidNotificationError(ProtocolError):
    """A line of the watch is invalid; the message names the field."""


class Notification(msgspec.Struct):
    """A JSON-RPC notification, or the response to the watch request."""

    method: str = ""
    params: dict[str, Any] = {}
    result: Any = None
    id: Any = None
    error: Any = None


class TableEntry(NamedTuple):
    """The weight of one host in the table of one slice."""

    slice: int
    host: int
    weight: float


_decoder = msgspec.json.Decoder(Notification)


def parse_notification(line: bytes) -> Notification:
    """Parse a line. Raises InvalidNotificationError."""
    try:
        return _decoder.decode(line)
    except JSON_DECODE_ERRORS as error:
        raise InvalidNotificationError(f"{line[:MAX_QUOTED_BYTES]!r}: {error}") from None


def bounded_integer(params: dict[str, Any], key: str, limit: int) -> int:
    """Return the integer at `key`, from 0 to below `limit`. Raises InvalidNotificationError."""
    value = params.get(key)
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < limit:
        raise InvalidNotificationError(f"{key}={value!r}")
    return value


def non_negative_number(params: dict[str, Any], key: str) -> float:
    """Return the number at `key`, at least 0; 0.0 if it is missing. Raises InvalidNotificationError."""
    value = params.get(key, 0.0)
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0.0 <= value < NUMBER_LIMIT:
        raise InvalidNotificationError(f"{key}={value!r}")
    return float(value)


class NotificationReader:
    """Reads fields of notifications within the bounds of the settings. Each method raises InvalidNotificationError."""

    def __init__(self, settings: api.Settings, zones: dict[str, int]) -> None:
        self.settings = settings
        self.zones = zones  # zone numbers by name

    def proxy(self, params: dict[str, Any]) -> int:
        """Return the proxy number."""
        return bounded_integer(params, "node", self.settings.proxy_count)

    def slice(self, params: dict[str, Any]) -> int:
        """Return the slice number."""
        return bounded_integer(params, "shard", max(1, self.settings.slice_count))

    def proxy_joined(self, params: dict[str, Any]) -> api.ProxyJoined:
        """Return the event of a proxy that has connected."""
        zone = self.zones.get(str(params.get("locality")))
        if zone is None:
            raise InvalidNotificationError(f"locality={params.get('locality')!r}")
        return api.ProxyJoined(
            self.proxy(params), zone, non_negative_number(params, "w"), has_no_tables=bool(params.get("cold"))
        )

    def version_acked(self, params: dict[str, Any]) -> api.VersionAcked:
        """Return the event of a version that a proxy has applied."""
        version = bounded_integer(params, "nonce", VERSION_LIMIT)
        return api.VersionAcked(self.proxy(params), version, non_negative_number(params, "latency"))

    def table_entry(self, params: dict[str, Any]) -> TableEntry:
        """Return one entry of a table."""
        try:
            host = host_number(str(params.get("endpoint")))
        except ValueError:
            raise InvalidNotificationError(f"endpoint={params.get('endpoint')!r}") from None
        return TableEntry(self.slice(params), host, non_negative_number(params, "w"))
