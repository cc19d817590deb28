# Two hosts are four times slower for a while, which the list does not show.
name = "slow-host"
seconds = 20
zones = ["north", "south", "east"]
time_scale = 0.4

fleet {
  hosts = 15
  forwarders = 8
  slices = 90
  slice_cv = 0.6
  stream_cv = 0.8
  transit_ms = 60
  sums_late_ms = 150
}

host "std-4c" {
  cores = 4
  waiting_room = 64
}

operation "quote" {
  repeat = "idempotent"
  latency_objective_ms = 1200
  integration_timeout_ms = 3000
  billed_value = 3
  late_value = 0.1
  share = 0.64
  work_ms = 230
  cv = 0.5
}

operation "claim" {
  repeat = "side-effecting"
  latency_objective_ms = 1500
  integration_timeout_ms = 5000
  billed_value = 2
  late_value = 0.2
  writes = true
  share = 0.36
  work_ms = 230
  cv = 0.5
}

traffic {
  per_s = 120
  retries = 2
  try_share = 0.7
  backoff_ms = 150
}

roster {
  mode = "pushed"
  notice_ms = 800
  add_ms = 300
}

rules {
  bare_most_ms = 3000
  drain_grace_ms = 2000
  cold_ms = 4000
  cold_from = 0.25
  fall_ms = 1500
  fall_multiple = 4
}

channel {
  rate_lines_per_s = 4000
  queue_most_lines = 6000
  messages_most = 24
}

reports {
  every_ms = 1000
}

probe {
  allowed = true
}

fault "slow" {
  at_s = 5
  for_s = 9
  part = 0.13
  size = 4
}
