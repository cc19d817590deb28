"""Conversion of events, actions and settings to and from their stored form.

`interface.stored_names` defines the stored names. Stored values are validated against the field types of the class.
"""

from __future__ import annotations

from functools import cache
from types import GenericAlias
from typing import Any, TypeVar

import msgspec

from ..interface import stored_names

T = TypeVar("T")


@cache
def stored_class(kind: type) -> type[msgspec.Struct]:
    """Return a struct class with the fields of `kind`, which an encoder writes under their stored names."""
    fields = stored_names.FIELDS[kind]
    items = stored_names.ITEMS.get(kind, {})
    lists = {name: GenericAlias(list, (stored_class(inner),)) for name, inner in items.items()}
    return msgspec.defstruct(
        kind.__name__,
        [(attribute, lists.get(name, Any)) for name, attribute in fields.items()],
        rename={attribute: name for name, attribute in fields.items()},
    )


def to_stored(item: Any) -> msgspec.Struct:
    """Return the stored form of an event, action or settings object, with fields in the order of `stored_names`."""
    return msgspec.convert(item, stored_class(item.__class__), from_attributes=True)


def from_stored(raw: Any, kind: type[T]) -> T:
    """Return an object of `kind` from its stored form; unknown names are ignored.

    Raises `msgspec.ValidationError` that names the invalid field.
    """
    return msgspec.convert(_attributes(raw, kind), kind)


def _attributes(raw: Any, kind: type) -> Any:
    """Return a stored map with attribute names as keys. Values of the wrong type are kept, for validation to reject."""
    if not isinstance(raw, dict):
        return raw
    fields = stored_names.FIELDS[kind]
    items = stored_names.ITEMS.get(kind, {})
    found = {fields[name]: value for name, value in raw.items() if name in fields}
    for name, inner in items.items():
        if isinstance(raw.get(name), list):
            found[fields[name]] = [_attributes(element, inner) for element in raw[name]]
    return found
