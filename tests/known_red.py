"""Reads KNOWN-RED.txt: tests that fail for a real fault that is not mended yet. A pytest plugin, used by conftest.

A line: `tests/test_x.py::test_name | cause | issue 34`. What is listed has to fail: one that passes fails the run, as
do a fourth line, a line of another form and a test that does not exist. Each is printed at the end with its cause.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3
ISSUE = re.compile(r"issue \d+")


class BadList(Exception):
    """The list cannot be used; the text names the line."""


@dataclass(frozen=True)
class Red:
    """test: a node id, of a whole function or of one set of its parameters."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[Red]:
    """Raises BadList."""
    reds: list[Red] = []
    for number, line in enumerate(filter(str.strip, text.splitlines()), 1):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or "::" not in parts[0] or not parts[1] or not ISSUE.fullmatch(parts[2]):
            raise BadList(f"{FILE}, line {number}: 'TEST | CAUSE | issue N' is expected: {line[:120]!r}")
        if any(red.test == parts[0] for red in reds):
            raise BadList(f"{FILE}, line {number}: {parts[0]} is listed twice")
        reds.append(Red(*parts))
    if len(reds) > MOST:
        raise BadList(f"{FILE}: {len(reds)} lines, {MOST} at most are allowed")
    return reds


def check_exists(red: Red, root: Path) -> None:
    """Raises BadList for a test that is in no file. By the source, so that it holds in any part of the run."""
    file, _, rest = red.test.partition("::")
    path, function = root / file, rest.partition("[")[0].rpartition("::")[2]
    defined = {
        node.name
        for node in ast.walk(ast.parse(path.read_text() if path.is_file() else ""))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    }
    if function not in defined:
        raise BadList(f"{FILE}: there is no test {red.test}")


def matches(red: Red, node_id: str) -> bool:
    return red.test in (node_id, node_id.partition("[")[0])


def mark(reds: list[Red], items: Iterable[pytest.Item]) -> None:
    """Marks what is listed. A function that was collected, but not with the parameters listed, fails and says so."""
    seen = {item.nodeid: item for item in items}
    for red in reds:
        found = [item for node_id, item in seen.items() if matches(red, node_id)]
        for item in found:
            item.add_marker(pytest.mark.xfail(reason=f"{FILE}: {red.cause} ({red.issue})", strict=True), append=False)
        function = red.test.partition("[")[0]
        for node_id, item in seen.items():
            if not found and node_id.partition("[")[0] == function:
                # By itself, not by an error of the collection: a worker of xdist would only die of that, unheard.
                item.runtest = partial(pytest.fail, f"{FILE}: there is no test {red.test}")  # type: ignore[method-assign]


class Plugin:
    def __init__(self, reds: list[Red]) -> None:
        self.reds = reds

    # Before `-m` and `-k` leave any out: a listed test that is left out of this part is none that does not exist.
    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        if not any("[" in str(arg) for arg in config.args):
            mark(self.reds, items)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if self.reds:
            terminalreporter.section("known red")
            for red in self.reds:
                terminalreporter.line(f"{red.test}: {red.cause} ({red.issue})")


def pytest_configure(config: pytest.Config) -> None:
    path = config.rootpath / FILE
    try:
        reds = parse(path.read_text() if path.exists() else "")
        for red in reds:
            check_exists(red, config.rootpath)
    except BadList as fault:
        raise pytest.UsageError(str(fault)) from None
    config.pluginmanager.register(Plugin(reds))
