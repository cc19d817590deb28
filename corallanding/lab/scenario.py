"""Scenarios: a fleet, its traffic and its faults, in HCL. Every fault of the vocabulary stands here once."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from ..config.blocks import Block, Count, Ms, MsOrNone, Ratio
from ..config.budgets import BudgetBlock, BudgetsBlock
from ..config.hcl import ConfigFault, load
from ..config.models import (
    ChannelBlock,
    ForwardersBlock,
    LoadReportsBlock,
    OperationBlock,
    ProbeBlock,
    ReportsBlock,
    RulesBlock,
)

PEER_FAULTS = (
    "peer_cut", "peer_loss", "peer_slow", "peer_repeat", "steward_stop", "steward_restart", "steward_grow",
    "steward_shrink",
)  # fmt: skip
KINDS = (
    "crash", "deploy", "drain", "preempt", "shrink", "grow", "hang", "slow", "neighbour", "pauses", "hot_key",
    "heavy_tail", "counter_down", "zone_cut", "zone_loss", "one_sided", "slow_link", "answer_lost",
    "balancer_roll", "balancer_stall", "wrong_list", "give_up", "steward_kill", "roster_down", "store_down",
    "upgrade",
    "report_flood", "report_stale", "report_silent", "report_lying", "report_skew", "report_loss",
    *PEER_FAULTS,
)  # fmt: skip


class HostKind(Block):
    share: Annotated[float, Field(gt=0)] = 1.0
    cores: Count = 4
    speed: Annotated[float, Field(gt=0)] = 1.0
    waiting_room: Count = 64
    warm_gain: Annotated[float, Field(ge=0, lt=1)] = 0.0


class Fleet(Block):
    hosts: Count
    forwarders: Annotated[int, Field(ge=1, le=4096)]
    slices: Annotated[int, Field(ge=1, le=65_534)]
    slice_cv: Annotated[float, Field(ge=0, le=5)] = 0.5
    stream_cv: Annotated[float, Field(ge=0, le=5)] = 0.8
    transit_ms: MsOrNone = 0.0
    sums_late_ms: MsOrNone = 0.0


class OperationTraffic(OperationBlock):
    share: Annotated[float, Field(gt=0, le=1)]
    work_ms: Ms
    cv: Annotated[float, Field(ge=0, le=5)] = 0.5


class TrafficBlock(Block):
    per_s: Annotated[float, Field(gt=0, le=1e5)]
    retries: Annotated[int, Field(ge=0, le=10)] = 2
    try_share: Annotated[float, Field(gt=0, le=1)] = 0.8
    backoff_ms: Ms = 100.0


class RosterTraffic(Block):
    mode: Literal["pushed", "on_request"] = "pushed"
    notice_ms: MsOrNone = 500.0
    add_ms: MsOrNone = 200.0


class LoadReportsTraffic(LoadReportsBlock):
    """The steward's block, and how the stand-in hosts report."""

    listen: str = "127.0.0.1:0"
    processes: Annotated[int, Field(ge=1, le=4096)] = 1
    every_ms: Ms = 500.0
    echo: bool = True
    signed: bool = False
    form: Literal["protobuf", "json", "stream"] = "protobuf"


SENDING = ("processes", "every_ms", "echo", "signed", "form")


class Fault(Block):
    """kind is the label. Times in seconds from the first arrival; part: share of what it strikes; size, extra and
    how as the vocabulary in `docs/scenarios.md` says; on: numbers instead of a part; steps: stop and start."""

    kind: str
    at_s: Annotated[float, Field(ge=0, le=3600)]
    for_s: Annotated[float, Field(ge=0, le=3600)] = 5.0
    part: Ratio = 0.2
    size: Annotated[float, Field(ge=0, le=1e6)] = 2.0
    extra: Annotated[float, Field(ge=0, le=1e6)] = 1.0
    how: str = ""
    on: list[int] = []

    @model_validator(mode="after")
    def known(self) -> Fault:
        if self.kind not in KINDS:
            raise ValueError(f"fault {self.kind!r} is not one of {', '.join(KINDS)}")
        return self


