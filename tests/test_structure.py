"""The layout of the source: packages import only lower layers, modules have no import cycles, files are short."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "corallanding"
MAX_LINES = 250

# Packages, lowest layer first: each may import only from itself and from those before it.
LAYERS = (
    "errors",
    "interface",
    "rate_limit",
    "host_names",
    "resp",
    "json_errors",
    "transient_errors",
    "connection",
    "read_scheduler",
    "assignment",
    "wire",
    "channel",
    "endpoints",
    "store",
    "health_check",
    "upgrade",
    "admin",
    "telemetry",
    "load_reports",
    "membership",
    "lease",
    "quota",
    "quorum_records",
    "version_pinning",
    "scheduling",
    "config",
    "registry",
    "snapshot",
    "controller",
    "collector",
    "relay",
    "discovery",
    "simulator_adapter",
    "platform",
    "cli",
    "lab",
)

# Files over the limit that are not split yet. The list may only shrink.
LONG_FILES = frozenset(
    {
        "lab/audit.py",
        "lab/fleet/commands.py",
        "lab/fleet/emulate.py",
        "lab/fleet/page.py",
        "lab/fleet/recorded.py",
        "lab/fleet/runs.py",
        "lab/forwarder.py",
        "lab/registry.py",
        "lab/runner.py",
    }
)


def module_name(path: Path) -> str:
    """Return the dotted name of a source file below the root of the repository."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


@cache
def modules() -> dict[str, Path]:
    """Return the path of every module of the package by its dotted name."""
    return {module_name(path): path for path in sorted(PACKAGE.rglob("*.py"))}


def is_type_checking(node: ast.AST) -> bool:
    """Return whether the statement is `if TYPE_CHECKING:`, whose imports do not run."""
    return isinstance(node, ast.If) and isinstance(node.test, ast.Name) and node.test.id == "TYPE_CHECKING"


def statements(node: ast.AST, at_import: bool) -> Iterator[ast.AST]:
    """Yield the nodes below `node`; with `at_import` only those that run when the module is imported."""
    for child in ast.iter_child_nodes(node):
        is_deferred = isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda) or is_type_checking(child)
        if at_import and is_deferred:
            continue
        yield child
        yield from statements(child, at_import)


def imported_modules(name: str, at_import: bool) -> set[str]:
    """Return the modules of this package that the module `name` imports."""
    path = modules()[name]
    package = name if path.name == "__init__.py" else name.rpartition(".")[0]
    found: set[str] = set()
    for node in statements(ast.parse(path.read_text()), at_import):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            parents = package.split(".")[: len(package.split(".")) - node.level + 1] if node.level else []
            base = ".".join([*parents, *([node.module] if node.module else [])])
            found.add(base)
            found |= {f"{base}.{alias.name}" for alias in node.names}
    return {module for module in found if module in modules() and module != name}


def layer_of(name: str) -> str:
    """Return the top-level package (layer) of a module."""
    return name.split(".")[1] if "." in name else ""


def test_layers_when_read_from_source_then_every_package_has_one() -> None:
    assert {layer_of(name) for name in modules()} - {""} == set(LAYERS)


@pytest.mark.parametrize("layer", LAYERS)
def test_imports_when_read_from_source_then_they_go_to_lower_layers_only(layer: str) -> None:
    allowed = {*LAYERS[: LAYERS.index(layer) + 1], ""}
    for name in modules():
        if layer_of(name) == layer:
            higher = {m for m in imported_modules(name, at_import=False) if layer_of(m) not in allowed}
            assert not higher, f"{name} imports {sorted(higher)}"


def test_imports_when_followed_from_any_module_then_there_is_no_cycle() -> None:
    imports = {name: imported_modules(name, at_import=True) for name in modules()}
    finished: set[str] = set()

    def visit(name: str, chain: tuple[str, ...]) -> None:
        assert name not in chain, f"import cycle: {' -> '.join([*chain[chain.index(name) :], name])}"
        if name in finished:
            return
        for imported in sorted(imports[name]):
            if not name.startswith(f"{imported}."):
                visit(imported, (*chain, name))
        finished.add(name)

    for name in sorted(imports):
        visit(name, ())


def test_product_files_when_measured_then_only_listed_ones_exceed_the_limit() -> None:
    long = {
        path.relative_to(PACKAGE).as_posix()
        for path in modules().values()
        if len(path.read_text().splitlines()) > MAX_LINES
    }
    assert long == LONG_FILES, f"new: {sorted(long - LONG_FILES)}; shrink the list by {sorted(LONG_FILES - long)}"
