# Five stewards share 65 tasks, each with one holder. Their network is partitioned two to three and in one direction only,
# and loses and repeats messages; one steward is suspended for longer than any lease and resumed, two are killed, one is
# restarted before others notice, then all at once; a sixth joins and one leaves permanently. Every act is recorded, with the
# responses of the peers.
name = "leases"
seconds = 38
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

traffic {
  per_s = 60
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

task "sweep" {
  work_most_ms = 100
  idle_ms = 2000
  beat_ms = 50
}

task_group "ledger" {
  count = 64
  work_most_ms = 100
  beat_ms = 100
}

tasks {
  lease_ms = 900
}

budgets {
  stewards_most = 6
  voters = [0, 1, 2, 3, 4]
  office_ms = 700
}

fault "peer_cut" {
  at_s = 8
  for_s = 5
  on = [0, 1]
}

fault "steward_stop" {
  at_s = 9
  for_s = 7
  on = [2]
}

fault "peer_cut" {
  at_s = 18
  for_s = 4
  on = [0]
  how = "one-way"
}

fault "steward_kill" {
  at_s = 20
  for_s = 5
  on = [0]
}

fault "steward_kill" {
  at_s = 20.2
  for_s = 6
  on = [3]
}

fault "peer_repeat" {
  at_s = 24
  for_s = 6
  size = 0.4
  extra = 150
  part = 1
}

fault "steward_restart" {
  at_s = 27
  on = [4]
}

fault "steward_grow" {
  at_s = 29
  for_s = 0
  on = [5]
}

fault "peer_loss" {
  at_s = 30
  for_s = 5
  size = 0.3
  part = 1
}

fault "steward_shrink" {
  at_s = 31
  for_s = 0
  on = [1]
}

fault "steward_restart" {
  at_s = 33
  on = [0, 2, 3, 4, 5]
}
