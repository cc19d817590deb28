"""Events, actions and settings as maps under their stored names, and back.

`interface.stored_names` has the names. What comes back is validated by the types of the class.
"""

from __future__ import annotations

from collections.abc import Callable
from operator import attrgetter
from typing import Any, NamedTuple, TypeVar

import msgspec

from ..interface import stored_names

T = TypeVar("T")


def _no_values(_: Any) -> tuple[Any, ...]:
    return ()


def _values_of(attributes: tuple[str, ...]) -> Callable[[Any], tuple[Any, ...]]:
    """Reads all of `attributes` at once. (`attrgetter` gives a bare value for a single one, and refuses none.)"""
    if not attributes:
        return _no_values
    if len(attributes) > 1:
        return attrgetter(*attributes)
    only = attrgetter(attributes[0])
    return lambda item: (only(item),)


class Reader(NamedTuple):
    """How objects of one class are stored: names, what reads their values, and which hold sequences of what class."""

    names: tuple[str, ...]
    values_of: Callable[[Any], tuple[Any, ...]]
    items: dict[str, type]


def readers() -> dict[type, Reader]:
    """A reader for each class that is stored."""
    return {
        kind: Reader(tuple(fields), _values_of(tuple(fields.values())), stored_names.ITEMS.get(kind, {}))
        for kind, fields in stored_names.FIELDS.items()
    }


_READERS = readers()


def to_stored(item: Any) -> dict[str, Any]:
    """The fields of an event, action or settings object under their stored names, in the order of the table."""
    names, values_of, items = _READERS[type(item)]
    stored = dict(zip(names, values_of(item), strict=True))
    for name in items:
        stored[name] = [to_stored(inner) for inner in stored[name]]
    return stored


def from_stored(raw: Any, kind: type[T]) -> T:
    """An object of `kind` from its stored form; unknown names are passed over.

    Raises `msgspec.ValidationError` naming what does not fit.
    """
    return msgspec.convert(_attributes(raw, kind), kind)


def _attributes(raw: Any, kind: type) -> Any:
    """A stored map under the names of attributes. What is no map, or no list, is left to validation."""
    if not isinstance(raw, dict):
        return raw
    fields = stored_names.FIELDS[kind]
    items = stored_names.ITEMS.get(kind, {})
    found = {fields[name]: value for name, value in raw.items() if name in fields}
    for name, inner in items.items():
        if isinstance(raw.get(name), list):
            found[fields[name]] = [_attributes(one, inner) for one in raw[name]]
    return found
