"""The command `corallanding`."""

from __future__ import annotations

import sys

import typer


def fail(text: object, code: int = 2) -> typer.Exit:
    """Says why on standard error; to be raised."""
    print(text, file=sys.stderr)
    return typer.Exit(code)
