"""Makes site folders of other customers from a kit's site and a short list of changes.

    .venv/bin/python deploy/sites/make.py KIT_SITE_FILE CHANGES.toml ... [--out out/sites]

Each goes to OUT/NAME/NAME.toml, NAME being that of the change file, with the files that stand beside the kit's site. A
change that names no key of the site file is refused, as is one that changes nothing; nothing is written then.
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

BESIDE = ("real.json", "wire.json", "unlock.txt")


class BadChange(Exception):
    """The change cannot be made; the text names file and key."""


def step(place: Any, part: str) -> Any:
    """Raises LookupError."""
    if isinstance(place, list):
        if not part.isdigit():
            raise LookupError(part)
        return place[int(part)]
    if not isinstance(place, dict):
        raise LookupError(part)
    return place[part]


def change(site: dict[str, Any], path: str, value: Any) -> None:
    """Sets the key at `path`, its parts joined by dots, places in lists by number. Raises BadChange."""
    *above, last = path.split(".")
    place: Any = site
    try:
        for part in above:
            place = step(place, part)
        old = step(place, last)
    except LookupError:
        raise BadChange(f"{path}: the site has no such key") from None
    if old == value:
        raise BadChange(f"{path}: is {value!r} already")
    place[int(last) if isinstance(place, list) else last] = value


def add(site: dict[str, Any], to: str, row: dict[str, Any]) -> None:
    """One more in the list `to`: a copy of the one at `like`, with other values, and keys that only it has in `new`.
    Raises BadChange."""
    rows = site.get(to)
    like = row.get("like")
    if not isinstance(rows, list) or not isinstance(like, int) or not 0 <= like < len(rows):
        raise BadChange(f"add to {to}, like {like!r}: the site has no such row")
    new = copy.deepcopy(rows[like])
    for key, value in row.items():
        if key in ("like", "new"):
            continue
        if key not in new:
            raise BadChange(f"{to}.{key}: the site has no such key")
        new[key] = value
    rows.append({**new, **row.get("new", {})})


def changed(site: dict[str, Any], changes: dict[str, Any], name: str) -> dict[str, Any]:
    """The site with the changes made. Raises BadChange."""
    if unknown := set(changes) - {"change", "add"}:
        raise BadChange(f"{sorted(unknown)[0]}: 'change' and 'add' are what a list of changes may hold")
    site = copy.deepcopy(site)
    for path, value in changes.get("change", {}).items():
        change(site, path, value)
    for to, rows in changes.get("add", {}).items():
        for row in rows:
            add(site, to, row)
    return {**site, "name": name}


def main(argv: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="make.py", description="Makes site folders from a kit and lists of changes.")
    parser.add_argument("site", type=Path, help="the site file of the kit, its other files beside it")
    parser.add_argument("changes", type=Path, nargs="+", help="lists of changes")
    parser.add_argument("--out", type=Path, default=Path("out/sites"))
    told = parser.parse_args(argv)
    made: dict[str, dict[str, Any]] = {}
    path = told.site
    try:
        site = tomllib.loads(told.site.read_text())
        for beside in BESIDE:
            path = told.site.with_name(beside)
            path.read_bytes()
        for path in told.changes:
            made[path.stem] = changed(site, tomllib.loads(path.read_text()), path.stem)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, BadChange) as fault:
        print(f"make.py: {path}: {fault.strerror if isinstance(fault, OSError) else fault}", file=sys.stderr)
        return 2
    for name, content in made.items():
        folder = told.out / name
        folder.mkdir(parents=True, exist_ok=True)
        for beside in BESIDE:
            shutil.copyfile(told.site.with_name(beside), folder / beside)
        (folder / f"{name}.toml").write_bytes(tomli_w.dumps(content).encode())
        print(folder / f"{name}.toml")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
