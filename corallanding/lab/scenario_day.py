"""Conversion of a day of the simulation bench (JSON) to a scenario."""

from __future__ import annotations

from typing import Any

from ..config import ConfigError
from ..config.site import ChannelBlock, ForwardersBlock, ReportsBlock, RulesBlock
from ..config.sources import HealthCheckBlock
from .scenario import KINDS, Fault, Fleet, HostKind, OperationTraffic, RosterTraffic, Scenario, TrafficBlock

REPEATS = {"safe": "idempotent", "keyed": "fingerprinted", "unsafe": "side-effecting"}


def from_day(day: dict[str, Any], name: str, scale: float = 1.0) -> Scenario:
    """Convert a day as the bench's `draw` prints it to a scenario; `scale` shrinks fleet and traffic alike.

    Times of the day are microseconds. Of the traffic over time only the mean is kept. Raises `ConfigError` that names
    what the day lacks.
    """
    try:
        initial_servers = [s for s in day["servers"] if s.get("up", True)]
        kinds, family = day["tiers"][0]["kinds"], day["fam"]
        classes, clients, discovery = day["classes"], day["clients"], day["discovery"]
        hosts = max(2, round(len(initial_servers) * scale))
        mean_work_ms = sum(c["share"] * c["work"] for c in classes) / 1000.0
        capacity = sum(kinds[s["kind"]]["cores"] * s["speed"] for s in initial_servers) / len(initial_servers) * hosts
        per_s = day["traffic"]["load"] * capacity * 1000.0 / mean_work_ms
        counts = [sum(1 for s in initial_servers if s["kind"] == k) for k in range(len(kinds))]
        host = {
            k["name"]: HostKind(
                share=max(n, 0.001),
                cores=k["cores"],
                waiting_room=max(1, k["queue"]),
                speed=round(sum(s["speed"] for s in initial_servers if s["kind"] == i) / max(n, 1) or 1.0, 3),
                warm_gain=round(min(0.8, family.get("affinity_gain", 0.0) * family.get("hits", 1.0)), 3),
            )
            for i, (k, n) in enumerate(zip(kinds, counts, strict=True))
        }
        cold_ms = max((k["cold"] for k in kinds), default=10e6) / 1000.0
        day_rules = day["rules"] if isinstance(day.get("rules"), dict) else {}
        faults = []
        for trouble in day["troubles"]:
            if trouble["kind"] not in KINDS:
                raise ConfigError(f"fault {trouble['kind']!r} of the day is not in the vocabulary")
            targets = [n for n in trouble.get("on", []) if n < hosts]
            if trouble["kind"] in ("deploy", "preempt", "shrink", "grow"):
                targets = []
            faults.append(
                Fault(
                    kind=trouble["kind"],
                    at_s=trouble["at"] / 1e6,
                    for_s=trouble["len"] / 1e6,
                    size=trouble["size"],
                    extra=trouble["extra"],
                    part=min(1.0, len(trouble.get("on", [])) / max(len(initial_servers), 1)) or 0.2,
                    on=targets,
                    how=trouble.get("how", ""),
                )
            )
        late_ms = family.get("late", 100_000) / 1000.0
        forwarders = max(1, round(len(day["balancers"]) * scale) - len(family.get("controllers", [0])))
        slices = max(hosts, round(family["slices"] * scale))
        max_queued_lines = max(family["backlog"], family["head"] * forwarders * 2.5)
        return Scenario(
            name=name,
            seconds=day["length"] / 1e6,
            zones=day["zones"],
            fleet=Fleet(
                hosts=hosts,
                forwarders=forwarders,
                slices=slices,
                slice_cv=family.get("slice_cv", 0.5),
                transit_ms=late_ms,
                sums_late_ms=family.get("heard_late", 0) / 1000.0,
            ),
            host=host,
            operation={
                c["name"]: OperationTraffic(
                    repeat=REPEATS.get(c["effect"], "side-effecting"),  # type: ignore[arg-type]
                    latency_objective_ms=c["aim"] / 1000.0,
                    integration_timeout_ms=c["deadline"] / 1000.0,
                    billed_value=c["worth"],
                    late_value=c["late_worth"],
                    share=c["share"],
                    work_ms=c["work"] / 1000.0,
                    cv=c.get("cv", 0.5),
                )
                for c in classes
            },
            traffic=TrafficBlock(
                per_s=round(per_s, 2),
                retries=int(clients["retries"]),
                try_share=clients["try_share"],
                backoff_ms=max(1.0, clients["backoff_us"] / 1000.0),
            ),
            roster=RosterTraffic(
                mode="on_request" if discovery["ask"] else "pushed",
                notice_ms=discovery["notice"] / 1000.0,
                add_ms=discovery["add"] / 1000.0,
            ),
            rules=RulesBlock(
                bare_most_ms=family["bare"] / 1000.0,
                drain_grace_ms=day["drain_grace"] / 1000.0,
                cold_ms=cold_ms,
                cold_from=min((k["cold_from"] for k in kinds), default=0.2),
                fall_ms=day["fall_for"] / 1000.0,
                fall_multiple=day["fall_multiple"],
                drain_binds_alone=bool(day_rules.get("only_draining_binds", False)),
            ),
            channel=ChannelBlock(
                rate_lines_per_s=family["rate"],
                head_lines=family["head"],
                queue_most_lines=max_queued_lines,
                messages_most=family["messages_most"],
                transit_ms=late_ms,
                transit_most_ms=late_ms * 4,
            ),
            reports=ReportsBlock(every_ms=family["period"] / 1000.0, lines_per_s=family["intake"]),
            forwarders=ForwardersBlock(
                pick={"two": "p2c", "weighted": "random", "round": "rotate"}[family["pick"]],  # type: ignore[arg-type]
                admission={"share": "fraction", "rate": "per_second", "none": "off"}[family["admit"]],  # type: ignore[arg-type]
                usual_retry=family["usual_how"],
                try_aims=family["try_aims"],
                ejects=family["ejects"],
            ),
            probe=HealthCheckBlock(allowed=day["allow"]["probes"]),
            fault=faults,
        )
    except (KeyError, TypeError, IndexError, ZeroDivisionError) as error:
        raise ConfigError(f"{name}: not a day of the bench: {type(error).__name__} {error}") from None
