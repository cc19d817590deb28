"""Names under which events, actions and settings are stored and counted. The names are frozen; there is no logic here.

Recordings, step logs, handovers and metrics contain these names, and other versions of the program read them. The left
side of a table never changes. If a class or an attribute is renamed, only the right side changes. A new field gets a
default value and is added at the end, as the order of the fields is the order in which they are written.
"""

from __future__ import annotations

from . import actions, events, settings

EVENTS: dict[str, type] = {
    "Membership": events.HostListUpdate,
    "ProbeDone": events.HealthCheckResult,
    "HostSums": events.HostUsageReport,
    "SliceSums": events.SliceUsageReport,
    "ProxySums": events.ProxyUsageReport,
    "SliceGiven": events.SliceOwnershipChange,
    "OnRecord": events.StoredWeight,
    "ProxyJoined": events.ProxyJoined,
    "ProxyLeft": events.ProxyLeft,
    "Acked": events.VersionAcked,
    "PeerMessage": events.PeerMessage,
    "Due": events.TimerFired,
    "AcksLost": events.AcksLost,
}

ACTIONS: dict[str, type] = {
    "SetLine": actions.SetWeight,
    "Level": actions.SetAdmission,
    "Cordon": actions.Cordon,
    "ResetTable": actions.ResetTable,
    "Point": actions.AssignTable,
    "Mark": actions.PublishVersion,
    "Remind": actions.StartTimer,
    "Probe": actions.CheckHealth,
    "Follow": actions.WatchHostList,
    "FetchList": actions.FetchHostList,
    "Tell": actions.SendToPeer,
    "Note": actions.LogNote,
}

TYPES: dict[str, type] = EVENTS | ACTIONS
NAMES: dict[type, str] = {kind: name for name, kind in TYPES.items()}

# For each class, maps the stored name of a field to the attribute that holds its value.
FIELDS: dict[type, dict[str, str]] = {
    settings.RequestClass: {
        "name": "name",
        "repeat": "idempotency",
        "group": "deduplication_scope",
        "window": "deduplication_window_ms",
        "billed_value": "priority_weight",
        "late_value": "late_priority_weight",
        "latency_objective": "latency_objective_ms",
        "integration_timeout": "timeout_ms",
        "writes": "is_write",
        "zone_bound": "is_zone_bound",
    },
    settings.Settings: {
        "operations": "request_classes",
        "zone": "zone",
        "zones": "zone_count",
        "stewards": "controller_count",
        "me": "controller_index",
        "slices": "slice_count",
        "proxies": "proxy_count",
        "list_on_request": "polls_host_list",
        "ask_within": "poll_interval_ms",
        "listed_weights": "listed_weights",
        "sole_owner": "has_sole_owner",
        "lease": "lease_ms",
        "in_flight_most": "max_in_flight_ms",
        "admission": "admission",
        "usual_retry": "default_retry_mode",
        "try_aims": "attempt_timeout_objectives",
        "pick": "balancing_policy",
        "ejects": "ejection_failures",
        "bare_most": "max_without_host_ms",
        "drain_grace": "drain_grace_ms",
        "drain_binds_alone": "only_drains_bind",
        "cold": "warm_up_ms",
        "cold_from": "warm_up_initial_share",
        "fall": "overload_window_ms",
        "fall_multiple": "overload_factor",
        "channel_rate": "channel_lines_per_second",
        "message_head": "message_overhead_lines",
        "queue_most": "max_queued_lines",
        "messages_most": "max_messages",
        "messages_span": "message_window_ms",
        "transit": "propagation_ms",
        "transit_most": "max_propagation_ms",
        "report_every": "report_interval_ms",
        "reports_per_s": "reports_per_second",
        "may_probe": "may_check_health",
        "warm_keys": "caches_keys",
        "probe_price": "health_check_price",
        "message_price": "message_price",
        "move_price": "move_price",
        "load_in_probe": "health_check_load_fields",
        "period": "decision_interval_ms",
    },
    events.HostEntry: {
        "host": "host",
        "zone": "zone",
        "kind": "kind",
        "cell": "cell",
        "state": "state",
        "weight": "weight",
        "online_since": "online_since",
    },
    events.HostListUpdate: {
        "form": "kind",
        "version": "version",
        "entries": "entries",
    },
    events.HealthCheckResult: {
        "host": "host",
        "end": "outcome",
        "latency": "latency_ms",
        "load": "load",
    },
    events.HostUsageReport: {
        "zone": "zone",
        "host": "host",
        "tries": "attempts",
        "errored": "failed",
        "latency": "latency_ms",
        "span": "span_ms",
        "load": "load",
    },
    events.SliceUsageReport: {
        "slice": "slice",
        "operation": "request_class",
        "invocations": "requests",
        "unanswered": "unanswered",
        "span": "span_ms",
    },
    events.ProxyUsageReport: {
        "proxy": "proxy",
        "operation": "request_class",
        "invocations": "requests",
        "unanswered": "unanswered",
        "span": "span_ms",
    },
    events.SliceOwnershipChange: {
        "slice": "slice",
        "on": "is_owned",
    },
    events.StoredWeight: {
        "slice": "slice",
        "host": "host",
        "weight": "weight",
    },
    events.ProxyJoined: {
        "proxy": "proxy",
        "zone": "zone",
        "rate": "requests_per_second",
        "fresh": "has_no_tables",
    },
    events.ProxyLeft: {
        "proxy": "proxy",
    },
    events.VersionAcked: {
        "proxy": "proxy",
        "number": "version",
        "latency": "latency_ms",
    },
    events.AcksLost: {
        "version": "version",
        "age": "age_ms",
    },
    events.PeerMessage: {
        "sender": "sender",
        "payload": "payload",
    },
    events.TimerFired: {
        "handle": "timer",
    },
    actions.SetWeight: {
        "slice": "slice",
        "host": "host",
        "weight": "weight",
    },
    actions.SetAdmission: {
        "slice": "slice",
        "operations": "request_classes",
        "amount": "amount",
        "retry": "retry",
    },
    actions.Cordon: {
        "host": "host",
        "on": "is_cordoned",
    },
    actions.ResetTable: {
        "slice": "slice",
    },
    actions.AssignTable: {
        "proxy": "proxy",
        "table": "table",
        "operations": "request_classes",
    },
    actions.PublishVersion: {
        "number": "version",
        "everyone": "to_all_proxies",
    },
    actions.StartTimer: {
        "after": "delay_ms",
        "handle": "timer",
    },
    actions.CheckHealth: {
        "host": "host",
    },
    actions.WatchHostList: {
        "on": "is_watching",
    },
    actions.FetchHostList: {},
    actions.SendToPeer: {
        "peer": "peer",
        "payload": "payload",
    },
    actions.LogNote: {
        "text": "text",
    },
}

# Fields that contain sequences of a class with its own table in `FIELDS`, by stored name.
ITEMS: dict[type, dict[str, type]] = {
    settings.Settings: {"operations": settings.RequestClass},
    events.HostListUpdate: {"entries": events.HostEntry},
}
