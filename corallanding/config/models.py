"""The steward's configuration: every setting that the module reads has a key here, a unit and a check."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, model_validator

from .. import interface as api
from .blocks import Address, Block, Count, Ms, MsOrNone, Ratio
from .budgets import BudgetBlock, BudgetsBlock
from .hcl import load


class Identity(Block):
    listen: Address
    number: Annotated[int, Field(ge=0, le=65535)] = 0
    stewards: Count = 1
    seed: int = 0
    zone: str | None = None
    turn_ms: Annotated[float, Field(gt=0, le=1000)] = 2.0
    late_ms: Ms = 100.0  # lateness of its own from which a steward puts off looking for better owners
    busy_share: Annotated[float, Field(gt=0, le=1)] = 0.5  # or part of the time that its steps fill
    put_off_most_ms: Ms = 5000.0
    control: str | None = None  # a unix socket for `corallanding upgrade`
    upgrade_within_ms: Ms = 5000.0  # for each phase of a handover
    peers: dict[str, Address] = {}
    peer_listen: Address | None = None


class OperationBlock(Block):
    repeat: Literal["idempotent", "fingerprinted", "side-effecting"]
    latency_objective_ms: Ms
    integration_timeout_ms: Ms
    billed_value: Annotated[float, Field(ge=0)] = 1.0
    late_value: Ratio = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: MsOrNone = 5000.0
    writes: bool = False
    zone_bound: bool = False

    @model_validator(mode="after")
    def ordered(self) -> OperationBlock:
        if self.latency_objective_ms > self.integration_timeout_ms:
            raise ValueError("latency_objective_ms is above integration_timeout_ms")
        return self


class SlicesBlock(Block):
    count: Annotated[int, Field(ge=0, le=65_534)]
    first: Annotated[int, Field(ge=0, le=65_534)] = 0
    last: Annotated[int, Field(ge=0, le=65_534)] | None = None
    sole_owner: bool = False
    lease_ms: MsOrNone = 0.0
    in_flight_most_ms: MsOrNone = 0.0
    warm_keys: bool = False

    @model_validator(mode="after")
    def inside(self) -> SlicesBlock:
        if self.last is not None and not self.first <= self.last < self.count:
            raise ValueError("first and last must name a range within count")
        return self


class RulesBlock(Block):
    bare_most_ms: Ms = 5000.0
    drain_grace_ms: Ms = 3000.0
    drain_binds_alone: bool = False
    cold_ms: Ms = 10000.0
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.2
    fall_ms: Ms = 3000.0
    fall_multiple: Annotated[float, Field(ge=1, le=100)] = 4.0


class ChannelBlock(Block):
    rate_lines_per_s: Annotated[float, Field(gt=0, le=1e9)] = 10000.0
    head_lines: Annotated[float, Field(ge=0, le=10000)] = 8.0
    queue_most_lines: Annotated[float, Field(gt=0, le=1e9)] = 10000.0
    messages_most: Annotated[int, Field(ge=0, le=100000)] = 0
    messages_span_ms: Ms = 10000.0
    transit_ms: MsOrNone = 20.0
    transit_most_ms: MsOrNone = 200.0


class ReportsBlock(Block):
    every_ms: Ms = 1000.0
    lines_per_s: Annotated[float, Field(gt=0, le=1e7)] = 400.0
    load_in_probe: list[str] = []
    keys_most: Count = 100_000


class ForwardersBlock(Block):
    count: Count = 1
    most: Annotated[int, Field(ge=1, le=65535)] = 4096
    pick: Literal["p2c", "random", "rotate"] = "p2c"
    admission: Literal["fraction", "per_second", "off"] = "fraction"
    usual_retry: Annotated[int, Field(ge=0, le=3)] = 0
    try_aims: Annotated[float, Field(gt=0, le=100)] = 1.0
    ejects: Annotated[int, Field(ge=0, le=1000)] = 0
    beat_ms: Ms = 500.0
    silence_ms: Ms = 2500.0
    hello_within_ms: Ms = 2000.0
    frame_most_bytes: Annotated[int, Field(ge=256, le=1 << 26)] = 1 << 20
    frames_per_s: Annotated[float, Field(gt=0, le=1e6)] = 200.0
    buffer_most_bytes: Annotated[int, Field(ge=1024, le=1 << 30)] = 4 << 20
    bytes_per_s: Annotated[float, Field(ge=1024, le=1e9)] = 4e6
    ack_within_ms: Ms = 15_000.0
    reads_per_s: Annotated[float, Field(gt=0, le=1e6)] = 200.0
    again_ms: Ms = 500.0  # between two joins or reads of one forwarder; doubles while it keeps coming back
    again_most_ms: Ms = 15_000.0
    accepts_per_s: Annotated[float, Field(gt=0, le=1e6)] = 1000.0
    strangers_most: Annotated[int, Field(ge=1, le=65535)] = 256  # links that have not said hello


class RosterBlock(Block):
    address: Address | None = None
    mode: Literal["pushed", "on_request"] = "pushed"
    ask_within_ms: Ms = 10000.0
    weights: Literal["off", "nominal", "rough", "live"] = "off"
    hosts_most: Count = 10_000
    line_most_bytes: Annotated[int, Field(ge=1024, le=1 << 28)] = 4 << 20
    wait_ms: Ms = 100.0
    wait_most_ms: Ms = 2000.0
    timeout_ms: Ms = 2000.0


class RegistryBlock(Block):
    """A key-value registry as the source of hosts. See docs/registry.md; times in ms."""

    kind: Literal["etcd", "consul"] = "etcd"
    address: Address
    others: Annotated[list[Address], Field(max_length=16)] = []  # further members of the same registry
    prefix: Annotated[str, Field(min_length=1, max_length=200)] = "/corallanding/hosts/"
    timeout_ms: Ms = 2000.0
    wait_ms: Ms = 100.0
    wait_most_ms: Ms = 10000.0
    reads_per_min: Annotated[float, Field(gt=0, le=6000)] = 6.0
    page: Annotated[int, Field(ge=1, le=100000)] = 1000
    block_ms: Ms = 10000.0
    token_file: str | None = None
    ca_file: str | None = None
    certificate_file: str | None = None
    key_file: str | None = None
    server_name: str | None = None
    charge: bool = False  # slices and tables are shared with other stewards there
    base: Annotated[str, Field(min_length=1, max_length=200)] = "/corallanding/stewards/"
    lease_ms: Annotated[float, Field(ge=1000, le=600_000)] = 5000.0
    write_within_ms: Ms = 500.0
    retire_within_ms: Ms = 5000.0

    @model_validator(mode="after")
    def paired(self) -> RegistryBlock:
        if (self.certificate_file is None) != (self.key_file is None):
            raise ValueError("certificate_file and key_file stand together")
        if self.certificate_file and not self.ca_file:
            raise ValueError("certificate_file needs ca_file")
        if self.kind == "consul" and self.ca_file:
            raise ValueError("ca_file: TLS is for kind etcd")
        if self.kind == "consul" and self.others:
            raise ValueError("others: further members are for kind etcd")
        if self.kind == "consul" and self.charge:
            raise ValueError("charge: leases and fenced writes are for kind etcd")
        if self.prefix.startswith(self.base):
            raise ValueError("base holds prefix: hosts and stewards need places of their own")
        return self


class ProbeBlock(Block):
    allowed: bool = True
    path: Annotated[str, Field(pattern=r"^/[!-~]*$", max_length=200)] = "/health"
    timeout_ms: Ms = 250.0
    most_in_flight: Annotated[int, Field(ge=1, le=10000)] = 16
    most_waiting: Annotated[int, Field(ge=1, le=100000)] = 1000


class StoreBlock(Block):
    path: str
    sync: Literal["normal", "full"] = "normal"
    retry_ms: Ms = 250.0
    retry_most_ms: Ms = 5000.0
    snapshot_path: str | None = None  # state of the module beside the tables; none: a new life begins from the tables
    snapshot_every_ms: Annotated[float, Field(ge=100, le=3_600_000)] = 10_000.0
    log_most_mb: Annotated[float, Field(gt=0, le=100_000)] = 256.0  # of steps after a snapshot


class DoorBlock(Block):
    listen: Address
    connections_most: Annotated[int, Field(ge=1, le=10000)] = 32
    header_most_bytes: Annotated[int, Field(ge=128, le=1 << 20)] = 8192
    request_within_ms: Ms = 2000.0


class LogBlock(Block):
    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class RecordBlock(Block):
    most_mb: Annotated[float, Field(gt=0, le=1e6)] = 512.0


class LoadReportsBlock(Block):
    """Load reports of hosts. See docs/reports.md; times in ms."""

    listen: Address
    key_file: str | None = None
    half_life_ms: Ms = 5000.0
    expiry_ms: Ms = 20000.0
    window_ms: Ms = 5000.0
    step: Annotated[float, Field(ge=0.05, le=1)] = 0.25
    floor: Annotated[float, Field(ge=0.1, le=1)] = 0.5
    busy_from: Annotated[float, Field(gt=0, le=1)] = 0.4
    tolerance: Annotated[float, Field(ge=0, le=2)] = 0.4
    gain: Annotated[float, Field(gt=0, le=1)] = 0.5
    reporting_least: Ratio = 0.5
    changes_most: Annotated[float, Field(gt=0, le=1)] = 0.1
    stuck_after_ms: Ms = 60000.0
    processes_most: Annotated[int, Field(ge=1, le=65536)] = 64
    sender_rate: Annotated[float, Field(gt=0, le=1000)] = 4.0
    sender_burst: Annotated[float, Field(ge=1, le=1000)] = 4.0
    reports_per_s: Annotated[float, Field(ge=1, le=1e6)] = 2000.0
    tick_ms: Annotated[float, Field(ge=1, le=1000)] = 50.0
    streams_most: Annotated[int, Field(ge=0, le=10000)] = 256
    buffer_bytes: Annotated[int, Field(ge=4096, le=1 << 28)] = 4 << 20

    @model_validator(mode="after")
    def ordered(self) -> LoadReportsBlock:
        if self.expiry_ms < 2 * self.half_life_ms:
            raise ValueError("expiry_ms is under two half lives")
        return self


class PricesBlock(Block):
    probe: float = 0.0
    message: float = 0.0
    move: float = 0.0


class StewardConfig(Block):
    steward: Identity
    store: StoreBlock
    roster: RosterBlock = RosterBlock()
    registry: RegistryBlock | None = None
    slices: SlicesBlock
    operation: Annotated[dict[str, OperationBlock], Field(min_length=1, max_length=30)]
    zones: Annotated[list[str], Field(min_length=1, max_length=65535)] = ["all"]
    rules: RulesBlock = RulesBlock()
    channel: ChannelBlock = ChannelBlock()
    reports: ReportsBlock = ReportsBlock()
    forwarders: ForwardersBlock = ForwardersBlock()
    probe: ProbeBlock = ProbeBlock()
    door: DoorBlock | None = None
    log: LogBlock = LogBlock()
    record: RecordBlock = RecordBlock()
    prices: PricesBlock = PricesBlock()
    load_reports: LoadReportsBlock | None = None
    budget: dict[str, BudgetBlock] = {}
    budgets: BudgetsBlock = BudgetsBlock()

    @model_validator(mode="after")
    def shared(self) -> StewardConfig:
        me, peers = self.steward.number, {int(n) for n in self.steward.peers if n.isdigit()}
        for name, one in self.budget.items():
            if fault := one.fault(name, self.stewards_most):
                raise ValueError(fault)
        if not self.budget:
            return self
        if self.stewards_most > 1 and not (self.steward.peers and self.steward.peer_listen):
            raise ValueError("budget: with more than one steward it needs steward.peer_listen and steward.peers")
        if len(peers) < len(self.steward.peers) or me in peers:
            raise ValueError("steward.peers: keys must be numbers of other stewards")
        if max([me, *peers]) >= self.stewards_most:
            raise ValueError(f"budgets.stewards_most is {self.stewards_most}: all numbers must be below")
        if strange := sorted(set(self.budgets.voters) - {me, *peers}):
            raise ValueError(f"budgets.voters: {strange} are neither this steward nor peers")
        return self

    @property
    def stewards_most(self) -> int:
        return self.budgets.stewards_most or self.steward.stewards

    @model_validator(mode="after")
    def whole(self) -> StewardConfig:
        if self.steward.zone is not None and self.steward.zone not in self.zones:
            raise ValueError(f"steward.zone {self.steward.zone!r} is not one of zones")
        if self.steward.number >= self.steward.stewards:
            raise ValueError("steward.number must be below steward.stewards")
        if self.store.snapshot_path and self.registry and self.registry.charge:
            raise ValueError("store.snapshot_path: with registry.charge slices move between stewards; not both")
        if (self.roster.address is None) == (self.registry is None):
            raise ValueError("roster.address or a registry block must stand, and not both")
        if self.registry and self.roster.mode != "pushed":
            raise ValueError("roster.mode is pushed where a registry is followed")
        # One message with every slice's two lines must fit for each forwarder, or a start cannot be published.
        least = self.channel.head_lines * 2 + 4
        if self.channel.queue_most_lines < least * self.forwarders.count:
            need = least * self.forwarders.count
            raise ValueError(f"channel.queue_most_lines holds no message for each forwarder ({need:g} needed)")
        return self


def load_steward(path: str | Path) -> StewardConfig:
    """A steward's configuration file. Raises `ConfigFault`."""
    return load(path, StewardConfig)


