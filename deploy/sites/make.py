"""Create site folders of other customers from a kit's site and short lists of changes.

    .venv/bin/python deploy/sites/make.py KIT_SITE_FILE CHANGES.toml ... [--out out/sites]

Each site is written to OUT/NAME/NAME.toml, where NAME is the name of the change file, with the other files of the kit's
site folder. A change is an error if the site file has no such key or already has that value; then nothing is written.
"""

from __future__ import annotations

import argparse
import copy
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

OTHER_FILES = ("real.json", "wire.json", "unlock.txt")


class ChangeError(Exception):
    """A change that cannot be made; the text names the key."""


def get_element(container: Any, part: str) -> Any:
    """Return the element `part` of a list or table. Raises LookupError."""
    if isinstance(container, list):
        if not part.isdigit():
            raise LookupError(part)
        return container[int(part)]
    if not isinstance(container, dict):
        raise LookupError(part)
    return container[part]


def set_value(site: dict[str, Any], path: str, value: Any) -> None:
    """Set the key at `path`: parts joined by dots, elements of lists by index. Raises ChangeError."""
    *parents, last_part = path.split(".")
    container: Any = site
    try:
        for part in parents:
            container = get_element(container, part)
        old_value = get_element(container, last_part)
    except LookupError:
        raise ChangeError(f"{path}: the site has no such key") from None
    if old_value == value:
        raise ChangeError(f"{path}: is {value!r} already")
    container[int(last_part) if isinstance(container, list) else last_part] = value


def append_row(site: dict[str, Any], list_key: str, row: dict[str, Any]) -> None:
    """Append a row to the list `list_key`.

    The row is a copy of the one at index `like`, with the other values of `row`, and with the further keys in `new`.
    Raises ChangeError.
    """
    rows = site.get(list_key)
    template_index = row.get("like")
    if not isinstance(rows, list) or not isinstance(template_index, int) or not 0 <= template_index < len(rows):
        raise ChangeError(f"add to {list_key}, like {template_index!r}: the site has no such row")
    new_row = copy.deepcopy(rows[template_index])
    for key, value in row.items():
        if key in ("like", "new"):
            continue
        if key not in new_row:
            raise ChangeError(f"{list_key}.{key}: the site has no such key")
        new_row[key] = value
    rows.append({**new_row, **row.get("new", {})})


def apply_changes(site: dict[str, Any], changes: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a copy of the site with the changes made and this name. Raises ChangeError."""
    if unknown := set(changes) - {"change", "add"}:
        raise ChangeError(f"{sorted(unknown)[0]}: a list of changes may hold only 'change' and 'add'")
    site = copy.deepcopy(site)
    for path, value in changes.get("change", {}).items():
        set_value(site, path, value)
    for list_key, rows in changes.get("add", {}).items():
        for row in rows:
            append_row(site, list_key, row)
    return {**site, "name": name}


def main(argv: list[str]) -> int:
    """Create the sites; return 0, or 2 if a file or a change is invalid."""
    parser = argparse.ArgumentParser(prog="make.py", description="Create site folders from a kit and lists of changes.")
    parser.add_argument("site", type=Path, help="the site file of the kit, in one folder with its other files")
    parser.add_argument("changes", type=Path, nargs="+", help="lists of changes")
    parser.add_argument("--out", type=Path, default=Path("out/sites"))
    args = parser.parse_args(argv)
    sites: dict[str, dict[str, Any]] = {}
    path = args.site
    try:
        site = tomllib.loads(args.site.read_text())
        for file_name in OTHER_FILES:
            path = args.site.with_name(file_name)
            path.read_bytes()
        for path in args.changes:
            sites[path.stem] = apply_changes(site, tomllib.loads(path.read_text()), path.stem)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, ChangeError) as error:
        print(f"make.py: {path}: {error.strerror if isinstance(error, OSError) else error}", file=sys.stderr)
        return 2
    for name, content in sites.items():
        folder = args.out / name
        folder.mkdir(parents=True, exist_ok=True)
        for file_name in OTHER_FILES:
            shutil.copyfile(args.site.with_name(file_name), folder / file_name)
        (folder / f"{name}.toml").write_bytes(tomli_w.dumps(content).encode())
        print(folder / f"{name}.toml")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
