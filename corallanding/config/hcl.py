"""Loading of HCL files into pydantic models, with errors that name file, line and key.

Interpolation and functions are not evaluated: they remain plain text, which the checks reject.
"""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import hcl2
from lark.exceptions import LarkError, UnexpectedInput
from pydantic import BaseModel, ValidationError

from .block_shapes import BlockShaper, keys_at
from .errors import ConfigError
from .source_lines import KeyPath, lines_of_keys

Model = TypeVar("Model", bound=BaseModel)
OPTIONS = hcl2.SerializationOptions(with_comments=False, strip_string_quotes=True, preserve_scientific_notation=False)
MAX_SHOWN_VALUE = 60  # characters of a value in an error
MAX_SHOWN_MESSAGE = 200  # characters of a parser's message in an error
MIN_SIMILARITY = 0.5  # of an unknown key to a known one that an error suggests
FIRST_LINE = 1


def load(path: str | Path, model: type[Model]) -> Model:
    """Read a file into a model. Raises `ConfigError` with one line per fault."""
    source = str(path)
    text = _read(path)
    raw, lines = _parse(source, text)
    shaped = BlockShaper(source, lines).shape(raw, model)
    try:
        return model.model_validate(shaped)
    except ValidationError as error:
        raise ConfigError(_describe_all(error, model, source, lines)) from None


def _read(path: str | Path) -> str:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: cannot be read: {error}") from None
    return text if text.endswith("\n") else text + "\n"


def _parse(source: str, text: str) -> tuple[dict[str, Any], dict[KeyPath, int]]:
    """Return the objects of the text as the library parses them, and the line numbers of its keys."""
    try:
        return hcl2.loads(text, serialization_options=OPTIONS), lines_of_keys(text)
    except UnexpectedInput as error:
        line = getattr(error, "line", 0)
        token = str(getattr(error, "token", "") or getattr(error, "char", "")).strip().splitlines()[:1]
        raise ConfigError(f"{source}:{line}: not HCL at {token[0] if token else 'the line end'!r}") from None
    except (LarkError, ValueError, TypeError, KeyError, RecursionError) as error:
        message = str(error).splitlines()[0][:MAX_SHOWN_MESSAGE]
        raise ConfigError(f"{source}: not HCL: {message}") from None


def _describe_all(error: ValidationError, model: type[BaseModel], source: str, lines: Mapping[KeyPath, int]) -> str:
    """Return one line of text per fault, in the order of the file."""
    described = []
    for detail in error.errors():
        location = tuple(detail["loc"]) or _location_in_text(detail)
        known_lines = (lines[location[:size]] for size in range(len(location), 0, -1) if location[:size] in lines)
        line = next(known_lines, FIRST_LINE)
        key = ".".join(str(part) for part in location) or "file"
        described.append((line, f"{source}:{line}: {key}: {_describe(detail, model)}"))
    return "\n".join(text for _, text in sorted(described))


def _location_in_text(detail: Any) -> tuple[str, ...]:
    """Return the key that a check across blocks rejects: the first word of its message."""
    return tuple(_message(detail).split()[0].split("."))


def _message(detail: Any) -> str:
    return str(detail["msg"]).removeprefix("Value error, ")


def _describe(detail: Any, model: type[BaseModel]) -> str:
    """Return the text of a fault that pydantic reports in `detail`, in the terms of a configuration file."""
    location = detail["loc"]
    if detail["type"] == "extra_forbidden":
        similar = difflib.get_close_matches(str(location[-1]), keys_at(model, location), 1, MIN_SIMILARITY)
        return "unknown key" + (f"; did you mean {similar[0]}?" if similar else "")
    if detail["type"] == "missing":
        return "is missing"
    text = _message(detail)
    text = text[:1].lower() + text[1:]
    value = detail["input"]
    return text if isinstance(value, dict) else f"{text} (found {_shortened(value)!r})"


def _shortened(value: Any) -> Any:
    text = repr(value)
    return value if len(text) <= MAX_SHOWN_VALUE else text[: MAX_SHOWN_VALUE - 3] + "..."
