"""KNOWN-RED.txt lets just what it names fail, by pytest itself on a small tree."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import known_red
import pytest

TESTS = """
import pytest

def test_good(): pass

def test_bad(): assert 1 == 2

@pytest.mark.parametrize("n", [1, 2])
def test_each(n): assert n == 1
"""
BAD, EACH = "tests/test_x.py::test_bad", "tests/test_x.py::test_each[2]"
LISTED = f"{BAD} | adds wrongly | issue 34\n{EACH} | two is not one | issue 35\n"


def play(tmp_path: Path, listed: str | None, *more: str) -> tuple[int, str]:
    (tmp_path / "tests").mkdir()
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (tmp_path / "tests/test_x.py").write_text(TESTS)
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    at = str(Path(known_red.__file__).parent)
    done = subprocess.run(
        [
            sys.executable,
            "-c",
            f"import sys, pytest; sys.path.insert(0, {at!r}); sys.exit(pytest.main())",
            "-p",
            "known_red",
            "-q",
            "-p",
            "no:cacheprovider",
            *more,
        ],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize("more", [(), ("-n", "2")])
def test_only_what_is_listed_may_fail_and_each_is_printed_with_its_cause(tmp_path: Path, more: tuple[str, ...]) -> None:
    code, said = play(tmp_path, LISTED, *more)
    assert code == 0 and "2 passed, 2 xfailed" in said, said
    assert f"{BAD}: adds wrongly (issue 34)" in said
    assert f"{EACH}: two is not one (issue 35)" in said


@pytest.mark.parametrize(("listed", "failed"), [(None, "2 failed"), (f"{BAD} | adds wrongly | issue 34\n", "1 failed")])
def test_what_is_not_listed_fails_the_run(tmp_path: Path, listed: str | None, failed: str) -> None:
    code, said = play(tmp_path, listed)
    assert code == 1 and failed in said, said


@pytest.mark.parametrize(
    ("line", "why", "more"),
    [
        ("tests/test_x.py::test_good | slow | issue 34", "XPASS(strict)", ("-n", "2")),
        ("tests/test_x.py::test_each[1] | slow | issue 34", "XPASS(strict)", ()),
        ("tests/test_x.py::test_each[3] | slow | issue 34", "there is no test", ("-n", "2")),
        ("tests/test_x.py::test_gone | slow | issue 34", "there is no test", ("-n", "2")),
        ("tests/test_x.py::test_good | slow | soon", "is expected", ()),
    ],
)
def test_a_line_that_should_not_be_there_fails_the_run(
    tmp_path: Path, line: str, why: str, more: tuple[str, ...]
) -> None:
    code, said = play(tmp_path, LISTED + line + "\n", *more)
    assert code != 0 and why in said, said


@pytest.mark.parametrize(
    ("line", "why"),
    [
        (f"{BAD} | again | issue 34", "listed twice"),
        (f"{BAD}[1]: no form", "is expected"),
        ("| |", "is expected"),
        ("tests/test_x.py::a |  | issue 3", "is expected"),
        ("tests/test_x.py | all of it | issue 3", "is expected"),
        ("tests/test_x.py::a | b | issue 3\ntests/test_x.py::b | b | issue 3", "4 lines, 3 at most"),
    ],
)
def test_a_list_that_cannot_be_used_says_why(line: str, why: str) -> None:
    with pytest.raises(known_red.BadList, match=why):
        known_red.parse(LISTED + line)


def test_a_listed_test_outside_this_part_of_the_run_is_not_missed(tmp_path: Path) -> None:
    code, said = play(tmp_path, LISTED, "-k", "good")
    assert code == 0 and "1 passed" in said, said


def test_a_test_of_no_file_is_unknown(tmp_path: Path) -> None:
    with pytest.raises(known_red.BadList, match="there is no test"):
        known_red.check_exists(known_red.Red("tests/test_y.py::test_bad", "gone", "issue 34"), tmp_path)
