# Faults of load reports: a flood at ten times the normal volume during a surge, one sender with figures an hour
# old, a third silent, clocks off by minutes, a third of the reports lost, a sender of false figures, and kill -9 during the flood.
name = "load-reports"
seconds = 40
zones = ["north", "south"]
time_scale = 0.4

fleet {
  hosts = 20
  forwarders = 8
  slices = 120
  transit_ms = 40
  sums_late_ms = 100
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
  work_ms = 230
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
}

traffic {
  per_s = 150
}

rules {
  bare_most_ms = 3000
  drain_grace_ms = 2000
  cold_ms = 6000
  cold_from = 0.25
  fall_ms = 1500
}

channel {
  queue_most_lines = 6000
  messages_most = 24
}

reports {
  every_ms = 500
}

load_reports {
  processes = 20
  every_ms = 500
  signed = true
  half_life_ms = 1500
  expiry_ms = 6000
  window_ms = 2000
  reports_per_s = 2000
  processes_most = 32
}

# Hosts that are slow, which the list does not show.
fault "slow" {
  at_s = 2
  for_s = 12
  part = 0.1
  size = 3
}

# Their figures are an hour old and show twice the load of any other host.
fault "report_stale" {
  at_s = 4
  for_s = 30
  on = [3]
  size = 3600
  extra = 2.0
}

fault "report_lying" {
  at_s = 4
  for_s = 30
  on = [5]
  how = "idle"
}

fault "report_skew" {
  at_s = 6
  for_s = 10
  part = 1
  size = 300
}

fault "grow" {
  at_s = 12
  for_s = 1
  size = 1.25
}

fault "report_flood" {
  at_s = 14
  for_s = 16
  part = 1
  size = 10
}

fault "steward_kill" {
  at_s = 20
  for_s = 1
}

fault "report_silent" {
  at_s = 23
  for_s = 8
  part = 0.33
}

fault "report_loss" {
  at_s = 31
  for_s = 8
  part = 1
  size = 0.3
}
