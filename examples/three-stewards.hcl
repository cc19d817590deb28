# Three stewards share slices through the stand-in registry; one is killed, one hands its slices over when it stops, the
# registry is unavailable for a while, and hosts drain and crash at the same time.
name = "three-stewards"
seconds = 24
zones = ["north", "south"]
stewards = 3
lease_ms = 2000

fleet {
  hosts = 12
  forwarders = 6
  slices = 72
  transit_ms = 20
}

host "std-4c" {
  cores = 4
}

operation "quote" {
  repeat = "idempotent"
  latency_objective_ms = 1200
  integration_timeout_ms = 3000
  billed_value = 3
  late_value = 0.1
  share = 0.64
  work_ms = 200
}

operation "claim" {
  repeat = "side-effecting"
  latency_objective_ms = 1500
  integration_timeout_ms = 5000
  billed_value = 2
  late_value = 0.2
  writes = true
  share = 0.36
  work_ms = 200
}

traffic {
  per_s = 100
}

roster {
  notice_ms = 200
  add_ms = 100
}

rules {
  bare_most_ms = 3000
  drain_grace_ms = 2500
  cold_ms = 5000
  fall_ms = 1500
}

reports {
  every_ms = 500
}

fault "deploy" {
  at_s = 2
  for_s = 16
  part = 0.5
  size = 0.34
  extra = 3
}

fault "steward_kill" {
  at_s = 5
  for_s = 5
  on = [1]
}

fault "crash" {
  at_s = 7
  for_s = 4
  part = 0.1
}

fault "roster_down" {
  at_s = 14
  for_s = 1
}
