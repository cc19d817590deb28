"""A day as the bench prints it, as a scenario."""

from __future__ import annotations

from typing import Any

from ..config import ConfigError
from ..config.site import ChannelBlock, ForwardersBlock, ReportsBlock, RulesBlock
from ..config.sources import HealthCheckBlock
from .scenario import KINDS, Fault, Fleet, HostKind, OperationTraffic, RosterTraffic, Scenario, TrafficBlock

REPEATS = {"safe": "idempotent", "keyed": "fingerprinted", "unsafe": "side-effecting"}


def from_day(day: dict[str, Any], name: str, scale: float = 1.0) -> Scenario:
    """A day as the bench's `draw` prints it, as a scenario. `scale` shrinks fleet and traffic alike.

    Raises `ConfigError` with what the day lacks. Times of the day are microseconds; shapes of traffic in time
    are not taken over, the mean is.
    """
    try:
        start = [s for s in day["servers"] if s.get("up", True)]
        kinds, fam = day["tiers"][0]["kinds"], day["fam"]
        classes, clients, disc = day["classes"], day["clients"], day["discovery"]
        hosts = max(2, round(len(start) * scale))
        mean = sum(c["share"] * c["work"] for c in classes) / 1000.0
        capacity = sum(kinds[s["kind"]]["cores"] * s["speed"] for s in start) / len(start) * hosts
        per_s = day["traffic"]["load"] * capacity * 1000.0 / mean
        counts = [sum(1 for s in start if s["kind"] == k) for k in range(len(kinds))]
        host = {
            k["name"]: HostKind(
                share=max(n, 0.001),
                cores=k["cores"],
                waiting_room=max(1, k["queue"]),
                speed=round(sum(s["speed"] for s in start if s["kind"] == i) / max(n, 1) or 1.0, 3),
                warm_gain=round(min(0.8, fam.get("affinity_gain", 0.0) * fam.get("hits", 1.0)), 3),
            )
            for i, (k, n) in enumerate(zip(kinds, counts, strict=True))
        }
        cold = max((k["cold"] for k in kinds), default=10e6) / 1000.0
        most = day["rules"] if isinstance(day.get("rules"), dict) else {}
        faults = []
        for t in day["troubles"]:
            if t["kind"] not in KINDS:
                raise ConfigError(f"trouble {t['kind']!r} of the day is not in the vocabulary")
            on = [n for n in t.get("on", []) if n < hosts]
            if t["kind"] in ("deploy", "preempt", "shrink", "grow"):
                on = []
            faults.append(
                Fault(
                    kind=t["kind"],
                    at_s=t["at"] / 1e6,
                    for_s=t["len"] / 1e6,
                    size=t["size"],
                    extra=t["extra"],
                    part=min(1.0, len(t.get("on", [])) / max(len(start), 1)) or 0.2,
                    on=on,
                    how=t.get("how", ""),
                )
            )
        late = fam.get("late", 100_000) / 1000.0
        forwarders = max(1, round(len(day["balancers"]) * scale) - len(fam.get("controllers", [0])))
        slices = max(hosts, round(fam["slices"] * scale))
        queue = max(fam["backlog"], fam["head"] * forwarders * 2.5)
        return Scenario(
            name=name,
            seconds=day["length"] / 1e6,
            zones=day["zones"],
            fleet=Fleet(
                hosts=hosts,
                forwarders=forwarders,
                slices=slices,
                slice_cv=fam.get("slice_cv", 0.5),
                transit_ms=late,
                sums_late_ms=fam.get("heard_late", 0) / 1000.0,
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
                mode="on_request" if disc["ask"] else "pushed",
                notice_ms=disc["notice"] / 1000.0,
                add_ms=disc["add"] / 1000.0,
            ),
            rules=RulesBlock(
                bare_most_ms=fam["bare"] / 1000.0,
                drain_grace_ms=day["drain_grace"] / 1000.0,
                cold_ms=cold,
                cold_from=min((k["cold_from"] for k in kinds), default=0.2),
                fall_ms=day["fall_for"] / 1000.0,
                fall_multiple=day["fall_multiple"],
                drain_binds_alone=bool(most.get("only_draining_binds", False)),
            ),
            channel=ChannelBlock(
                rate_lines_per_s=fam["rate"],
                head_lines=fam["head"],
                queue_most_lines=queue,
                messages_most=fam["messages_most"],
                transit_ms=late,
                transit_most_ms=late * 4,
            ),
            reports=ReportsBlock(every_ms=fam["period"] / 1000.0, lines_per_s=fam["intake"]),
            forwarders=ForwardersBlock(
                pick={"two": "p2c", "weighted": "random", "round": "rotate"}[fam["pick"]],  # type: ignore[arg-type]
                admission={"share": "fraction", "rate": "per_second", "none": "off"}[fam["admit"]],  # type: ignore[arg-type]
                usual_retry=fam["usual_how"],
                try_aims=fam["try_aims"],
                ejects=fam["ejects"],
            ),
            probe=HealthCheckBlock(allowed=day["allow"]["probes"]),
            fault=faults,
        )
    except (KeyError, TypeError, IndexError, ZeroDivisionError) as fault:
        raise ConfigError(f"{name}: no day of the bench: {type(fault).__name__} {fault}") from None
