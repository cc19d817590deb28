# Five stewards; runs of two quotes and a claim keep the set of versions with which they began, through a rolling deploy, a
# release that is rolled back and forward, hosts upgraded in place under their address, partitions between the stewards in both
# directions and in one, one steward suspended for longer than any lease and resumed, two killed, one restarted at once, then
# all at once.
name = "pinned-runs"
seconds = 40
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

traffic {
  per_s = 20
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

task_group "runs" {
  count = 16
  work_most_ms = 100
}

tasks {
  lease_ms = 900
}

budgets {
  stewards_most = 6
  voters = [0, 1, 2, 3, 4]
  office_ms = 700
}

release "winter" {
  number = 1
  versions = { quote = 1, claim = 1 }
}

release "spring" {
  number = 2
  versions = { quote = 2, claim = 2 }
}

release "summer" {
  number = 3
  versions = { quote = 3, claim = 2 }
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
  per_s = 12
  steps = ["quote", "quote", "claim"]
  gap_ms = 1200
  twice = 0.3
}

fault "release" {
  at_s = 3
  size = 2
  how = "hosts"
}

fault "deploy" {
  at_s = 4
  for_s = 10
  part = 0.5
  size = 0.34
  extra = 2
}

fault "release" {
  at_s = 6
  size = 2
  how = "current"
}

fault "peer_cut" {
  at_s = 8
  for_s = 4
  on = [0, 1]
}

fault "steward_stop" {
  at_s = 9
  for_s = 5
  on = [2]
}

fault "release" {
  at_s = 14
  size = 1
  how = "current"
}

fault "peer_cut" {
  at_s = 15
  for_s = 3
  on = [0]
  how = "one-way"
}

fault "release" {
  at_s = 18
  size = 2
  how = "current"
}

fault "steward_kill" {
  at_s = 19
  for_s = 4
  on = [0]
}

fault "steward_kill" {
  at_s = 19.2
  for_s = 5
  on = [3]
}

fault "upgrade_hosts" {
  at_s = 20
  for_s = 6
  size = 3
  on = [0, 2, 4]
  extra = 1
}

fault "release" {
  at_s = 24
  size = 3
  how = "current"
}

fault "peer_repeat" {
  at_s = 25
  for_s = 4
  size = 0.4
  extra = 150
  part = 1
}

fault "steward_restart" {
  at_s = 27
  on = [4]
}

fault "peer_loss" {
  at_s = 29
  for_s = 4
  size = 0.3
  part = 1
}

fault "steward_restart" {
  at_s = 33
  on = [0, 1, 2, 3, 4]
}
