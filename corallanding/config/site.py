"""Blocks of the controller itself, its site and its proxies."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, model_validator

from .blocks import Address, Block, Count, NonNegativeMs, PositiveMs, Ratio
from .scheduling import WaitPolicyBlock


class ControllerBlock(Block):
    """The controller itself: its number among the others, the interval of its decision steps, and its addresses."""

    listen: Address
    number: Annotated[int, Field(ge=0, le=65535)] = 0
    stewards: Count = 1
    seed: int = 0
    zone: str | None = None
    turn_ms: Annotated[float, Field(gt=0, le=1000)] = 2.0
    late_ms: PositiveMs = 100.0  # step delay from which the search for better owners is deferred
    busy_share: Annotated[float, Field(gt=0, le=1)] = 0.5  # or share of time in steps from which it is deferred
    put_off_most_ms: PositiveMs = 5000.0
    control: str | None = None  # path of a unix socket for `corallanding upgrade`
    upgrade_within_ms: PositiveMs = 5000.0  # timeout of each phase of a handover
    peers: dict[str, Address] = Field(default_factory=dict)
    peer_listen: Address | None = None


class OperationBlock(Block):
    """One request class: its latency objective and timeout, and how its requests may be retried, grouped and queued."""

    repeat: Literal["idempotent", "fingerprinted", "side-effecting"]
    latency_objective_ms: PositiveMs
    integration_timeout_ms: PositiveMs
    billed_value: Annotated[float, Field(ge=0)] = 1.0
    late_value: Ratio = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: NonNegativeMs = 5000.0
    writes: bool = False
    zone_bound: bool = False
    waits: WaitPolicyBlock | None = None
    no_host: Literal["refuse", "wait", "carry_over"] = "refuse"  # handling of a pinned run whose version no host serves
    no_host_wait_ms: NonNegativeMs = 2000.0  # wait, carry_over: time until the request is rejected

    @model_validator(mode="after")
    def check_times(self) -> OperationBlock:
        """Check that the latency objective is within the timeout. Raises ValueError."""
        if self.latency_objective_ms > self.integration_timeout_ms:
            raise ValueError("latency_objective_ms is above integration_timeout_ms")
        return self


class SlicesBlock(Block):
    """The slices of the key space. first, last: range that this controller decides on; default: all."""

    count: Annotated[int, Field(ge=0, le=65_534)]
    first: Annotated[int, Field(ge=0, le=65_534)] = 0
    last: Annotated[int, Field(ge=0, le=65_534)] | None = None
    sole_owner: bool = False
    lease_ms: NonNegativeMs = 0.0
    in_flight_most_ms: NonNegativeMs = 0.0
    warm_keys: bool = False

    @model_validator(mode="after")
    def check_range(self) -> SlicesBlock:
        """Check that the range is within `count`. Raises ValueError."""
        if self.last is not None and not self.first <= self.last < self.count:
            raise ValueError("first and last must name a range within count")
        return self


class RulesBlock(Block):
    """Limits of the assigner's five rules, and the warm-up of hosts."""

    bare_most_ms: PositiveMs = 5000.0
    drain_grace_ms: PositiveMs = 3000.0
    drain_binds_alone: bool = False
    cold_ms: PositiveMs = 10000.0
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.2
    fall_ms: PositiveMs = 3000.0
    fall_multiple: Annotated[float, Field(ge=1, le=100)] = 4.0


class ChannelBlock(Block):
    """The channel to the proxies: its rate, the overhead of a message, and its queue limit, counted in table lines."""

    rate_lines_per_s: Annotated[float, Field(gt=0, le=1e9)] = 10000.0
    head_lines: Annotated[float, Field(ge=0, le=10000)] = 8.0
    queue_most_lines: Annotated[float, Field(gt=0, le=1e9)] = 10000.0
    messages_most: Annotated[int, Field(ge=0, le=100000)] = 0
    messages_span_ms: PositiveMs = 10000.0
    transit_ms: NonNegativeMs = 20.0
    transit_most_ms: NonNegativeMs = 200.0


class ReportsBlock(Block):
    """Usage reports of proxies: their interval, and the rows per second that all proxies together may send."""

    every_ms: PositiveMs = 1000.0
    lines_per_s: Annotated[float, Field(gt=0, le=1e7)] = 400.0
    load_in_probe: list[str] = Field(default_factory=list)
    keys_most: Count = 100_000


class ForwardersBlock(Block):
    """The proxies, how they choose hosts and retry, and the limits of one connection."""

    count: Count = 1
    most: Annotated[int, Field(ge=1, le=65535)] = 4096
    pick: Literal["p2c", "random", "rotate"] = "p2c"
    admission: Literal["fraction", "per_second", "off"] = "fraction"
    usual_retry: Annotated[int, Field(ge=0, le=3)] = 0
    try_aims: Annotated[float, Field(gt=0, le=100)] = 1.0
    ejects: Annotated[int, Field(ge=0, le=1000)] = 0
    beat_ms: PositiveMs = 500.0
    silence_ms: PositiveMs = 2500.0
    hello_within_ms: PositiveMs = 2000.0
    frame_most_bytes: Annotated[int, Field(ge=256, le=1 << 26)] = 1 << 20
    frames_per_s: Annotated[float, Field(gt=0, le=1e6)] = 200.0
    buffer_most_bytes: Annotated[int, Field(ge=1024, le=1 << 30)] = 4 << 20
    bytes_per_s: Annotated[float, Field(ge=1024, le=1e9)] = 4e6
    ack_within_ms: PositiveMs = 15_000.0
    reads_per_s: Annotated[float, Field(gt=0, le=1e6)] = 200.0
    again_ms: PositiveMs = 500.0  # minimum time between two joins of one proxy; doubles while it keeps joining
    again_most_ms: PositiveMs = 15_000.0
    accepts_per_s: Annotated[float, Field(gt=0, le=1e6)] = 1000.0
    strangers_most: Annotated[int, Field(ge=1, le=65535)] = 256  # connections without a hello


class StoreBlock(Block):
    """The file of tables, and the snapshots and step logs beside it."""

    path: str
    sync: Literal["normal", "full"] = "normal"
    retry_ms: PositiveMs = 250.0
    retry_most_ms: PositiveMs = 5000.0
    snapshot_path: str | None = None  # the assigner's state; if not set, a start uses the stored tables
    snapshot_every_ms: Annotated[float, Field(ge=100, le=3_600_000)] = 10_000.0
    log_most_mb: Annotated[float, Field(gt=0, le=100_000)] = 256.0  # size of the step log after a snapshot


class AdminBlock(Block):
    """The admin server, and the limits of one of its connections."""

    listen: Address
    connections_most: Annotated[int, Field(ge=1, le=10000)] = 32
    header_most_bytes: Annotated[int, Field(ge=128, le=1 << 20)] = 8192
    request_within_ms: PositiveMs = 2000.0


class LogBlock(Block):
    """Form and level of the log."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class RecordBlock(Block):
    """Recordings of the decisions. most_mb: size at which a recording ends."""

    most_mb: Annotated[float, Field(gt=0, le=1e6)] = 512.0


class PricesBlock(Block):
    """Price of each kind of action in the assigner's choices."""

    probe: float = 0.0
    message: float = 0.0
    move: float = 0.0
