# Load reports in trouble, small: see examples/load-reports.hcl for the day and tests/test_lab.py for what must hold.
# A host reports in one way at a time, as the fault that began last has it: so no other fault names host 3, the hour-old
# sender, or host 4, the liar. Nor does the flood speak for host 3: whatever the steward has of it is an hour old.
name = "reports"
seconds = 11
zones = ["a", "b"]

fleet {
  hosts = 8
  forwarders = 3
  slices = 32
}

host "std" {
  cores = 4
}

operation "quote" {
  repeat = "idempotent"
  latency_objective_ms = 1200
  integration_timeout_ms = 3000
  billed_value = 3
  share = 0.6
  work_ms = 150
}

operation "claim" {
  repeat = "side-effecting"
  latency_objective_ms = 1500
  integration_timeout_ms = 4000
  billed_value = 2
  writes = true
  share = 0.4
  work_ms = 150
}

traffic {
  per_s = 60
}

reports {
  every_ms = 400
}

load_reports {
  processes = 10
  every_ms = 250
  signed = true
  half_life_ms = 700
  expiry_ms = 2500
  window_ms = 500
  reports_per_s = 1000
  sender_rate = 10
  processes_most = 12
}

fault "slow" {
  at_s = 0.5
  for_s = 5
  on = [2]
  size = 4
}

fault "report_stale" {
  at_s = 1
  for_s = 9
  on = [3]
  size = 3600
  extra = 9.0
  until = ["counted", "doubtful"]
}

fault "report_lying" {
  at_s = 1
  for_s = 9
  on = [4]
  how = "idle"
}

fault "report_skew" {
  at_s = 1
  for_s = 8
  on = [0, 1, 2, 5, 6, 7]
  size = 300
}

fault "grow" {
  at_s = 2
  for_s = 1
  size = 1.25
}

fault "report_flood" {
  at_s = 2
  for_s = 5
  on = [0, 1, 2, 4, 5, 6, 7, 8, 9]
  size = 20
  until = ["forged", "unknown"]
}

fault "steward_kill" {
  at_s = 3.5
  for_s = 0.3
}

fault "report_silent" {
  at_s = 6
  for_s = 3
  on = [0, 5, 8]
}

fault "report_loss" {
  at_s = 8
  for_s = 3
  on = [0, 1, 2, 5, 6, 7, 8, 9]
  size = 0.3
}
