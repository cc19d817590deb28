# Five stewards release, in one order, the jobs that wait at forwarders: two operations of different priority and patience, more
# than the fleet's budget admits at once, some jobs submitted again through another forwarder. During that the stewards are
# partitioned two to three and in one direction, one is suspended and resumed, two are killed, one is restarted at once, then all;
# links of forwarders are lost.
name = "waiting"
seconds = 36
zones = ["north", "south"]
stewards = 5
lease_ms = 2000

fleet {
  hosts = 10
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
  waits {
    priority = 1
    patience_ms = 3000
    most_ms = 40000
  }
}

traffic {
  per_s = 25
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

task_group "jobs" {
  count = 16
  work_most_ms = 100
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
  stewards_most = 6
  voters = [0, 1, 2, 3, 4]
  office_ms = 700
  lease_ms = 900
}

records {
  path = "set by the lab"
  answer_within_ms = 900
}

waiting {
  tell_ms = 100
  stale_ms = 700
  slack_ms = 300
  hold_ms = 2000
}

jobs {
  per_s = 20
  again = 0.25
  again_ms = 1500
  drain_s = 14
}

fault "peer_cut" {
  at_s = 7
  for_s = 4
  on = [0, 1]
}

fault "steward_stop" {
  at_s = 8
  for_s = 5
  on = [2]
}

fault "peer_cut" {
  at_s = 15
  for_s = 3
  on = [0]
  how = "one-way"
}

fault "counter_down" {
  at_s = 16
  for_s = 2
  part = 0.5
}

fault "steward_kill" {
  at_s = 18
  for_s = 4
  on = [0]
}

fault "steward_kill" {
  at_s = 18.2
  for_s = 5
  on = [3]
}

fault "peer_repeat" {
  at_s = 21
  for_s = 4
  size = 0.4
  extra = 100
  part = 1
}

fault "steward_restart" {
  at_s = 25
  on = [4]
}

fault "peer_loss" {
  at_s = 27
  for_s = 4
  size = 0.3
  part = 1
}

fault "steward_restart" {
  at_s = 32
  on = [0, 1, 2, 3, 4]
}
