"""Configuration: what is wrong is named by file, line and key; what is right reaches the module."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest
from typer.testing import CliRunner

from corallanding import interface as api
from corallanding.cli.main import app
from corallanding.config import ConfigError, assigner_settings, load_controller

GOOD = """\
zones = ["a", "b"]
steward {
  listen = "127.0.0.1:7000"
  zone = "b"
}
store {
  path = "tables.db"
}
roster {
  address = "[::1]:7001"
  mode = "on_request"
}
slices {
  count = 12
}
operation "quote" {
  repeat = "idempotent"
  latency_objective_ms = 1200
  integration_timeout_ms = 3000
}
"""


def fault(tmp_path: Path, old: str, new: str) -> str:
    path = tmp_path / "s.hcl"
    path.write_text(GOOD.replace(old, new))
    with pytest.raises(ConfigError) as caught:
        load_controller(path)
    return str(caught.value).replace(f"{path}", "s.hcl")


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ("127.0.0.1:7000", "10.0.0.1:7000", "s.hcl:3: steward.listen: 10.0.0.1 is not a loopback address"),
        ("127.0.0.1:7000", "localhost", "s.hcl:3: steward.listen: 'localhost' is no ADDRESS:PORT"),
        ('zone = "b"', 'zone = "c"', "s.hcl:4: steward.zone: steward.zone 'c' is not one of zones"),
        ("count = 12", "cuont = 12", "s.hcl:14: slices.cuont: unknown key; did you mean count?"),
        ("count = 12", "count = -1", "s.hcl:14: slices.count: input should be greater than or equal to 0 (found -1)"),
        ('  path = "tables.db"\n', "", "s.hcl:6: store.path: is missing"),
        ("= 1200", '= "soon"', "s.hcl:18: operation.quote.latency_objective_ms: input should be a valid number"),
        ("= 1200", "= 9000", "s.hcl:16: operation.quote: latency_objective_ms is above integration_timeout_ms"),
        ("idempotent", "twice", "s.hcl:17: operation.quote.repeat: input should be 'idempotent', 'fingerprinted' or"),
        ("on_request", "asked", "s.hcl:11: roster.mode: input should be 'pushed' or 'on_request' (found 'asked')"),
        ("slices {", "slices {\n  count = 1\n}\nslices {", "s.hcl:16: slices: this block may stand once"),
        ('operation "quote" {', "operation {", 's.hcl:16: operation: a label is expected, as in operation "NAME" {'),
        ("steward {", "steward = {{", "s.hcl:5: not HCL"),
        ("slices {", "channel {\n  queue_most_lines = 3\n}\nslices {", "channel.queue_most_lines holds no message"),
    ],
)
def test_errors_name_file_line_and_key(tmp_path: Path, old: str, new: str, said: str) -> None:
    assert said in fault(tmp_path, old, new)


def test_all_errors_of_a_file_come_at_once(tmp_path: Path) -> None:
    text = fault(tmp_path, 'path = "tables.db"', 'pth = "x"\n  sync = "never"')
    assert [line.split(": ")[1] for line in text.splitlines()] == ["store.path", "store.pth", "store.sync"]


def test_every_setting_of_the_module_has_a_key(tmp_path: Path) -> None:
    """A configuration with no default left gives settings with no default left."""
    path = tmp_path / "s.hcl"
    path.write_text(
        GOOD.replace(
            "count = 12", "count = 12\n  sole_owner = true\n  lease_ms = 5\n  in_flight_most_ms = 6\n  warm_keys = true"
        )
        .replace('zone = "b"', 'zone = "b"\n  number = 2\n  stewards = 3\n  turn_ms = 4')
        .replace('"on_request"', '"on_request"\n  ask_within_ms = 77\n  weights = "live"')
        + """
rules {
  bare_most_ms = 1
  drain_grace_ms = 2
  drain_binds_alone = true
  cold_ms = 3
  cold_from = 0.5
  fall_ms = 4
  fall_multiple = 5
}
channel {
  rate_lines_per_s = 6
  head_lines = 7
  queue_most_lines = 900
  messages_most = 9
  messages_span_ms = 10
  transit_ms = 11
  transit_most_ms = 12
}
reports {
  every_ms = 13
  lines_per_s = 14
  load_in_probe = ["rif"]
}
forwarders {
  count = 15
  pick = "rotate"
  admission = "per_second"
  usual_retry = 1
  try_aims = 2.5
  ejects = 4
}
probe {
  allowed = true
}
prices {
  probe = 0.1
  message = 0.2
  move = 0.3
}
"""
    )
    got, usual = assigner_settings(load_controller(path)), api.Settings(())
    same = [f.name for f in dataclasses.fields(got) if getattr(got, f.name) == getattr(usual, f.name)]
    assert same == []


def test_check_and_replay_tell_by_exit_code(tmp_path: Path) -> None:
    path, run = tmp_path / "s.hcl", CliRunner()
    path.write_text(GOOD)
    assert run.invoke(app, ["check", str(path)]).exit_code == 0
    path.write_text(GOOD.replace("count", "cont"))
    assert run.invoke(app, ["check", str(path)]).exit_code == 2
    assert run.invoke(app, ["check", str(tmp_path / "none")]).exit_code == 2
    assert run.invoke(app, ["replay", str(path)]).exit_code == 2
