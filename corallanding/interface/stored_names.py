"""Names under which events, actions and settings are stored and counted. Frozen: no logic lives here.

Recordings, logs of steps, handovers and metrics hold these names, and other versions of the program read them. The left
side of a table never changes. A class or an attribute that is renamed changes on the right side alone. A field that is
added gets a default value and stands last; the order of the fields is the order in which they are written.
"""

from __future__ import annotations

from . import actions, events, settings

EVENTS: dict[str, type] = {
    "Membership": events.Membership,
    "ProbeDone": events.ProbeDone,
    "HostSums": events.HostSums,
    "SliceSums": events.SliceSums,
    "ProxySums": events.ProxySums,
    "SliceGiven": events.SliceGiven,
    "OnRecord": events.OnRecord,
    "ProxyJoined": events.ProxyJoined,
    "ProxyLeft": events.ProxyLeft,
    "Acked": events.Acked,
    "PeerMessage": events.PeerMessage,
    "Due": events.Due,
}

ACTIONS: dict[str, type] = {
    "SetLine": actions.SetLine,
    "Level": actions.Level,
    "Cordon": actions.Cordon,
    "ResetTable": actions.ResetTable,
    "Point": actions.Point,
    "Mark": actions.Mark,
    "Remind": actions.Remind,
    "Probe": actions.Probe,
    "Follow": actions.Follow,
    "FetchList": actions.FetchList,
    "Tell": actions.Tell,
    "Note": actions.Note,
}

TYPES: dict[str, type] = EVENTS | ACTIONS
NAMES: dict[type, str] = {kind: name for name, kind in TYPES.items()}

# For each class: stored name of a field to the attribute that has its value.
FIELDS: dict[type, dict[str, str]] = {
    settings.Operation: {
        "name": "name",
        "repeat": "repeat",
        "group": "group",
        "window": "window",
        "billed_value": "billed_value",
        "late_value": "late_value",
        "latency_objective": "latency_objective",
        "integration_timeout": "integration_timeout",
        "writes": "writes",
        "zone_bound": "zone_bound",
    },
    settings.Settings: {
        "operations": "operations",
        "zone": "zone",
        "zones": "zones",
        "stewards": "stewards",
        "me": "me",
        "slices": "slices",
        "proxies": "proxies",
        "list_on_request": "list_on_request",
        "ask_within": "ask_within",
        "listed_weights": "listed_weights",
        "sole_owner": "sole_owner",
        "lease": "lease",
        "in_flight_most": "in_flight_most",
        "admission": "admission",
        "usual_retry": "usual_retry",
        "try_aims": "try_aims",
        "pick": "pick",
        "ejects": "ejects",
        "bare_most": "bare_most",
        "drain_grace": "drain_grace",
        "drain_binds_alone": "drain_binds_alone",
        "cold": "cold",
        "cold_from": "cold_from",
        "fall": "fall",
        "fall_multiple": "fall_multiple",
        "channel_rate": "channel_rate",
        "message_head": "message_head",
        "queue_most": "queue_most",
        "messages_most": "messages_most",
        "messages_span": "messages_span",
        "transit": "transit",
        "transit_most": "transit_most",
        "report_every": "report_every",
        "reports_per_s": "reports_per_s",
        "may_probe": "may_probe",
        "warm_keys": "warm_keys",
        "probe_price": "probe_price",
        "message_price": "message_price",
        "move_price": "move_price",
        "load_in_probe": "load_in_probe",
        "period": "period",
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
    events.Membership: {
        "form": "form",
        "version": "version",
        "entries": "entries",
    },
    events.ProbeDone: {
        "host": "host",
        "end": "end",
        "latency": "latency",
        "load": "load",
    },
    events.HostSums: {
        "zone": "zone",
        "host": "host",
        "tries": "tries",
        "errored": "errored",
        "latency": "latency",
        "span": "span",
        "load": "load",
    },
    events.SliceSums: {
        "slice": "slice",
        "operation": "operation",
        "invocations": "invocations",
        "unanswered": "unanswered",
        "span": "span",
    },
    events.ProxySums: {
        "proxy": "proxy",
        "operation": "operation",
        "invocations": "invocations",
        "unanswered": "unanswered",
        "span": "span",
    },
    events.SliceGiven: {
        "slice": "slice",
        "on": "on",
    },
    events.OnRecord: {
        "slice": "slice",
        "host": "host",
        "weight": "weight",
    },
    events.ProxyJoined: {
        "proxy": "proxy",
        "zone": "zone",
        "rate": "rate",
        "fresh": "fresh",
    },
    events.ProxyLeft: {
        "proxy": "proxy",
    },
    events.Acked: {
        "proxy": "proxy",
        "number": "number",
        "latency": "latency",
    },
    events.PeerMessage: {
        "sender": "sender",
        "payload": "payload",
    },
    events.Due: {
        "handle": "handle",
    },
    actions.SetLine: {
        "slice": "slice",
        "host": "host",
        "weight": "weight",
    },
    actions.Level: {
        "slice": "slice",
        "operations": "operations",
        "amount": "amount",
        "retry": "retry",
    },
    actions.Cordon: {
        "host": "host",
        "on": "on",
    },
    actions.ResetTable: {
        "slice": "slice",
    },
    actions.Point: {
        "proxy": "proxy",
        "table": "table",
        "operations": "operations",
    },
    actions.Mark: {
        "number": "number",
        "everyone": "everyone",
    },
    actions.Remind: {
        "after": "after",
        "handle": "handle",
    },
    actions.Probe: {
        "host": "host",
    },
    actions.Follow: {
        "on": "on",
    },
    actions.FetchList: {},
    actions.Tell: {
        "peer": "peer",
        "payload": "payload",
    },
    actions.Note: {
        "text": "text",
    },
}

# Fields that hold a sequence of a class that has a table of its own, by their stored names.
ITEMS: dict[type, dict[str, type]] = {
    settings.Settings: {"operations": settings.Operation},
    events.Membership: {"entries": events.HostEntry},
}
