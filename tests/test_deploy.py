"""The platform's requirements of `build` and `run`, as far as they can be checked without the users' bench."""

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

from tests.platform.setup import PlatformSetup
from tests.platform.test_program import run_scenario

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())

# Runs the controller and records every call that starts a program, every file opened for writing, and the imported
# modules. The audit hook does not see sockets that C code opens, so the linked libraries are checked from outside.
AUDITED_RUN = """
import json, os, runpy, sys
violations, report_path = [], sys.argv[1]
def hook(event, args):
    if event.startswith(("subprocess.", "os.fork", "os.posix_spawn", "os.exec", "os.system", "pty.")):
        violations.append(event)
    elif event == "open" and isinstance(args[2], int) and args[2] & (os.O_WRONLY | os.O_RDWR | os.O_CREAT):
        violations.append(f"open {args[0]}")
sys.addaudithook(hook)
try:
    runpy.run_module("corallanding.platform", run_name="__main__")
finally:
    report = json.dumps([violations, sorted(sys.modules)])
    open(report_path, "w").write(report)
"""

# Packages of the project that the platform controller may import, besides the standard library and the four libraries
# of requirements.txt.
ALLOWED_PACKAGES = {
    "platform",
    "relay",
    "collector",
    "discovery",
    "resp",
    "health_check",
    "host_names",
    "simulator_adapter",
}
ALLOWED_PACKAGES |= {"assignment", "interface", "connection", "json_errors", "errors"}
ALLOWED_MODULES = {
    "corallanding.controller.event_inbox",
    "corallanding.controller.acceptor",
    "corallanding.read_scheduler",
    "corallanding.rate_limit",
    "corallanding.transient_errors",
    "corallanding.endpoints.endpoint_list",
}


def test_run_command_when_read_then_it_is_one_exec_of_the_controller() -> None:
    assert shlex.split(DEPLOY["run"]) == ["exec", ".venv/bin/python", "-m", "corallanding.platform"]
    assert shlex.split(DEPLOY["sim"]) == ["exec", ".venv/bin/python", "-m", "corallanding.simulator_adapter"]
    assert not DEPLOY["packages"]
    assert all((ROOT / path).exists() for path in (*DEPLOY["policy"], *DEPLOY["node"]))


def test_controller_when_a_scenario_runs_then_it_starts_no_program_writes_no_file_and_imports_only_what_it_needs(
    tmp_path: Path,
) -> None:
    report_path = tmp_path / "report.json"

    async def scenario(setup: PlatformSetup) -> None:
        await until(lambda: setup.relay.executed_calls, "the first call")
        setup.agent.update_hosts(setup.host_entry("s-0", "terminating"))
        await until(setup.has_valid_tables, "a drain")
        setup.controller.send_signal(signal.SIGHUP)
        setup.agent.update_hosts(setup.host_entry("s-1", "terminating"))
        await until(setup.has_valid_tables, "a drain after SIGHUP")
        pid = setup.controller.process.pid
        assert not Path(f"/proc/{pid}/task/{pid}/children").read_text().split(), "a child process"
        assert "libc.so" in Path(f"/proc/{pid}/maps").read_text(), "linked dynamically against the C library"

    run_scenario(tmp_path, scenario, [sys.executable, "-c", AUDITED_RUN, str(report_path)])
    violations, modules = msgspec.json.decode(report_path.read_bytes())
    assert violations == []
    libraries = {m.split(".")[0] for m in modules} - sys.stdlib_module_names - {"corallanding", "__mp_main__"}
    libraries = {m for m in libraries if not m.startswith("_")}
    assert libraries <= {"uvloop", "httptools", "msgspec", "cython_runtime", "typing_extensions"}, libraries
    own_modules = {m for m in modules if m.startswith("corallanding.")}
    unexpected = (
        {m for m in own_modules if m.split(".")[1] not in ALLOWED_PACKAGES}
        - ALLOWED_MODULES
        - {"corallanding.controller", "corallanding.endpoints"}
    )
    assert not unexpected, unexpected
    assert not {"sqlite3", "multiprocessing", "concurrent.futures.process"} & set(modules)


def test_controller_when_its_tree_is_read_only_then_it_starts_with_the_bytecode_of_build(tmp_path: Path) -> None:
    """Runs as an ordinary user if that user can reach the interpreter, else as the user of the tests."""
    tree = tmp_path / "tree"
    shutil.copytree(ROOT / "corallanding", tree / "corallanding", ignore=shutil.ignore_patterns("__pycache__"))
    compiled = DEPLOY["build"].rpartition("&&")[2].split()
    assert compiled[1:] == ["-m", "compileall", "-q", "corallanding"], "build ends with the compilation of bytecode"
    subprocess.run([sys.executable, *compiled[1:]], cwd=tree, check=True)
    mtimes_ns = {p: p.stat().st_mtime_ns for p in tree.rglob("*")}
    assert any(p.suffix == ".pyc" and p.stem.startswith("service.") for p in mtimes_ns)
    for p in [tree, *mtimes_ns]:
        p.chmod(stat.S_IMODE(p.stat().st_mode) & ~0o222)
    config = tmp_path / "config.json"
    config.write_bytes(b'{"settings": {}}')
    python = Path(os.path.realpath(sys.executable))
    is_reachable = all(p.stat().st_mode & 0o005 == 0o005 for p in [python, *python.parents, *tree.parents])
    user: dict[str, int] = {"user": 65_534, "group": 65_534} if os.getuid() == 0 and is_reachable else {}
    result = subprocess.run(
        [sys.executable, "-m", "corallanding.platform"],
        cwd=tree,
        env={"LB_CONFIG": str(config)},
        capture_output=True,
        text=True,
        timeout=30,
        **user,
    )
    try:
        # The process imported its modules and then rejected its configuration.
        assert result.returncode == 2 and result.stderr.startswith(f"corallanding: {config}: listen: missing"), (
            result.stderr
        )
        assert {p: p.stat().st_mtime_ns for p in tree.rglob("*")} == mtimes_ns, "nothing was written into the tree"
    finally:
        for p in [tree, *mtimes_ns]:
            p.chmod(stat.S_IMODE(p.stat().st_mode) | 0o700)


@pytest.mark.parametrize("line", (ROOT / "requirements.txt").read_text().splitlines())
def test_requirement_when_read_then_it_has_a_version_range(line: str) -> None:
    assert line.startswith("#") or (">=" in line and ",<" in line)
