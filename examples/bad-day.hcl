# The bad day: nearly every fault that can occur with a release, in 50 seconds instead of an hour.
# Cold starts, list delays, report periods and the limits of the rules are those of the real yards times time_scale.
name = "bad-day"
seconds = 50
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
  per_s = 200
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

# A few keys receive a quarter of all traffic.
fault "hot_key" {
  at_s = 4
  for_s = 9
  size = 0.15
  extra = 2
}

# A rolling deploy of half of the fleet, three hosts at a time; successors start cold.
fault "deploy" {
  at_s = 6
  for_s = 30
  part = 0.5
  size = 0.25
  extra = 3
}

# One host accepts requests and answers none, while its health checks pass.
fault "hang" {
  at_s = 9
  for_s = 14
  part = 0.04
}

# A third of the forwarders cannot reach the steward while two hosts drain.
fault "counter_down" {
  at_s = 14
  for_s = 7
  part = 0.34
}

fault "drain" {
  at_s = 15
  for_s = 4
  part = 0.08
}

# kill -9 of the steward in the middle of a move; it is restarted two seconds later.
fault "steward_kill" {
  at_s = 20
  for_s = 2
  how = "mid-move"
}

# A fifth of the hosts crash at once and return cold.
fault "crash" {
  at_s = 28
  for_s = 5
  part = 0.2
}

# The list marks running hosts as gone.
fault "wrong_list" {
  at_s = 40
  for_s = 4
  part = 0.2
  how = "shrink"
}