class Scenario(Block):
    name: str
    seconds: Annotated[float, Field(gt=0, le=3600)]
    zones: Annotated[list[str], Field(min_length=1)] = ["all"]
    time_scale: Annotated[float, Field(gt=0, le=1)] = 1.0  # told only: by how much times were scaled down
    publisher: str = "corallanding"
    stewards: Annotated[int, Field(ge=1, le=16)] = 1  # more than one share slices through the stand-in registry
    lease_ms: Annotated[float, Field(ge=1000, le=600_000)] = 2000.0
    fleet: Fleet
    host: Annotated[dict[str, HostKind], Field(min_length=1)]
    operation: Annotated[dict[str, OperationTraffic], Field(min_length=1)]
    traffic: TrafficBlock
    roster: RosterTraffic = RosterTraffic()
    rules: RulesBlock = RulesBlock()
    channel: ChannelBlock = ChannelBlock()
    reports: ReportsBlock = ReportsBlock()
    forwarders: ForwardersBlock = ForwardersBlock()
    probe: ProbeBlock = ProbeBlock()
    load_reports: LoadReportsTraffic | None = None
    budget: dict[str, BudgetBlock] = {}
    budgets: BudgetsBlock = BudgetsBlock()  # stewards_most: how many there may ever be
    fault: list[Fault] = []

    @model_validator(mode="after")
    def peered(self) -> Scenario:
        if self.numbers < self.stewards:
            raise ValueError("budgets.stewards_most is less than stewards")
        for name, one in self.budget.items():
            if fault := one.fault(name, self.numbers):
                raise ValueError(fault)
        for f in self.fault:
            if f.kind in PEER_FAULTS and (self.stewards < 2 or not self.budget):
                raise ValueError(f"fault {f.kind!r} needs stewards that know each other: several, and a budget")
        return self

    @property
    def numbers(self) -> int:
        """Stewards that there may be, those that `steward_grow` starts among them."""
        return self.budgets.stewards_most or self.stewards


def load_scenario(path: str | Path) -> Scenario:
    return load(path, Scenario)


def hcl_value(value: Any) -> str:
    return json.dumps(value)


def block(name: str, values: dict[str, Any], label: str = "") -> str:
    head = f'{name} "{label}" {{' if label else f"{name} {{"
    rows = "".join(f"  {k} = {hcl_value(v)}\n" for k, v in values.items() if v is not None)
    return f"{head}\n{rows}}}\n"


def steward_hcl(
    s: Scenario, listen: str, door: str, roster: str, store: str, seed: int, laxer: bool, reports: str = "",
    key: str = "", me: int = 0, control: str = "", peer_listen: str = "", peers: dict[str, str] | None = None,
    witness: str = "",
) -> str:  # fmt: skip
    """The configuration of the steward that serves this scenario. laxer: a sabotage may lift the channel's limits."""
    channel = s.channel.model_dump()
    if laxer:
        channel.update(queue_most_lines=1e8, messages_most=0, rate_lines_per_s=1e8)
    operations = "".join(
        block("operation", {k: v for k, v in o.model_dump().items() if k not in ("share", "work_ms", "cv")}, name)
        for name, o in s.operation.items()
    )
    loads = ""
    if s.load_reports:
        values = {k: v for k, v in s.load_reports.model_dump().items() if k not in SENDING}
        loads = block("load_reports", {**values, "listen": reports, "key_file": key or None})
    waits = {"wait_ms": 50, "wait_most_ms": 500, "lease_ms": s.lease_ms}
    shared = block("registry", {"address": roster, "charge": True, **waits})
    warm = any(h.warm_gain > 0 for h in s.host.values())
    return (
        f"zones = {hcl_value(s.zones)}\n"
        + block("steward", {"listen": listen, "seed": seed, "zone": s.zones[0], "number": me, "stewards": s.numbers,
                            "control": control or None, "peer_listen": peer_listen or None, "peers": peers})
        + block("store", {"path": store})
        + (block("roster", {"address": roster, "mode": s.roster.mode}) if s.stewards == 1 else shared)
        + block("slices", {"count": s.fleet.slices, "warm_keys": warm})
        + operations
        + block("rules", s.rules.model_dump())
        + block("channel", channel)
        + block("reports", s.reports.model_dump())
        + block("forwarders", {**s.forwarders.model_dump(), "count": s.fleet.forwarders})
        + block("probe", s.probe.model_dump())
        + block("door", {"listen": door})
        + loads
        + "".join(block("budget", b.model_dump(), name) for name, b in s.budget.items())
        + (block("budgets", {**s.budgets.model_dump(), "witness": witness or None}) if s.budget else "")
    )


def scenario_hcl(s: Scenario) -> str:
    """A scenario as the file that `load_scenario` reads back to the same."""
    top = ("name", "seconds", "zones", "time_scale", "publisher", "stewards", "lease_ms")
    out = "".join(f"{k} = {hcl_value(getattr(s, k))}\n" for k in top)
    for name in ("fleet", "traffic", "roster", "rules", "channel", "reports", "forwarders", "probe"):
        out += "\n" + block(name, getattr(s, name).model_dump())
    if s.load_reports:
        out += "\n" + block("load_reports", s.load_reports.model_dump())
    for kind, rows in (("host", s.host), ("operation", s.operation)):
        for label, row in rows.items():
            out += "\n" + block(kind, row.model_dump(), label)
    if s.budget:
        out += "\n" + block("budgets", s.budgets.model_dump())
    for label, budget in s.budget.items():
        out += "\n" + block("budget", budget.model_dump(), label)
    for f in s.fault:
        out += "\n" + block("fault", {k: v for k, v in f.model_dump().items() if k != "kind"}, f.kind)
    return out


