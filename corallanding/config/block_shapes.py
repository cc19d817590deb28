"""Conversion of blocks from the shape that the HCL library returns to the shape that the pydantic models expect.

The library returns lists of objects keyed by label. A block without a label becomes one object. A labelled block
becomes an entry of a map or, where the model expects a list, an item whose `kind` is the label.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, get_args, get_origin

from pydantic import BaseModel

from .errors import ConfigError
from .source_lines import UNKNOWN_LINE, KeyPath

BLOCK_KEY = "__is_block__"  # marker that the library adds to an object that was a block


class BlockForm(Enum):
    """How a field of a model represents the blocks of its name."""

    ONE = auto()
    MAP = auto()
    LIST = auto()


@dataclass(frozen=True)
class BlockField:
    """A field that represents blocks, and the model of one block."""

    form: BlockForm
    model: type[BaseModel]


def block_field(annotation: Any) -> BlockField | None:
    """Return how a field with this annotation represents blocks; None for plain values."""
    origin = get_origin(annotation)
    if origin in (typing.Union, types.UnionType):
        alternatives = (block_field(part) for part in get_args(annotation))
        return next((field for field in alternatives if field), None)
    if origin in (dict, list) and get_args(annotation):
        model = get_args(annotation)[-1]
        form = BlockForm.MAP if origin is dict else BlockForm.LIST
        return BlockField(form, model) if _is_model(model) else None
    return BlockField(BlockForm.ONE, annotation) if _is_model(annotation) else None


def _is_model(annotation: Any) -> bool:
    return isinstance(annotation, type) and issubclass(annotation, BaseModel)


def keys_at(model: type[BaseModel], location: tuple[Any, ...]) -> list[str]:
    """Return the keys allowed at the end of `location`, from which a replacement for an unknown key is suggested."""
    current = model
    remaining = list(location[:-1])
    while remaining:
        key = remaining.pop(0)
        if key not in current.model_fields:
            return []
        field = block_field(current.model_fields[key].annotation)
        if field is None:
            return []
        current = field.model
        if field.form is not BlockForm.ONE and remaining:
            remaining.pop(0)  # label or index of the block
    return list(current.model_fields)


class BlockShaper:
    """Converts the blocks of one file. source: name of the file, for errors. lines: line numbers of its keys."""

    def __init__(self, source: str, lines: Mapping[KeyPath, int]) -> None:
        self.source = source
        self.lines = lines

    def shape(self, raw: dict[str, Any], model: type[BaseModel], path: KeyPath = ()) -> dict[str, Any]:
        """Return `raw` in the shape of `model`. Raises `ConfigError` on a repeated block or a wrong label."""
        shaped: dict[str, Any] = {}
        for key, value in raw.items():
            if key == BLOCK_KEY:
                continue
            field = block_field(model.model_fields[key].annotation) if key in model.model_fields else None
            if field is None or not _are_blocks(value):
                shaped[key] = value
            elif field.form is BlockForm.ONE:
                shaped[key] = self._shape_single(value, field, (*path, key))
            else:
                shaped[key] = self._shape_labelled(value, field, (*path, key))
        return shaped

    def _shape_single(self, blocks: list[Any], field: BlockField, path: KeyPath) -> dict[str, Any]:
        if len(blocks) > 1:
            raise self._error((*path, 1), "only one block of this name is allowed")
        return self.shape(blocks[0], field.model, path)

    def _shape_labelled(self, blocks: list[Any], field: BlockField, path: KeyPath) -> Any:
        is_map = field.form is BlockForm.MAP
        by_label: dict[str, Any] = {}
        rows: list[Any] = []
        for index, block in enumerate(blocks):
            if BLOCK_KEY in block:
                raise self._error((*path, index), f'a label is expected, as in {path[-1]} "NAME" {{')
            label, body = next(iter(block.items()))
            if is_map and label in by_label:
                raise self._error((*path, index), f"{label!r} is defined twice")
            by_label[label] = self.shape(body, field.model, (*path, label if is_map else index))
            rows.append({"kind": label, **by_label[label]})
        return by_label if is_map else rows

    def _error(self, path: KeyPath, text: str) -> ConfigError:
        """Return an error on the block whose path ends in its index."""
        line = self.lines.get(path, UNKNOWN_LINE)
        return ConfigError(f"{self.source}:{line}: {path[-2]}: {text}")


def _are_blocks(value: Any) -> bool:
    return isinstance(value, list) and any(isinstance(item, dict) and _is_block(item) for item in value)


def _is_block(block: dict[str, Any]) -> bool:
    """Return whether the object was a block: it, or an object under its labels, has the library's marker."""
    return BLOCK_KEY in block or any(isinstance(value, dict) and _is_block(value) for value in block.values())
