"""Samples for the tests of the platform: settings, configuration, names, and builders of messages."""

from __future__ import annotations

from typing import Any

import msgspec

from corallanding import interface as api
from corallanding.collector.reports import NameTables, ReportIntake
from corallanding.collector.session import CollectorSession
from corallanding.host_names import host_number
from corallanding.relay.notifications import parse_notification
from corallanding.relay.subscription import InitialState, RelayView
from corallanding.resp import encode

ZONES = {"a": 0, "b": 1}
KINDS = {"m2": 0, "m3": 1}
LOOKUP = api.RequestClass("lookup", api.Idempotency.IDEMPOTENT, "all", 0.0, 1.0, 0.0, 1_000.0, 3_000.0)
CLAIM = api.RequestClass("claim", api.Idempotency.SIDE_EFFECTING, "all", 0.0, 1.0, 0.0, 1_000.0, 5_000.0)
SETTINGS = api.Settings(
    (LOOKUP, CLAIM), zone_count=2, slice_count=8, proxy_count=20, report_interval_ms=500.0, may_check_health=True
)
HOSTS = [host_number(f"s-{n}") for n in range(6)]


def report_intake(slices: set[int] | dict[int, dict[int, float]]) -> ReportIntake:
    """Return an intake of usage reports for these owned slices."""
    return ReportIntake(SETTINGS, NameTables(ZONES, {"lookup": 0, "claim": 1}), set(HOSTS), slices)


def collector_session(intake: ReportIntake, zone: str = "a") -> CollectorSession:
    """Return a session whose collector identified itself for a zone."""
    session = CollectorSession(intake)
    assert not session.feed(encode(["telemetry", "locality", zone])).close_reason
    return session


def host_report(**other: object) -> list[str]:
    """Return the fields of a usage report on a host; None in `other` omits a field."""
    fields = {"locality": "a", "endpoint": "s-1", "total": 9, "errors": 2, "rtt": 41.5, "interval": 500.0, **other}
    return ["upstream_stats", *(str(x) for pair in fields.items() if pair[1] is not None for x in pair)]


def slice_report(**other: object) -> list[str]:
    """Return the fields of a usage report on a slice; None in `other` omits a field."""
    fields = {"shard": 3, "route": "claim", "total": 9, "errors": 2, "interval": 500.0, **other}
    return ["range_stats", *(str(x) for pair in fields.items() if pair[1] is not None for x in pair)]


def add_initial_notifications(
    view: RelayView, state: InitialState, *notifications: tuple[str, dict[str, object]]
) -> None:
    """Add notifications to the initial state of a new connection."""
    for method, params in notifications:
        view.add_initial(
            state, parse_notification(msgspec.json.encode({"jsonrpc": "2.0", "method": method, "params": params}))
        )


def attach(node: int) -> tuple[str, dict[str, object]]:
    """Return the notification that a proxy joined."""
    return ("attach", {"node": node, "locality": "a", "w": 2.5, "cold": True})


def owner(shard: int, is_owned: bool = True) -> tuple[str, dict[str, object]]:
    """Return the notification that a slice was assigned or withdrawn."""
    return ("owner", {"shard": shard, "set": is_owned})


def entry(shard: int, host: int, w: float = 1.0) -> tuple[str, dict[str, object]]:
    """Return the notification of a host's weight in the table of a slice."""
    return ("entry", {"shard": shard, "endpoint": f"s-{host}", "w": w})


def list_entry(host: str, health: str = "in_service", **other: Any) -> dict[str, Any]:
    """Return an entry of a host list as discovery sends it."""
    fields = {"host": host, "dial": "127.0.0.1:8081", "site": "a", "class": "m2", "block": 3, "health": health}
    return {**fields, "share": 1.0, "born_ms": 0, **other}


CONFIG_SETTINGS: dict[str, Any] = {
    "zones": ["a", "north b"],
    "kinds": ["m2"],
    "zone": 1,
    "balancers": 2,
    "discovery": "pushed",
    "period": 2000,
    "classes": [
        {"name": "lookup", "idempotency": "repeatable", "aim": 1200000, "giveUp": 3000000, "worth": 3.0},
        {"name": "claim", "idempotency": "once", "aim": 1500000, "giveUp": 5000000},
    ],
    "familyInfo": {
        "keyRanges": 127,
        "proxies": 150,
        "writeClasses": [False, True],
        "soleOwner": False,
        "reportEvery": 500000,
        "channelRate": 11500.0,
    },
    "limits": {"mayProbe": True, "dialTimeout": 300000},
    "rules": {"drainGrace": 3000000},
    "loadReport": {"fields": []},
}

CONFIG_FILE: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.4:8081",
    "discovery": "127.2.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
    "store": {"address": "127.2.0.2:6400"},
    "known": {"seq": 41, "whole": True, "hosts": [list_entry("s-1")]},
    "settings": CONFIG_SETTINGS,
}
