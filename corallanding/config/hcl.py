"""HCL files to pydantic models, with errors that name file, line and key.

A block without a label is one object; with a label it is a row of a map, or, where the model wants a list, an
item whose `kind` is the label. Interpolation and functions are not evaluated: they are refused by the checks.
"""

from __future__ import annotations

import difflib
import types
import typing
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin

import hcl2
from lark import Token, Tree
from lark.exceptions import LarkError, UnexpectedInput
from pydantic import BaseModel, ValidationError

from ..errors import ConfigurationError

Model = TypeVar("Model", bound=BaseModel)
OPTIONS = hcl2.SerializationOptions(with_comments=False, strip_string_quotes=True, preserve_scientific_notation=False)


class ConfigError(ConfigurationError):
    """`FILE:LINE: KEY: what is expected`, one line for each thing that is wrong."""


Path_ = tuple[str | int, ...]


def lines_of(tree: Any, path: Path_, found: dict[Path_, int]) -> None:
    """Line of every attribute and block by its path; blocks count within their name, and by their label."""
    seen: dict[str, int] = {}
    for node in tree.children:
        if not isinstance(node, Tree) or node.data not in ("attribute", "block"):
            continue
        names = [word(c) for c in node.children if isinstance(c, Tree) and c.data in ("identifier", "string")]
        line = first_line(node)
        name, labels = names[0], names[1:] if node.data == "block" else []
        at: Path_ = (*path, name)
        found.setdefault(at, line)
        if node.data == "block":
            number = seen.get(name, 0)
            seen[name] = number + 1
            body = next(c for c in node.children if isinstance(c, Tree) and c.data == "body")
            for inner in ((*at, number), (*at, *labels)):
                found.setdefault(inner, line)
                lines_of(body, inner, found)


def first_line(node: Any) -> int:
    return next((t.line for t in node.scan_values(lambda v: isinstance(v, Token)) if t.line), 0)


def word(node: Any) -> str:
    return "".join(str(t) for t in node.scan_values(lambda v: isinstance(v, Token))).strip().strip('"')


def inner_model(annotation: Any) -> tuple[str, type[BaseModel] | None]:
    """How a field takes its block: ("one" | "map" | "list" | "", the block's model)."""
    if get_origin(annotation) in (typing.Union, types.UnionType):
        for part in get_args(annotation):
            found = inner_model(part)
            if found[1]:
                return found
    if get_origin(annotation) in (dict, list) and get_args(annotation):
        last = get_args(annotation)[-1]
        if isinstance(last, type) and issubclass(last, BaseModel):
            return ("map" if get_origin(annotation) is dict else "list"), last
        return "", None
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return "one", annotation
    return "", None


def shape(raw: dict[str, Any], model: type[BaseModel], where: str, path: Path_, at: dict[Path_, int]) -> Any:
    """Blocks as the library gives them (lists of objects keyed by label) into the shape of the model."""
    out: dict[str, Any] = {}
    for key, value in raw.items():
        if key == "__is_block__":
            continue
        blocks = isinstance(value, list) and any(isinstance(v, dict) and marked(v) for v in value)
        kind, inner = "", None
        if key in model.model_fields:
            kind, inner = inner_model(model.model_fields[key].annotation)
        if not blocks or inner is None:
            out[key] = value
            continue
        if kind == "one":
            if len(value) > 1:
                line = at.get((*path, key, 1), 0)
                raise ConfigError(f"{where}:{line}: {key}: this block may stand once")
            out[key] = shape(value[0], inner, where, (*path, key), at)
            continue
        rows: list[Any] = []
        named: dict[str, Any] = {}
        for number, block in enumerate(value):
            if "__is_block__" in block:
                line = at.get((*path, key, number), 0)
                raise ConfigError(f'{where}:{line}: {key}: a label is expected, as in {key} "NAME" {{')
            (label, body), label_line = next(iter(block.items())), at.get((*path, key, number), 0)
            if kind == "map" and label in named:
                raise ConfigError(f"{where}:{label_line}: {key}: {label!r} stands twice")
            inner_path = (*path, key, label if kind == "map" else number)
            named[label] = shape(body, inner, where, inner_path, at)
            rows.append({"kind": label, **named[label]})
        out[key] = named if kind == "map" else rows
    return out


def marked(block: dict[str, Any]) -> bool:
    return "__is_block__" in block or any(isinstance(v, dict) and marked(v) for v in block.values())


def plain(value: Any) -> Any:
    return value if len(repr(value)) <= 60 else repr(value)[:57] + "..."


def fields_at(model: type[BaseModel], loc: tuple[Any, ...]) -> list[str]:
    """Keys that may stand where `loc` ends, for a hint at an unknown key."""
    here: type[BaseModel] | None = model
    steps = list(loc[:-1])
    while steps and here is not None:
        step = steps.pop(0)
        if step not in here.model_fields:
            return []
        kind, here = inner_model(here.model_fields[step].annotation)
        if kind in ("map", "list") and steps:
            steps.pop(0)
    return list(here.model_fields) if here else []


def explain(error: Any, model: type[BaseModel]) -> str:
    loc = error["loc"]
    if error["type"] == "extra_forbidden":
        near = difflib.get_close_matches(str(loc[-1]), fields_at(model, loc), 1, 0.5)
        return "unknown key" + (f"; did you mean {near[0]}?" if near else "")
    if error["type"] == "missing":
        return "is missing"
    text = str(error["msg"]).removeprefix("Value error, ")
    text = text[:1].lower() + text[1:]
    return f"{text} (found {plain(error['input'])!r})" if not isinstance(error["input"], dict) else text


def load(path: str | Path, model: type[Model]) -> Model:
    """The file as a model. Raises `ConfigError`, one line an error."""
    where = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        raise ConfigError(f"{where}: cannot be read: {fault}") from None
    if not text.endswith("\n"):
        text += "\n"
    at: dict[Path_, int] = {}
    try:
        raw = hcl2.loads(text, serialization_options=OPTIONS)
        for node in hcl2.parses_to_tree(text).children:
            if isinstance(node, Tree) and node.data == "body":
                lines_of(node, (), at)
    except UnexpectedInput as fault:
        line = getattr(fault, "line", 0)
        token = str(getattr(fault, "token", "") or getattr(fault, "char", "")).strip().splitlines()[:1]
        raise ConfigError(f"{where}:{line}: not HCL at {token[0] if token else 'the line end'!r}") from None
    except (LarkError, ValueError, TypeError, KeyError, RecursionError) as fault:
        raise ConfigError(f"{where}: not HCL: {str(fault).splitlines()[0][:200]}") from None
    try:
        return model.model_validate(shape(raw, model, where, (), at))
    except ValidationError as fault:
        lines = []
        for error in fault.errors():
            loc = tuple(error["loc"])
            if not loc:  # a check across blocks: its text begins with the key that it is about
                loc = tuple(str(error["msg"]).removeprefix("Value error, ").split()[0].split("."))
            line = next((at[loc[:n]] for n in range(len(loc), 0, -1) if loc[:n] in at), 1)
            key = ".".join(str(part) for part in loc) or "file"
            lines.append((line, f"{where}:{line}: {key}: {explain(error, model)}"))
        raise ConfigError("\n".join(text for _, text in sorted(lines))) from None
