"""Configuration files: errors name file, line and key, and all errors of a file are reported at once."""

from __future__ import annotations

from pathlib import Path

import pytest

from corallanding.config import ConfigError, load_controller
from tests.config.support import GOOD


def error_text(tmp_path: Path, old: str, new: str) -> str:
    """Return the error of the valid configuration with `old` replaced by `new`."""
    path = tmp_path / "s.hcl"
    path.write_text(GOOD.replace(old, new))
    with pytest.raises(ConfigError) as caught:
        load_controller(path)
    return str(caught.value).replace(f"{path}", "s.hcl")


@pytest.mark.parametrize(
    ("old", "new", "expected"),
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
        ("slices {", "slices {\n  count = 1\n}\nslices {", "s.hcl:16: slices: only one block of this name is allowed"),
        ('operation "quote" {', "operation {", 's.hcl:16: operation: a label is expected, as in operation "NAME" {'),
        ("steward {", "steward = {{", "s.hcl:5: not HCL"),
        (
            "slices {",
            "channel {\n  queue_most_lines = 3\n}\nslices {",
            "channel.queue_most_lines is too low for one message",
        ),
    ],
)
def test_load_when_a_key_is_wrong_then_the_error_names_file_line_and_key(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    assert expected in error_text(tmp_path, old, new)


def test_load_when_several_keys_are_wrong_then_all_errors_are_reported_at_once(tmp_path: Path) -> None:
    text = error_text(tmp_path, 'path = "tables.db"', 'pth = "x"\n  sync = "never"')
    assert [line.split(": ")[1] for line in text.splitlines()] == ["store.path", "store.pth", "store.sync"]
