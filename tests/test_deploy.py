"""What the platform asks of `build` and `run`, as far as it can be seen without the users' bench."""

from __future__ import annotations

import os
import shlex
import shutil
import signal
import stat
import subprocess
import sys
import tomllib
from pathlib import Path

import msgspec
import pytest
from platform_standins import until

from tests.platform.test_program import Day, day

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())

# Runs the steward with every call that starts a program, and every file opened for writing, written down; also what
# was imported. C code opens sockets unseen by it: libraries are looked at from outside.
WATCHED = """
import json, os, runpy, sys
seen, out = [], sys.argv[1]
def hook(event, args):
    if event.startswith(("subprocess.", "os.fork", "os.posix_spawn", "os.exec", "os.system", "pty.")):
        seen.append(event)
    elif event == "open" and isinstance(args[2], int) and args[2] & (os.O_WRONLY | os.O_RDWR | os.O_CREAT):
        seen.append(f"open {args[0]}")
sys.addaudithook(hook)
try:
    runpy.run_module("corallanding.platform", run_name="__main__")
finally:
    said = json.dumps([seen, sorted(sys.modules)])
    open(out, "w").write(said)
"""

# The standard library, the four libraries of requirements.txt, and of the project what serves the platform.
OWN = {"platform", "relay", "collector", "discovery", "resp", "health_check", "host_names", "simulator_adapter"}
OWN |= {"assignment", "interface", "connection", "json_errors", "errors"}
SHARED = {
    "corallanding.controller.event_inbox",
    "corallanding.controller.acceptor",
    "corallanding.endpoints.endpoint_list",
}


def test_run_is_one_exec_and_the_steward_alone() -> None:
    assert shlex.split(DEPLOY["run"]) == ["exec", ".venv/bin/python", "-m", "corallanding.platform"]
    assert shlex.split(DEPLOY["sim"]) == ["exec", ".venv/bin/python", "-m", "corallanding.simulator_adapter"]
    assert not DEPLOY["packages"]
    assert all((ROOT / p).exists() for p in (*DEPLOY["policy"], *DEPLOY["node"]))


def test_a_day_starts_no_program_writes_no_file_and_imports_what_it_needs(tmp_path: Path) -> None:
    said = tmp_path / "said.json"

    async def scene(d: Day) -> None:
        await until(lambda: d.relay.calls, "the first call")
        d.agent.change(d.row("s-0", "terminating"))
        await until(d.sound, "a drain")
        d.steward.signal(signal.SIGHUP)
        d.agent.change(d.row("s-1", "terminating"))
        await until(d.sound, "a drain after SIGHUP")
        pid = d.steward.process.pid
        assert not Path(f"/proc/{pid}/task/{pid}/children").read_text().split(), "a child process"
        assert "libc.so" in Path(f"/proc/{pid}/maps").read_text(), "linked dynamically against the C library"

    day(tmp_path, scene, [sys.executable, "-c", WATCHED, str(said)])
    seen, modules = msgspec.json.decode(said.read_bytes())
    assert seen == []
    third = {m.split(".")[0] for m in modules} - sys.stdlib_module_names - {"corallanding", "__mp_main__"}
    third = {m for m in third if not m.startswith("_")}
    assert third <= {"uvloop", "httptools", "hiredis", "msgspec", "cython_runtime", "typing_extensions"}, third
    mine = {m for m in modules if m.startswith("corallanding.")}
    stray = (
        {m for m in mine if m.split(".")[1] not in OWN} - SHARED - {"corallanding.controller", "corallanding.endpoints"}
    )
    assert not stray, stray
    assert not {"sqlite3", "multiprocessing", "concurrent.futures.process"} & set(modules)


def test_it_starts_from_a_tree_that_is_read_only_with_bytecode_made_by_build(tmp_path: Path) -> None:
    """As an ordinary user, where the interpreter can be reached by one; else as who runs the tests."""
    tree = tmp_path / "tree"
    shutil.copytree(ROOT / "corallanding", tree / "corallanding", ignore=shutil.ignore_patterns("__pycache__"))
    compiled = DEPLOY["build"].rpartition("&&")[2].split()
    assert compiled[1:] == ["-m", "compileall", "-q", "corallanding"], "build ends by making bytecode"
    subprocess.run([sys.executable, *compiled[1:]], cwd=tree, check=True)
    before = {p: p.stat().st_mtime_ns for p in tree.rglob("*")}
    assert any(p.suffix == ".pyc" and p.stem.startswith("service.") for p in before)
    for p in [tree, *before]:
        p.chmod(stat.S_IMODE(p.stat().st_mode) & ~0o222)
    config = tmp_path / "config.json"
    config.write_bytes(b'{"settings": {}}')
    python = Path(os.path.realpath(sys.executable))
    reached = all(p.stat().st_mode & 0o005 == 0o005 for p in [python, *python.parents, *tree.parents])
    other: dict[str, int] = {"user": 65_534, "group": 65_534} if os.getuid() == 0 and reached else {}
    done = subprocess.run(
        [sys.executable, "-m", "corallanding.platform"],
        cwd=tree,
        env={"LB_CONFIG": str(config)},
        capture_output=True,
        text=True,
        timeout=30,
        **other,
    )
    try:
        # So far it came: its modules were read, its configuration was not.
        assert done.returncode == 2 and done.stderr.startswith(f"corallanding: {config}: listen: missing"), done.stderr
        assert {p: p.stat().st_mtime_ns for p in tree.rglob("*")} == before, "nothing was written into the tree"
    finally:
        for p in [tree, *before]:
            p.chmod(stat.S_IMODE(p.stat().st_mode) | 0o700)


@pytest.mark.parametrize("line", (ROOT / "requirements.txt").read_text().splitlines())
def test_what_run_needs_is_asked_for_with_a_range(line: str) -> None:
    assert line.startswith("#") or (">=" in line and ",<" in line)