REPEATS = {"safe": "idempotent", "keyed": "fingerprinted", "unsafe": "side-effecting"}


def from_day(day: dict[str, Any], name: str, scale: float = 1.0) -> Scenario:
    """A day as the bench's `draw` prints it, as a scenario. `scale` shrinks fleet and traffic alike.

    Raises `ConfigFault` with what the day lacks. Times of the day are microseconds; shapes of traffic in time
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
                share=max(n, 0.001), cores=k["cores"], waiting_room=max(1, k["queue"]),
                speed=round(sum(s["speed"] for s in start if s["kind"] == i) / max(n, 1) or 1.0, 3),
                warm_gain=round(min(0.8, fam.get("affinity_gain", 0.0) * fam.get("hits", 1.0)), 3),
            )
            for i, (k, n) in enumerate(zip(kinds, counts, strict=True))
        }  # fmt: skip
        cold = max((k["cold"] for k in kinds), default=10e6) / 1000.0
        most = day["rules"] if isinstance(day.get("rules"), dict) else {}
        faults = []
        for t in day["troubles"]:
            if t["kind"] not in KINDS:
                raise ConfigFault(f"trouble {t['kind']!r} of the day is not in the vocabulary")
            on = [n for n in t.get("on", []) if n < hosts]
            if t["kind"] in ("deploy", "preempt", "shrink", "grow"):
                on = []
            faults.append(
                Fault(
                    kind=t["kind"], at_s=t["at"] / 1e6, for_s=t["len"] / 1e6, size=t["size"], extra=t["extra"],
                    part=min(1.0, len(t.get("on", [])) / max(len(start), 1)) or 0.2, on=on, how=t.get("how", ""),
                )
            )  # fmt: skip
        late = fam.get("late", 100_000) / 1000.0
        forwarders = max(1, round(len(day["balancers"]) * scale) - len(fam.get("controllers", [0])))
        slices = max(hosts, round(fam["slices"] * scale))
        queue = max(fam["backlog"], fam["head"] * forwarders * 2.5)
        return Scenario(
            name=name,
            seconds=day["length"] / 1e6,
            zones=day["zones"],
            fleet=Fleet(
                hosts=hosts, forwarders=forwarders, slices=slices, slice_cv=fam.get("slice_cv", 0.5),
                transit_ms=late, sums_late_ms=fam.get("heard_late", 0) / 1000.0,
            ),
            host=host,
            operation={
                c["name"]: OperationTraffic(
                    repeat=REPEATS.get(c["effect"], "side-effecting"),  # type: ignore[arg-type]
                    latency_objective_ms=c["aim"] / 1000.0,
                    integration_timeout_ms=c["deadline"] / 1000.0, billed_value=c["worth"],
                    late_value=c["late_worth"], share=c["share"], work_ms=c["work"] / 1000.0, cv=c.get("cv", 0.5),
                )
                for c in classes
            },
            traffic=TrafficBlock(
                per_s=round(per_s, 2), retries=int(clients["retries"]), try_share=clients["try_share"],
                backoff_ms=max(1.0, clients["backoff_us"] / 1000.0),
            ),
            roster=RosterTraffic(
                mode="on_request" if disc["ask"] else "pushed", notice_ms=disc["notice"] / 1000.0,
                add_ms=disc["add"] / 1000.0,
            ),
            rules=RulesBlock(
                bare_most_ms=fam["bare"] / 1000.0, drain_grace_ms=day["drain_grace"] / 1000.0, cold_ms=cold,
                cold_from=min((k["cold_from"] for k in kinds), default=0.2), fall_ms=day["fall_for"] / 1000.0,
                fall_multiple=day["fall_multiple"], drain_binds_alone=bool(most.get("only_draining_binds", False)),
            ),
            channel=ChannelBlock(
                rate_lines_per_s=fam["rate"], head_lines=fam["head"], queue_most_lines=queue,
                messages_most=fam["messages_most"], transit_ms=late, transit_most_ms=late * 4,
            ),
            reports=ReportsBlock(every_ms=fam["period"] / 1000.0, lines_per_s=fam["intake"]),
            forwarders=ForwardersBlock(
                pick={"two": "p2c", "weighted": "random", "round": "rotate"}[fam["pick"]],  # type: ignore[arg-type]
                admission={"share": "fraction", "rate": "per_second", "none": "off"}[fam["admit"]],  # type: ignore[arg-type]
                usual_retry=fam["usual_how"], try_aims=fam["try_aims"], ejects=fam["ejects"],
            ),
            probe=ProbeBlock(allowed=day["allow"]["probes"]),
            fault=faults,
        )  # fmt: skip
    except (KeyError, TypeError, IndexError, ZeroDivisionError) as fault:
        raise ConfigFault(f"{name}: no day of the bench: {type(fault).__name__} {fault}") from None
