"""Nested JSON settings as the `name=value` pairs of the simulator's wire: one reader of settings serves both. Pure."""

from __future__ import annotations

from typing import Any


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Return the pairs of a JSON value.

    Names of objects are joined by dots. A list of plain values becomes one value with commas, a list of objects a
    `.count` and a number for each place.
    """
    if isinstance(value, dict):
        return _flatten_object(value, path)
    if isinstance(value, list):
        return _flatten_list(value, path)
    return {} if value is None else {path: _plain(value)}


def _flatten_object(value: dict[Any, Any], path: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for key, inner in value.items():
        pairs.update(flatten(inner, f"{path}.{key}" if path else str(key)))
    return pairs


def _flatten_list(value: list[Any], path: str) -> dict[str, str]:
    if not any(isinstance(inner, dict) for inner in value):
        return {path: ",".join(_plain(inner) for inner in value)}
    pairs = {f"{path}.count": str(len(value))}
    for index, inner in enumerate(value):
        pairs.update(flatten(inner, f"{path}.{index}"))
    return pairs


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "".join("_" if character in " ,\t" else character for character in str(value))
