"""Runs the script of case 3. It is outside the default test run: `pytest review/3/test_case.py`."""

from __future__ import annotations

import subprocess
from pathlib import Path


def test_rule_holds() -> None:
    """The script exits with 0: the rule held."""
    script = Path(__file__).resolve().parent / "run.sh"
    result = subprocess.run([script], capture_output=True, text=True, timeout=130, check=False)
    assert result.returncode == 0, result.stdout + result.stderr
