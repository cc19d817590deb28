"""`name=value` pairs of the simulator's wire, and how each kind of value is read.

Times are microseconds on the wire and milliseconds from here on.
"""

from __future__ import annotations

import math
from typing import NamedTuple, TypeVar

from ..errors import ProtocolError

Fields = dict[str, str]
"""The pairs of one line, or of a configuration, by name."""

ChoiceT = TypeVar("ChoiceT")


class MalformedLineError(ProtocolError):
    """A line, or a value in it, that the wire does not allow. The text names the field."""


class Line(NamedTuple):
    """One line of the wire."""

    name: str
    fields: Fields


def parse_line(line: str) -> Line:
    """Split a line at its tabs. Raises MalformedLineError on a part that is no `name=value` pair."""
    name, *parts = line.split("\t")
    fields: Fields = {}
    for part in parts:
        key, separator, value = part.partition("=")
        if not separator or not key:
            raise MalformedLineError(f"{part!r} is no name=value pair")
        fields[key] = value
    return Line(name, fields)


def required_count(fields: Fields, key: str) -> int:
    """Read a whole number of 0 or more. Raises MalformedLineError, also if it is missing."""
    try:
        value = int(fields[key])
    except KeyError:
        raise MalformedLineError(f"{key} is missing") from None
    except ValueError:
        raise MalformedLineError(f"{key}={fields[key]!r} is no whole number") from None
    if value < 0:
        raise MalformedLineError(f"{key}={value} is below 0")
    return value


def count(fields: Fields, key: str, default: int = 0) -> int:
    """Read a whole number of 0 or more, if it is there. Raises MalformedLineError."""
    return required_count(fields, key) if key in fields else default


def number(fields: Fields, key: str, default: float) -> float:
    """Read a finite number, if it is there. Raises MalformedLineError."""
    try:
        value = float(fields[key]) if key in fields else default
    except ValueError:
        raise MalformedLineError(f"{key}={fields[key]!r} is no number") from None
    if not math.isfinite(value):
        raise MalformedLineError(f"{key}={fields[key]!r} is no finite number")
    return value


def milliseconds(fields: Fields, key: str, default_ms: float = 0.0) -> float:
    """Read a time in microseconds and return it in milliseconds. Raises MalformedLineError."""
    return number(fields, key, default_ms * 1000.0) / 1000.0


def boolean(fields: Fields, key: str) -> bool:
    """Read a truth value, false if it is missing. Raises MalformedLineError."""
    value = fields.get(key, "0")
    if value not in ("0", "1", "true", "false"):
        raise MalformedLineError(f"{key}={value!r} is no bool")
    return value in ("1", "true")


def choice(fields: Fields, key: str, choices: dict[str, ChoiceT]) -> ChoiceT:
    """Read one of the words in `choices`. Raises MalformedLineError, also if it is missing."""
    value = fields.get(key)
    if value is None:
        raise MalformedLineError(f"{key} is missing")
    if value not in choices:
        raise MalformedLineError(f"{key}={value!r} is not one of {', '.join(choices)}")
    return choices[value]


def load_values(fields: Fields) -> dict[str, float]:
    """Read the load that a host reported: `name:value` pairs, separated by commas. Raises MalformedLineError."""
    values: dict[str, float] = {}
    for pair in fields.get("stats", "").split(","):
        if pair:
            key, separator, value = pair.partition(":")
            if not separator:
                raise MalformedLineError(f"stats holds {pair!r}")
            values[key] = number({key: value}, key, 0.0)
    return values
