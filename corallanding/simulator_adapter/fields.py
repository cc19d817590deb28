"""Name=value pairs of the wire, and how each kind of value is read. Times turn to milliseconds here."""

from __future__ import annotations


class Malformed(Exception):
    """A line that the wire does not allow."""


Fields = dict[str, str]


def split(line: str) -> tuple[str, Fields]:
    name, *parts = line.split("\t")
    fields: Fields = {}
    for part in parts:
        key, mark, value = part.partition("=")
        if not mark or not key:
            raise Malformed(f"{part!r} is no name=value pair")
        fields[key] = value
    return name, fields


def whole(f: Fields, key: str) -> int:
    try:
        value = int(f[key])
    except KeyError:
        raise Malformed(f"{key} is missing") from None
    except ValueError:
        raise Malformed(f"{key}={f[key]!r} is no whole number") from None
    if value < 0:
        raise Malformed(f"{key}={value} is below 0")
    return value


def number(f: Fields, key: str, default: float) -> float:
    try:
        value = float(f[key]) if key in f else default
    except ValueError:
        raise Malformed(f"{key}={f[key]!r} is no number") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise Malformed(f"{key}={f[key]!r} is no finite number")
    return value


def count(f: Fields, key: str, default: int = 0) -> int:
    return whole(f, key) if key in f else default


def ms(f: Fields, key: str, default: float = 0.0) -> float:
    return number(f, key, default * 1000.0) / 1000.0


def flag(f: Fields, key: str, default: bool = False) -> bool:
    value = f.get(key, "1" if default else "0")
    if value not in ("0", "1", "true", "false"):
        raise Malformed(f"{key}={value!r} is no bool")
    return value in ("1", "true")


def word(f: Fields, key: str, words: dict[str, object]) -> object:
    value = f.get(key)
    if value is None:
        raise Malformed(f"{key} is missing")
    if value not in words:
        raise Malformed(f"{key}={value!r} is not one of {', '.join(words)}")
    return words[value]


def load(f: Fields) -> dict[str, float]:
    out: dict[str, float] = {}
    for pair in f.get("stats", "").split(","):
        if pair:
            key, mark, value = pair.partition(":")
            if not mark:
                raise Malformed(f"stats holds {pair!r}")
            out[key] = number({key: value}, key, 0.0)
    return out
