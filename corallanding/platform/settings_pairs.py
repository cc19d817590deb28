"""Conversion of nested JSON settings to the simulator's `name=value` pairs, so that one reader serves both. Pure."""

from __future__ import annotations

from typing import Any


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Return the pairs of a JSON value.

    Nested names are joined by dots. A list of plain values becomes one value with commas. A list of objects becomes a
    `.count`, and its elements are named by their index.
    """
    if isinstance(value, dict):
        return _flatten_object(value, path)
    if isinstance(value, list):
        return _flatten_list(value, path)
    return {} if value is None else {path: _encode_plain(value)}


def _flatten_object(value: dict[Any, Any], path: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for key, item in value.items():
        pairs.update(flatten(item, f"{path}.{key}" if path else str(key)))
    return pairs


def _flatten_list(value: list[Any], path: str) -> dict[str, str]:
    if not any(isinstance(item, dict) for item in value):
        return {path: ",".join(_encode_plain(item) for item in value)}
    pairs = {f"{path}.count": str(len(value))}
    for index, item in enumerate(value):
        pairs.update(flatten(item, f"{path}.{index}"))
    return pairs


def _encode_plain(value: Any) -> str:
    """Return a plain value as text; characters that separate pairs or values become underscores."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "".join("_" if character in " ,\t" else character for character in str(value))
