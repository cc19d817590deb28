"""HCL text of a scenario and of the configuration of each controller of a run."""

from __future__ import annotations

import json
from typing import Any

from .scenario import HOST_REPORT_FIELDS, Scenario


def hcl_value(value: Any) -> str:
    """Return an HCL literal."""
    return json.dumps(value)


def block(name: str, values: dict[str, Any], label: str = "") -> str:
    """Return an HCL block; values that are None are left out."""
    head = f'{name} "{label}" {{' if label else f"{name} {{"
    rows = "".join(f"  {k} = {hcl_value(v)}\n" for k, v in values.items() if v is not None)
    return f"{head}\n{rows}}}\n"


def steward_hcl(
    s: Scenario,
    listen: str,
    http_address: str,
    roster: str,
    store: str,
    seed: int,
    lift_limits: bool,
    reports: str = "",
    key: str = "",
    me: int = 0,
    control: str = "",
    peer_listen: str = "",
    peers: dict[str, str] | None = None,
    witness: str = "",
    acts: str = "",
    runs: str = "",
    waits: str = "",
) -> str:
    """Return the configuration of controller `me`. lift_limits: lift the limits of the channel."""
    channel = s.channel.model_dump()
    if lift_limits:
        channel.update(queue_most_lines=1e8, messages_most=0, rate_lines_per_s=1e8)
    operations = "".join(
        block("operation", {k: v for k, v in o.model_dump().items() if k not in ("share", "work_ms", "cv")}, name)
        for name, o in s.operation.items()
    )
    load_reports = ""
    if s.load_reports:
        values = {k: v for k, v in s.load_reports.model_dump().items() if k not in HOST_REPORT_FIELDS}
        load_reports = block("load_reports", {**values, "listen": reports, "key_file": key or None})
    timings = {"wait_ms": 50, "wait_most_ms": 500, "lease_ms": s.lease_ms}
    shared = block("registry", {"address": roster, "charge": True, **timings})
    warm_keys = any(h.warm_gain > 0 for h in s.host.values())
    return (
        f"zones = {hcl_value(s.zones)}\n"
        + block(
            "steward",
            {
                "listen": listen,
                "seed": seed,
                "zone": s.zones[0],
                "number": me,
                "stewards": s.numbers,
                "control": control or None,
                "peer_listen": peer_listen or None,
                "peers": peers,
            },
        )
        + block("store", {"path": store})
        + (block("roster", {"address": roster, "mode": s.roster.mode}) if s.stewards == 1 else shared)
        + block("slices", {"count": s.fleet.slices, "warm_keys": warm_keys})
        + operations
        + block("rules", s.rules.model_dump())
        + block("channel", channel)
        + block("reports", s.reports.model_dump())
        + block("forwarders", {**s.forwarders.model_dump(), "count": s.fleet.forwarders})
        + block("probe", s.probe.model_dump())
        + block("door", {"listen": http_address})
        + load_reports
        + "".join(block("budget", b.model_dump(), name) for name, b in s.budget.items())
        + (block("budgets", {**s.budgets.model_dump(), "witness": witness or None}) if s.peers else "")
        + tasks_hcl(s, acts)
        + pins_hcl(s, runs)
        + waits_hcl(s, waits)
    )


def waits_hcl(s: Scenario, witness: str = "") -> str:
    """Return the block of job scheduling; empty if no request class has `waits`."""
    if not any(o.waits for o in s.operation.values()):
        return ""
    return block("waiting", {**s.waiting.model_dump(), "witness": witness or None})


def pins_hcl(s: Scenario, path: str = "") -> str:
    """Return the blocks of records, releases and version pinning."""
    out = ""
    if s.records:
        out += block("records", {**s.records.model_dump(), "path": path or s.records.path})
    if s.pins:
        out += block("pins", s.pins.model_dump())
    return out + "".join(block("release", row.model_dump(), name) for name, row in s.release.items())


def tasks_hcl(s: Scenario, witness: str = "") -> str:
    """Return the blocks of leased tasks."""
    if not (s.task or s.task_group):
        return ""
    out = block("tasks", {**s.tasks.model_dump(), "witness": witness or None})
    for kind, rows in (("task", s.task), ("task_group", s.task_group)):
        out += "".join(block(kind, row.model_dump(), name) for name, row in rows.items())
    return out


def scenario_hcl(s: Scenario) -> str:
    """Return a scenario as text that `load_scenario` reads back to an equal scenario."""
    top = ("name", "seconds", "zones", "time_scale", "publisher", "stewards", "lease_ms")
    out = "".join(f"{k} = {hcl_value(getattr(s, k))}\n" for k in top)
    for name in ("fleet", "traffic", "roster", "rules", "channel", "reports", "forwarders", "probe"):
        out += "\n" + block(name, getattr(s, name).model_dump())
    if s.load_reports:
        out += "\n" + block("load_reports", s.load_reports.model_dump())
    for kind, rows in (("host", s.host), ("operation", s.operation)):
        for label, row in rows.items():
            out += "\n" + block(kind, row.model_dump(), label)
    if s.peers:
        out += "\n" + block("budgets", s.budgets.model_dump()) + tasks_hcl(s)
    for label, budget in s.budget.items():
        out += "\n" + block("budget", budget.model_dump(), label)
    out += "\n" + pins_hcl(s) if s.records else ""
    out += "\n" + waits_hcl(s)
    out += "\n" + block("runs", s.runs.model_dump()) if s.runs else ""
    out += "\n" + block("jobs", s.jobs.model_dump()) if s.jobs else ""
    for f in s.fault:
        out += "\n" + block("fault", {k: v for k, v in f.model_dump().items() if k != "kind"}, f.kind)
    return out
