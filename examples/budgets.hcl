# Five stewards share budgets through a release with cold hosts. Their network is partitioned two to three and in one
# direction only, and loses and repeats messages; one steward is suspended for longer than any lease and resumed,
# two are killed, one is restarted before others notice, a sixth joins and one leaves permanently.
name = "budgets"
seconds = 40
zones = ["north", "south"]
stewards = 5
lease_ms = 2000

fleet {
  hosts = 20
  forwarders = 8
  slices = 120
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
  per_s = 150
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

budget "probes" {
  whole = 2
  per = "host"
  unit = "per_s"
}

budget "cold_slices" {
  whole = 9
  floor = 1 # a new allocator grants none for a span: if that is long, a steward has only its floor until then
  per = "host"
  unit = "count"
}

budget "moves" {
  whole = 12
  floor = 1
  per = "fleet"
  unit = "per_s"
}

budget "emptied" {
  whole = 8
  floor = 1
  per = "fleet"
  unit = "count"
  span_ms = 2000
}

budgets {
  stewards_most = 6
  voters = [0, 1, 2, 3, 4]
  lease_ms = 800
  office_ms = 800
}

fault "deploy" {
  at_s = 2
  for_s = 24
  part = 0.6
  size = 0.25
  extra = 3
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

fault "hang" {
  at_s = 12
  for_s = 6
  part = 0.2
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
  at_s = 33
  for_s = 0
  on = [1]
}
