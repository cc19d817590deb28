"""Line numbers of the attributes and blocks of an HCL text, for error messages."""

from __future__ import annotations

from collections import Counter
from typing import Any

import hcl2
from lark import Token, Tree

KeyPath = tuple[str | int, ...]  # names of blocks and attributes, outermost first, with indexes or labels of blocks
UNKNOWN_LINE = 0


def lines_of_keys(text: str) -> dict[KeyPath, int]:
    """Return the line number of every attribute and block of the text by its path.

    A block has two paths: one with its index among the blocks of its name, one with its labels. Raises lark's errors on
    a text that is not HCL.
    """
    lines: dict[KeyPath, int] = {}
    for node in hcl2.parses_to_tree(text).children:
        if isinstance(node, Tree) and node.data == "body":
            _collect(node, (), lines)
    return lines


def _collect(body: Any, path: KeyPath, lines: dict[KeyPath, int]) -> None:
    counts: Counter[str] = Counter()
    for node in body.children:
        if not isinstance(node, Tree) or node.data not in ("attribute", "block"):
            continue
        name, *labels = _names(node)
        line = _first_line(node)
        lines.setdefault((*path, name), line)
        if node.data == "block":
            block_body = next(child for child in node.children if isinstance(child, Tree) and child.data == "body")
            for block_path in ((*path, name, counts[name]), (*path, name, *labels)):
                lines.setdefault(block_path, line)
                _collect(block_body, block_path, lines)
            counts[name] += 1


def _names(node: Any) -> list[str]:
    """Return the name of an attribute or block, and the labels of a block."""
    children = [child for child in node.children if isinstance(child, Tree)]
    return [_text(child) for child in children if child.data in ("identifier", "string")]


def _first_line(node: Any) -> int:
    return next((token.line for token in node.scan_values(_is_token) if token.line), UNKNOWN_LINE)


def _text(node: Any) -> str:
    return "".join(str(token) for token in node.scan_values(_is_token)).strip().strip('"')


def _is_token(value: object) -> bool:
    return isinstance(value, Token)
