# Four hosts, all slow for a while, one replaced: enough for each wrong publisher to break its rule.
name = "sabotage"
seconds = 7
zones = ["a", "b"]

fleet {
  hosts = 4
  forwarders = 3
  slices = 16
}

host "std" {
  cores = 4
}

operation "quote" {
  repeat = "idempotent"
  latency_objective_ms = 400
  integration_timeout_ms = 1000
  billed_value = 3
  share = 0.5
  work_ms = 60
}

operation "claim" {
  repeat = "side-effecting"
  latency_objective_ms = 300
  integration_timeout_ms = 1500
  billed_value = 2
  writes = true
  share = 0.5
  work_ms = 60
}

traffic {
  per_s = 60
}

roster {
  notice_ms = 100
  add_ms = 50
}

rules {
  bare_most_ms = 1000
  drain_grace_ms = 1000
  cold_ms = 4000
  cold_from = 0.1
  fall_ms = 500
  fall_multiple = 2
}

channel {
  queue_most_lines = 1500
  messages_most = 14
  messages_span_ms = 5000
}

reports {
  every_ms = 300
}

fault "slow" {
  at_s = 0.5
  for_s = 3
  part = 1
  size = 6
}

fault "preempt" {
  at_s = 2
  part = 0.25
  extra = 3
}
