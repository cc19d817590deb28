"""Blocks of a steward itself, its site and its forwarders."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, model_validator

from .blocks import Address, Block, Count, Ms, MsOrNone, Ratio
from .scheduling import WaitPolicyBlock


class ControllerBlock(Block):
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
    waits: WaitPolicyBlock | None = None
    no_host: Literal["refuse", "wait", "carry_over"] = "refuse"  # for a pinned run whose version no host serves
    no_host_wait_ms: MsOrNone = 2000.0  # wait, carry_over: for so long, then it is refused

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


class StoreBlock(Block):
    path: str
    sync: Literal["normal", "full"] = "normal"
    retry_ms: Ms = 250.0
    retry_most_ms: Ms = 5000.0
    snapshot_path: str | None = None  # state of the module beside the tables; none: a new life begins from the tables
    snapshot_every_ms: Annotated[float, Field(ge=100, le=3_600_000)] = 10_000.0
    log_most_mb: Annotated[float, Field(gt=0, le=100_000)] = 256.0  # of steps after a snapshot


class AdminBlock(Block):
    listen: Address
    connections_most: Annotated[int, Field(ge=1, le=10000)] = 32
    header_most_bytes: Annotated[int, Field(ge=128, le=1 << 20)] = 8192
    request_within_ms: Ms = 2000.0


class LogBlock(Block):
    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class RecordBlock(Block):
    most_mb: Annotated[float, Field(gt=0, le=1e6)] = 512.0


class PricesBlock(Block):
    probe: float = 0.0
    message: float = 0.0
    move: float = 0.0
