"""A valid configuration, which tests change."""

from __future__ import annotations

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
