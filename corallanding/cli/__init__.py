"""The command `corallanding`."""

from __future__ import annotations

import sys

import typer

BAD_INPUT = 2  # exit code


def fail(text: object, code: int = BAD_INPUT) -> typer.Exit:
    """Print the text on standard error and return the exception that ends the command with this exit code."""
    print(text, file=sys.stderr)
    return typer.Exit(code)
