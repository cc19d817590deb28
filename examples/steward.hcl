# The blocks that a steward requires, and those that most sites set.
zones = ["north", "south"]

steward {
  listen = "127.0.0.1:7100"
  zone = "north"
}

store {
  path = "steward.db"
}

roster {
  address = "127.0.0.1:7200"
  mode = "pushed"
}

slices {
  count = 144
}

operation "quote" {
  repeat = "idempotent"
  latency_objective_ms = 1200
  integration_timeout_ms = 3000
  billed_value = 3
  late_value = 0.1
}

operation "claim" {
  repeat = "side-effecting"
  latency_objective_ms = 1500
  integration_timeout_ms = 5000
  billed_value = 2
  late_value = 0.2
  writes = true
}

forwarders {
  count = 12
}

door {
  listen = "127.0.0.1:7101"
}