def settings(c: StewardConfig) -> api.Settings:
    """What the module is given of it."""
    operations = tuple(
        api.Operation(
            name, api.Repeat(o.repeat), o.group, o.window_ms, o.billed_value, o.late_value,
            o.latency_objective_ms, o.integration_timeout_ms, o.writes, o.zone_bound,
        )
        for name, o in c.operation.items()
    )  # fmt: skip
    return api.Settings(
        operations=operations,
        zone=c.zones.index(c.steward.zone) if c.steward.zone else 0,
        zones=len(c.zones),
        stewards=c.steward.stewards,
        me=c.steward.number,
        slices=c.slices.count,
        proxies=c.forwarders.count,
        list_on_request=c.roster.mode == "on_request",
        ask_within=c.roster.ask_within_ms,
        listed_weights=c.roster.weights,
        sole_owner=c.slices.sole_owner,
        lease=c.slices.lease_ms,
        in_flight_most=c.slices.in_flight_most_ms,
        admission=c.forwarders.admission,
        usual_retry=c.forwarders.usual_retry,
        try_aims=c.forwarders.try_aims,
        pick=c.forwarders.pick,
        ejects=c.forwarders.ejects,
        bare_most=c.rules.bare_most_ms,
        drain_grace=c.rules.drain_grace_ms,
        drain_binds_alone=c.rules.drain_binds_alone,
        cold=c.rules.cold_ms,
        cold_from=c.rules.cold_from,
        fall=c.rules.fall_ms,
        fall_multiple=c.rules.fall_multiple,
        channel_rate=c.channel.rate_lines_per_s,
        message_head=c.channel.head_lines,
        queue_most=c.channel.queue_most_lines,
        messages_most=c.channel.messages_most,
        messages_span=c.channel.messages_span_ms,
        transit=c.channel.transit_ms,
        transit_most=c.channel.transit_most_ms,
        report_every=c.reports.every_ms,
        reports_per_s=c.reports.lines_per_s,
        may_probe=c.probe.allowed,
        warm_keys=c.slices.warm_keys,
        probe_price=c.prices.probe,
        message_price=c.prices.message,
        move_price=c.prices.move,
        load_in_probe=tuple(c.reports.load_in_probe),
        period=c.steward.turn_ms,
    )
