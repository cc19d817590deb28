"""Stored names of the attributes of hosts, slices and the assigner.

Files and handovers hold the keys of these tables, in this order, so keys never change. When an attribute is renamed,
only its value here changes.
"""

from __future__ import annotations

HOST_ATTRIBUTES: dict[str, str] = {
    "id": "id",
    "listed": "is_listed",
    "since": "process_started_at_ms",
    "told": "start_learned_at_ms",
    "failed_at": "failed_at_ms",
    "good": "successes",
    "bad": "failures",
    "run": "consecutive_failures",
    "good_at": "succeeded_at_ms",
    "shown": "alive_at_ms",
    "latency": "latency_ms",
    "floor": "base_latency_ms",
    "load": "load",
    "probing": "is_being_checked",
    "echo": "health_check_latency_ms",
    "cordoned": "is_cordoned",
    "taken": "slices_taken",
    "taken_at": "taking_window_started_at_ms",
    "shed_at": "shed_at_ms",
    "goal": "shed_target_load",
    "pooled": "is_eligible",
    "sound": "is_healthy",
    "chilly": "is_warming_up",
    "space": "capacity",
    "fair": "fair_load",
    "stress": "latency_ratio",
}
SLICE_ATTRIBUTES: dict[str, str] = {
    "id": "id",
    "rate": "requests_per_second",
    "want_at": "candidate_since_ms",
    "hold_mark": "hold_version",
    "hold_end": "hold_ends_at_ms",
    "looked": "hosts_considered",
    "rates": "rate_by_class",
}
# Paths of attributes of the assigner and its components. Attributes that are not listed are derived from the settings
# and the seed, or recomputed at the start of each decision.
VALUE_PATHS: dict[str, str] = {
    "level": "admission.level",
    "level_at": "admission.changed_at_ms",
    "levels_due": "admission.is_due",
    "born": "started_at_ms",
    "now": "publication.now_ms",
    "urgent": "publication.is_decision_due",
    "room": "publication.line_budget",
    "orders": "publication.lines_published",
    "mark": "pending_versions.last_version",
    "fresh": "host_list.has_fresh_list",
    "draws": "host_list.random_draws",
    "done": "host_health.recent_successes",
    "asked": "demand.recent_requests",
    "faded_at": "load_estimator.decayed_at_ms",
    "shared_at": "load_estimator.ownership_changed_at_ms",
    "peak": "load_estimator.peak_load_per_capacity",
    "window": "fleet.report_window_ms",
    "wait": "fleet.feedback_delay_ms",
    "median": "fleet.median_latency_ratio",
    "usual": "fleet.typical_latency_ms",
    "strained": "fleet.overload_ratio",
    "fit": "fleet.answerable_share",
    "mean": "fleet.load_per_capacity",
    "whole": "fleet.site_load_per_capacity",
    "heaviest": "fleet.max_score_factor",
}
# Likewise, but stored only while they are not empty: earlier versions do not know them.
OPTIONAL_VALUE_PATHS: dict[str, str] = {
    "stranded": "evacuation.stranded_since_ms",
}
