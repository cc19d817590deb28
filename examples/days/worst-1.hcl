# Found by lab search on quiet.hcl among all kinds of fault, and reduced to the faults that matter.
name = "worst-1"
seconds = 20.0
zones = ["north", "south", "east"]
time_scale = 0.4
publisher = "corallanding"
stewards = 1
lease_ms = 2000.0

fleet {
  hosts = 15
  forwarders = 8
  slices = 90
  slice_cv = 0.6
  stream_cv = 0.8
  transit_ms = 60.0
  sums_late_ms = 150.0
}

traffic {
  per_s = 120.0
  retries = 2
  try_share = 0.7
  backoff_ms = 150.0
}

roster {
  mode = "pushed"
  notice_ms = 800.0
  add_ms = 300.0
}

rules {
  bare_most_ms = 3000.0
  drain_grace_ms = 2000.0
  drain_binds_alone = false
  cold_ms = 4000.0
  cold_from = 0.25
  fall_ms = 1500.0
  fall_multiple = 4.0
}

channel {
  rate_lines_per_s = 4000.0
  head_lines = 8.0
  queue_most_lines = 6000.0
  messages_most = 24
  messages_span_ms = 10000.0
  transit_ms = 20.0
  transit_most_ms = 200.0
}

reports {
  every_ms = 1000.0
  lines_per_s = 400.0
  load_in_probe = []
  keys_most = 100000
}

forwarders {
  count = 1
  most = 4096
  pick = "p2c"
  admission = "fraction"
  usual_retry = 0
  try_aims = 1.0
  ejects = 0
  beat_ms = 500.0
  silence_ms = 2500.0
  hello_within_ms = 2000.0
  frame_most_bytes = 1048576
  frames_per_s = 200.0
  buffer_most_bytes = 4194304
  bytes_per_s = 4000000.0
  ack_within_ms = 15000.0
  reads_per_s = 200.0
  again_ms = 500.0
  again_most_ms = 15000.0
  accepts_per_s = 1000.0
  strangers_most = 256
}

probe {
  allowed = true
  path = "/health"
  timeout_ms = 250.0
  most_in_flight = 16
  most_waiting = 1000
}

host "std-4c" {
  share = 1.0
  cores = 4
  speed = 1.0
  waiting_room = 64
  warm_gain = 0.0
}

operation "quote" {
  repeat = "idempotent"
  latency_objective_ms = 1200.0
  integration_timeout_ms = 3000.0
  billed_value = 3.0
  late_value = 0.1
  group = "all"
  window_ms = 5000.0
  writes = false
  zone_bound = false
  share = 0.64
  work_ms = 230.0
  cv = 0.5
}

operation "claim" {
  repeat = "side-effecting"
  latency_objective_ms = 1500.0
  integration_timeout_ms = 5000.0
  billed_value = 2.0
  late_value = 0.2
  group = "all"
  window_ms = 5000.0
  writes = true
  zone_bound = false
  share = 0.36
  work_ms = 230.0
  cv = 0.5
}

fault "heavy_tail" {
  at_s = 2.3
  for_s = 5.85
  part = 0.2
  size = 6.577
  extra = 0.033
  how = ""
  on = []
}

fault "slow" {
  at_s = 2.8
  for_s = 9.43
  part = 0.06
  size = 3.013
  extra = 1.0
  how = ""
  on = []
}

fault "zone_loss" {
  at_s = 3.4
  for_s = 8.72
  part = 0.2
  size = 0.05
  extra = 1.0
  how = ""
  on = []
}
