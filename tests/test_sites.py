"""The script that creates the sites of further customers, run on a small kit."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / "deploy" / "sites" / "make.py"
SITE = """
name = "yards"
[net]
zones = ["a", "b"]
[[tier]]
name = "t"
[[tier.kind]]
cold_s = [1, 2]
[[class]]
name = "one"
share = 0.5
effect = "unsafe"
"""


def run_make(tmp_path: Path, *change_files: str) -> tuple[int, str, Path]:
    """Run the script with these change files. Return its exit code, its stderr and the output folder."""
    kit, out = tmp_path / "kit", tmp_path / "out"
    kit.mkdir()
    (kit / "yards.toml").write_text(SITE)
    for name in ("real.json", "wire.json", "unlock.txt"):
        (kit / name).write_text(name)
    paths = []
    for number, text in enumerate(change_files):
        paths.append(tmp_path / f"other-{number}.toml")
        paths[-1].write_text(text)
    result = subprocess.run(
        [sys.executable, SCRIPT, kit / "yards.toml", *paths, "--out", out], capture_output=True, text=True, timeout=60
    )
    return result.returncode, result.stderr, out


def test_make_when_the_changes_are_valid_then_each_folder_has_the_changed_site_and_its_other_files(
    tmp_path: Path,
) -> None:
    code, stderr, out = run_make(
        tmp_path,
        """
[change]
"net.zones" = ["only"]
"class.0.name" = "A/b.c-d"
"tier.0.kind.0.cold_s" = 9
[[add.class]]
like = 0
name = "two"
effect = "keyed"
new = { window_ms = 700 }
""",
        "[change]\n'class.0.share' = 3\n",
    )
    assert code == 0, stderr
    folder = out / "other-0"
    assert {p.name for p in folder.iterdir()} == {"other-0.toml", "real.json", "wire.json", "unlock.txt"}
    site = tomllib.loads((folder / "other-0.toml").read_text())
    assert site["name"] == "other-0"
    assert site["net"] == {"zones": ["only"]}
    assert site["tier"] == [{"name": "t", "kind": [{"cold_s": 9}]}]
    assert site["class"] == [
        {"name": "A/b.c-d", "share": 0.5, "effect": "unsafe"},
        {"name": "two", "share": 0.5, "effect": "keyed", "window_ms": 700},
    ]
    assert tomllib.loads((out / "other-1" / "other-1.toml").read_text())["class"][0]["share"] == 3


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[change]\n'class.0.shares' = 1", "class.0.shares"),
        ("[change]\n'class.1.share' = 1", "class.1.share"),
        ("[change]\n'klass.0.share' = 1", "klass.0.share"),
        ("[change]\n'class.x.share' = 1", "class.x.share"),
        ("[change]\n'net.zones.a.b' = 1", "net.zones.a.b"),
        ("[change]\n'class.0.share' = 0.5", "is 0.5 already"),
        ("[[add.class]]\nlike = 4", "like 4"),
        ("[[add.klass]]\nlike = 0", "klass"),
        ("[[add.class]]\nname = 'x'", "like None"),
        ("[[add.class]]\nlike = 0\nshares = 1", "class.shares"),
        ("[changes]", "changes"),
        ("[change", "other-1.toml"),
    ],
)
def test_make_when_a_change_is_invalid_then_the_error_names_it_and_nothing_is_written(
    tmp_path: Path, text: str, expected: str
) -> None:
    code, stderr, out = run_make(tmp_path, "[change]\n'class.0.share' = 3\n", text)
    assert code == 2 and expected in stderr and "other-1.toml" in stderr and stderr.count("\n") == 1, stderr
    assert not out.exists()
