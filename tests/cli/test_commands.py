"""Commands that read a file: the exit code shows whether the file is valid."""

from __future__ import annotations

from pathlib import Path

from typer.testing import CliRunner

from corallanding.cli.main import app
from tests.config.support import GOOD


def test_check_and_replay_when_the_file_is_invalid_then_the_exit_code_is_2(tmp_path: Path) -> None:
    path = tmp_path / "s.hcl"
    runner = CliRunner()
    path.write_text(GOOD)
    assert runner.invoke(app, ["check", str(path)]).exit_code == 0
    path.write_text(GOOD.replace("count", "cont"))
    assert runner.invoke(app, ["check", str(path)]).exit_code == 2
    assert runner.invoke(app, ["check", str(tmp_path / "none")]).exit_code == 2
    assert runner.invoke(app, ["replay", str(path)]).exit_code == 2
