"""Events, actions and settings under their stored names, and back.

`interface.stored_names` has the names. What comes back is validated by the types of the class.
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
    """The class that holds the fields of a `kind` for an encoder, which writes them under their stored names."""
    fields = stored_names.FIELDS[kind]
    items = stored_names.ITEMS.get(kind, {})
    lists = {name: GenericAlias(list, (stored_class(inner),)) for name, inner in items.items()}
    return msgspec.defstruct(
        kind.__name__,
        [(attribute, lists.get(name, Any)) for name, attribute in fields.items()],
        rename={attribute: name for name, attribute in fields.items()},
    )


def to_stored(item: Any) -> msgspec.Struct:
    """An event, action or settings object as an encoder writes it: its stored names, in the order of the table."""
    return msgspec.convert(item, stored_class(item.__class__), from_attributes=True)


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
