"""The assigner's settings: each has a key in the configuration."""

from __future__ import annotations

import dataclasses
from pathlib import Path

from corallanding import interface as api
from corallanding.config import assigner_settings, load_controller
from tests.config.support import GOOD


def test_assigner_settings_when_every_key_is_set_then_none_keeps_its_default(tmp_path: Path) -> None:
    """Guards against a setting that no key sets: it would keep its default although every key has another value."""
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
    loaded = assigner_settings(load_controller(path))
    default = api.Settings(())
    names = [field.name for field in dataclasses.fields(loaded)]
    assert [name for name in names if getattr(loaded, name) == getattr(default, name)] == []
