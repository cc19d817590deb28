# Ten upgrades of the steward in a row under 790 invocations a second, while hosts drain, crash and are deployed.
name = "upgrades"
seconds = 40
zones = ["north", "south", "east", "west"]
time_scale = 0.4

fleet {
  hosts = 24
  forwarders = 12
  slices = 144
  slice_cv = 0.6
  stream_cv = 0.8
  transit_ms = 60
  sums_late_ms = 150
}

host "std-4c" {
  cores = 4
  waiting_room = 64
  warm_gain = 0.15
}

operation "quote" {
  repeat = "idempotent"
  latency_objective_ms = 1200
  integration_timeout_ms = 3000
  billed_value = 3
  late_value = 0.1
  share = 0.64
  work_ms = 55
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
  work_ms = 55
  cv = 0.5
}

traffic {
  per_s = 790
  retries = 2
  try_share = 0.7
  backoff_ms = 150
}

roster {
  mode = "pushed"
  notice_ms = 300
  add_ms = 300
}

rules {
  bare_most_ms = 3000
  drain_grace_ms = 2000
  cold_ms = 7000
  cold_from = 0.25
  fall_ms = 1500
  fall_multiple = 4
}

channel {
  rate_lines_per_s = 10000
  head_lines = 8
  queue_most_lines = 6000
  messages_most = 24
  messages_span_ms = 10000
  transit_ms = 60
  transit_most_ms = 300
}

reports {
  every_ms = 500
  lines_per_s = 500
}

# Ten handovers, one every 3.5 seconds.
fault "upgrade" {
  at_s = 3
  for_s = 35
  size = 10
}

# A rolling deploy of a third of the fleet during most of them.
fault "deploy" {
  at_s = 5
  for_s = 28
  part = 0.33
  size = 0.25
  extra = 3
}

fault "drain" {
  at_s = 12
  for_s = 6
  part = 0.12
}

# Two hosts crash at once and return cold.
fault "crash" {
  at_s = 20
  for_s = 5
  part = 0.08
}

# The forwarders repeatedly pause for half a second, by a slot change of their own.
fault "balancer_stall" {
  at_s = 27
  for_s = 6
  part = 0.25
  size = 0.5
  extra = 1
}
