"""A configuration read again while the steward runs."""

from __future__ import annotations

from typing import Any

from ..config import ConfigError, ControllerConfig, load_controller
from ..telemetry import configure, log
from .components import Parts, link_limits

# What a reload can change while the steward runs; all else needs a restart, and is said to.
RELOADABLE = (
    "log.",
    "door.connections_most",
    "door.header_most_bytes",
    "door.request_within_ms",
    "probe.timeout_ms",
    "probe.most_in_flight",
    "probe.most_waiting",
    "forwarders.frame_most_bytes",
    "forwarders.hello_within_ms",
    "forwarders.frames_per_s",
    "forwarders.buffer_most_bytes",
    "forwarders.bytes_per_s",
    "forwarders.ack_within_ms",
    "forwarders.reads_per_s",
    "forwarders.accepts_per_s",
    "forwarders.strangers_most",
    "store.retry",
)


def flat(value: Any, path: str = "") -> dict[str, Any]:
    if isinstance(value, dict):
        out: dict[str, Any] = {}
        for key, inner in value.items():
            out.update(flat(inner, f"{path}.{key}" if path else str(key)))
        return out
    return {path: value}


def reload(s: Parts) -> None:
    """Take what can be taken, and name what cannot."""
    if not s.path:
        return
    try:
        new = load_controller(s.path)
    except ConfigError as fault:
        log.error("reload refused; the old configuration stands", why=str(fault))
        return
    old_keys, new_keys = flat(s.config.model_dump()), flat(new.model_dump())
    changed = [k for k in sorted(old_keys | new_keys) if old_keys.get(k) != new_keys.get(k)]
    # A block that comes or goes whole needs a restart, whatever its keys.
    # A budget may change its size alone: all else of it must be the same at all stewards at any instant.
    sizes = [k for k in changed if k == "pins.current" or (k.startswith("budget.") and k.endswith(".whole"))]
    taken = [k for k in changed if (k.startswith(RELOADABLE) or k in sizes) and k in old_keys and k in new_keys]
    merged = s.config.model_dump()
    for key in taken:
        at, (*path, last) = merged, key.split(".")
        for part in path:
            at = at[part]
        at[last] = new_keys[key]
    s.config = ControllerConfig.model_validate(merged)
    configure(s.config.log.format, s.config.log.level)
    s.limits = link_limits(s.config)
    f = s.config.forwarders
    s.joins.rate_per_second, s.listener.rate = f.reads_per_s, f.accepts_per_s
    for link in s.links:
        link.link.limits = s.limits
        link.link.reader.most = s.limits.frame_most
    p = s.config.probe
    s.prober.timeout_ms, s.prober.max_in_flight = p.timeout_ms, p.most_in_flight
    s.prober.max_waiting = p.most_waiting
    if d := s.config.door:
        s.admin_server.max_connections, s.admin_server.max_header_bytes = d.connections_most, d.header_most_bytes
        s.admin_server.request_timeout_ms = d.request_within_ms
    if s.cluster:
        s.cluster.reload(s.config)
    log.info("reloaded", taken=taken, needs_restart=[k for k in changed if k not in taken])
