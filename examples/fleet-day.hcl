# Version pinning, scheduling and shared tasks together: a rolling deploy replaces three quarters of the hosts while five
# stewards keep runs at their versions and release waiting jobs in one order, a third of them belonging to runs. The release is
# rolled back and forward; stewards are partitioned, suspended, killed, restarted, joined by a sixth, and at last all restarted at once.
name = "fleet-day"
seconds = 44
zones = ["north", "south"]
stewards = 5
lease_ms = 2000

fleet {
  hosts = 12
  forwarders = 4
  slices = 60
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
  no_host = "wait"
  no_host_wait_ms = 2500
  share = 0.36
  work_ms = 200
}

operation "rank" {
  repeat = "side-effecting"
  latency_objective_ms = 1500
  integration_timeout_ms = 5000
  billed_value = 1
  late_value = 0.5
  writes = true
  share = 0.01
  work_ms = 40
  no_host = "wait"
  no_host_wait_ms = 2500
  waits {
    priority = 0
    patience_ms = 2000
    most_ms = 40000
  }
}

operation "booking" {
  repeat = "fingerprinted"
  latency_objective_ms = 1500
  integration_timeout_ms = 5000
  billed_value = 1
  late_value = 0.5
  share = 0.01
  work_ms = 40
  no_host = "wait"
  no_host_wait_ms = 2500
  waits {
    priority = 1
    patience_ms = 3000
    most_ms = 40000
  }
}

traffic {
  per_s = 15
}

roster {
  notice_ms = 200
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

task "release" {
  work_most_ms = 100
}

task_group "jobs" {
  count = 8
  work_most_ms = 100
}

task_group "runs" {
  count = 16
  work_most_ms = 100
  beat_ms = 100
}

tasks {
  lease_ms = 900
}

budget "releases" {
  whole = 30
  per = "fleet"
  unit = "per_s"
  floor = 1
}

budgets {
  lease_ms = 900
  stewards_most = 6
  voters = [0, 1, 2, 3, 4]
  office_ms = 700
}

release "winter" {
  number = 1
  versions = { quote = 1, claim = 1, rank = 1, booking = 1 }
}

release "spring" {
  number = 2
  versions = { quote = 2, claim = 2, rank = 2, booking = 2 }
}

release "summer" {
  number = 3
  versions = { quote = 3, claim = 2, rank = 3, booking = 3 }
  carries = [2]
}

records {
  path = "set by the lab"
  answer_within_ms = 900
}

pins {
  current = 1
  run_most_ms = 12000
  settle_ms = 200
}

runs {
  per_s = 8
  steps = ["quote", "quote", "claim"]
  gap_ms = 1200
  twice = 0.3
}

waiting {
  tell_ms = 100
  stale_ms = 700
  slack_ms = 300
  hold_ms = 2000
}

jobs {
  per_s = 12
  again = 0.25
  again_ms = 1500
  runs = 0.3
  drain_s = 10
}

fault "release" {
  at_s = 3
  size = 2
  how = "hosts"
}

fault "deploy" {
  at_s = 4
  for_s = 16
  part = 0.75
  size = 0.25
  extra = 2
}

fault "release" {
  at_s = 6
  size = 2
  how = "current"
}

fault "steward_stop" {
  at_s = 7
  for_s = 4
  on = [2]
}

fault "peer_cut" {
  at_s = 8
  for_s = 4
  on = [0, 1]
}

fault "counter_down" {
  at_s = 13
  for_s = 2
  part = 0.5
}

fault "steward_kill" {
  at_s = 14
  for_s = 3
  on = [4]
}

fault "peer_cut" {
  at_s = 18
  for_s = 3
  on = [1]
  how = "one-way"
}

fault "release" {
  at_s = 20
  size = 1
  how = "current"
}

fault "steward_restart" {
  at_s = 22
  on = [3]
}

fault "release" {
  at_s = 24
  size = 2
  how = "current"
}

fault "peer_loss" {
  at_s = 26
  for_s = 4
  size = 0.3
  part = 1
}

fault "steward_grow" {
  at_s = 27
  for_s = 0
  on = [5]
}

fault "steward_restart" {
  at_s = 32
  on = [0, 1, 2, 3, 4, 5]
}
