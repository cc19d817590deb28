# The hard cases of a restart and a reassignment in twenty seconds: see tests/test_lab.py.
name = "hard"
seconds = 20
zones = ["a", "b"]

fleet {
  hosts = 8
  forwarders = 5
  slices = 32
  transit_ms = 40
}

host "std" {
  cores = 4
}

operation "quote" {
  repeat = "idempotent"
  latency_objective_ms = 1500
  integration_timeout_ms = 4000
  billed_value = 3
  share = 0.4
  work_ms = 200
}

operation "claim" {
  repeat = "side-effecting"
  latency_objective_ms = 2000
  integration_timeout_ms = 6000
  billed_value = 2
  writes = true
  share = 0.6
  work_ms = 300
}

traffic {
  per_s = 50
}

roster {
  mode = "on_request"
  notice_ms = 150
  add_ms = 100
}

rules {
  bare_most_ms = 3000
  drain_grace_ms = 2500
  cold_ms = 4000
  fall_ms = 1500
}

reports {
  every_ms = 500
}

forwarders {
  silence_ms = 1200
  beat_ms = 200
}

# Hosts drain with claims in flight; their slices move.
fault "deploy" {
  at_s = 1
  for_s = 8
  part = 0.75
  size = 0.34
  extra = 2.5
}

# Two forwarders stand still through a reassignment, longer than the steward waits for a beat.
fault "balancer_stall" {
  at_s = 1.1
  for_s = 1.5
  on = [1, 3]
  size = 1600
  extra = 5
}

# kill -9 while some forwarders have a message that others lack.
fault "steward_kill" {
  at_s = 4
  for_s = 0.3
  how = "mid-move"
}

# Then a roster that cannot be reached, and a store that cannot be written.
fault "roster_down" {
  at_s = 10
  for_s = 1
}

fault "store_down" {
  at_s = 13
  for_s = 3.5
}

# Hosts that drain meanwhile: their slices' tables are what the store does not take.
fault "drain" {
  at_s = 13.2
  for_s = 1
  part = 0.25
}
