"""What tests of the platform's front share: settings, names, small builders."""

from __future__ import annotations

from corallanding import interface as api
from corallanding.collector.reports import NameTables, ReportIntake
from corallanding.collector.session import CollectorSession
from corallanding.host_names import number
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
HOSTS = [number(f"s-{n}") for n in range(6)]


def intake(slices: set[int] | dict[int, dict[int, float]]) -> ReportIntake:
    return ReportIntake(SETTINGS, NameTables(ZONES, {"lookup": 0, "claim": 1}), set(HOSTS), slices)


def collector(of: ReportIntake, zone: str = "a") -> CollectorSession:
    peer = CollectorSession(of)
    assert not peer.feed(encode(["telemetry", "locality", zone])).close_reason
    return peer


def host_report(**other: object) -> list[str]:
    f = {"locality": "a", "endpoint": "s-1", "total": 9, "errors": 2, "rtt": 41.5, "interval": 500.0, **other}
    return ["upstream_stats", *(str(x) for pair in f.items() if pair[1] is not None for x in pair)]


def slice_report(**other: object) -> list[str]:
    f = {"shard": 3, "route": "claim", "total": 9, "errors": 2, "interval": 500.0, **other}
    return ["range_stats", *(str(x) for pair in f.items() if pair[1] is not None for x in pair)]


def told(news: RelayView, s: InitialState, *rows: tuple[str, dict[str, object]]) -> None:
    """Lines of what stands on a new connection."""
    import msgspec

    for method, params in rows:
        news.add_initial(
            s, parse_notification(msgspec.json.encode({"jsonrpc": "2.0", "method": method, "params": params}))
        )


def attach(node: int) -> tuple[str, dict[str, object]]:
    return ("attach", {"node": node, "locality": "a", "w": 2.5, "cold": True})


def owner(shard: int, on: bool = True) -> tuple[str, dict[str, object]]:
    return ("owner", {"shard": shard, "set": on})


def entry(shard: int, host: int, w: float = 1.0) -> tuple[str, dict[str, object]]:
    return ("entry", {"shard": shard, "endpoint": f"s-{host}", "w": w})
