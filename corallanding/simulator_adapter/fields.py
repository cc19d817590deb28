"""Parses the `name=value` pairs of the simulator's wire protocol and their values.

Times are in microseconds on the wire, and in milliseconds as returned here.
"""

from __future__ import annotations

import math
from typing import NamedTuple, TypeVar

from ..errors import ProtocolError

Fields = dict[str, str]
"""The values of one line, or of a configuration, by name."""

ChoiceT = TypeVar("ChoiceT")


class MalformedLineError(ProtocolError):
    """A line, or a value in it, is invalid. The message names the field."""


class Line(NamedTuple):
    """One line of the wire protocol."""

    name: str
    fields: Fields


def parse_line(line: str) -> Line:
    """Split a line at its tabs. Raises MalformedLineError if a part is not a `name=value` pair."""
    name, *parts = line.split("\t")
    fields: Fields = {}
    for part in parts:
        key, separator, value = part.partition("=")
        if not separator or not key:
            raise MalformedLineError(f"{part!r} is not a name=value pair")
        fields[key] = value
    return Line(name, fields)


def required_count(fields: Fields, key: str) -> int:
    """Read a non-negative integer. Raises MalformedLineError if it is missing or invalid."""
    try:
        value = int(fields[key])
    except KeyError:
        raise MalformedLineError(f"{key} is missing") from None
    except ValueError:
        raise MalformedLineError(f"{key}={fields[key]!r} is not an integer") from None
    if value < 0:
        raise MalformedLineError(f"{key}={value} is below 0")
    return value


def count(fields: Fields, key: str, default: int = 0) -> int:
    """Read an optional non-negative integer. Raises MalformedLineError if it is invalid."""
    return required_count(fields, key) if key in fields else default


def number(fields: Fields, key: str, default: float) -> float:
    """Read an optional finite number. Raises MalformedLineError if it is invalid."""
    try:
        value = float(fields[key]) if key in fields else default
    except ValueError:
        raise MalformedLineError(f"{key}={fields[key]!r} is not a number") from None
    if not math.isfinite(value):
        raise MalformedLineError(f"{key}={fields[key]!r} is not a finite number")
    return value


def milliseconds(fields: Fields, key: str, default_ms: float = 0.0) -> float:
    """Read an optional time in microseconds and return it in ms. Raises MalformedLineError if it is invalid."""
    return number(fields, key, default_ms * 1000.0) / 1000.0


def boolean(fields: Fields, key: str) -> bool:
    """Read a boolean, false if it is missing. Raises MalformedLineError if it is invalid."""
    value = fields.get(key, "0")
    if value not in ("0", "1", "true", "false"):
        raise MalformedLineError(f"{key}={value!r} is not a boolean")
    return value in ("1", "true")


def choice(fields: Fields, key: str, choices: dict[str, ChoiceT]) -> ChoiceT:
    """Read one of the keys of `choices` and return its value. Raises MalformedLineError if it is missing or invalid."""
    value = fields.get(key)
    if value is None:
        raise MalformedLineError(f"{key} is missing")
    if value not in choices:
        raise MalformedLineError(f"{key}={value!r} is not one of {', '.join(choices)}")
    return choices[value]


def load_values(fields: Fields) -> dict[str, float]:
    """Read the load values reported by a host: comma-separated `name:value` pairs. Raises MalformedLineError."""
    values: dict[str, float] = {}
    for pair in fields.get("stats", "").split(","):
        if pair:
            key, separator, value = pair.partition(":")
            if not separator:
                raise MalformedLineError(f"stats contains {pair!r}, which is not a name:value pair")
            values[key] = number({key: value}, key, 0.0)
    return values
