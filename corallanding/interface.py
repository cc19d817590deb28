"""Typed events, actions and settings of the assigner. No logic lives here.

Times are milliseconds with fractions, on the caller's clock. Hosts, proxies, slices, zones, kinds and
operations go by the numbers that the caller uses for them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Repeat(Enum):
    """Whether an invocation may run again."""

    IDEMPOTENT = "idempotent"
    FINGERPRINTED = "fingerprinted"
    SIDE_EFFECTING = "side-effecting"


class Retry(IntEnum):
    """When a proxy tries another host."""

    NEVER = 0
    PROVEN_UNRUN = 1
    ONCE = 2
    TWICE = 3


@dataclass(frozen=True)
class Operation:
    name: str
    repeat: Repeat
    group: str  # fingerprinted: which hosts drop repeats: "all", "zone" or "cell"
    window: float  # fingerprinted: for how long they do
    billed_value: float
    late_value: float
    latency_objective: float
    integration_timeout: float
    writes: bool = False
    zone_bound: bool = False


@dataclass(frozen=True)
class Settings:
    operations: tuple[Operation, ...]
    zone: int = 0
    zones: int = 1
    stewards: int = 1
    me: int = 0
    slices: int = 0
    proxies: int = 1
    list_on_request: bool = False
    ask_within: float = 0.0
    listed_weights: str = "off"
    sole_owner: bool = False
    lease: float = 0.0
    in_flight_most: float = 0.0
    admission: str = "off"
    usual_retry: int = 0
    try_aims: float = 1.0
    pick: str = "p2c"
    ejects: int = 0
    bare_most: float = 5000.0
    drain_grace: float = 3000.0
    drain_binds_alone: bool = False
    cold: float = 10000.0
    cold_from: float = 0.2
    fall: float = 3000.0
    fall_multiple: float = 4.0
    channel_rate: float = 10000.0
    message_head: float = 8.0
    queue_most: float = 10000.0
    messages_most: int = 0
    messages_span: float = 10000.0
    transit: float = 200.0
    transit_most: float = 500.0
    report_every: float = 1000.0
    reports_per_s: float = 400.0
    may_probe: bool = False
    warm_keys: bool = False
    probe_price: float = 0.0
    message_price: float = 0.0
    move_price: float = 0.0
    load_in_probe: tuple[str, ...] = ()
    period: float = 1.0


# ---- what happened -----------------------------------------------------------------------------------


@dataclass(frozen=True)
class HostEntry:
    host: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: str = "up"  # "up", "draining" or "removed"
    weight: float = 1.0
    online_since: float = 0.0


class ListForm(Enum):
    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"


@dataclass(frozen=True)
class Membership:
    form: ListForm
    version: int = 0
    entries: tuple[HostEntry, ...] = ()


class ProbeEnd(Enum):
    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    OTHER = "other"


@dataclass(frozen=True)
class ProbeDone:
    host: int
    end: ProbeEnd
    latency: float = 0.0
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class HostSums:
    """What joined proxies of one zone met at a host over a span."""

    zone: int
    host: int
    tries: int
    errored: int
    latency: float
    span: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class SliceSums:
    """Invocations that came for a slice over a span."""

    slice: int
    operation: int
    invocations: int
    unanswered: int
    span: float


@dataclass(frozen=True)
class ProxySums:
    """Sites without slices: invocations that came to a proxy over a span."""

    proxy: int
    operation: int
    invocations: int
    unanswered: int
    span: float


@dataclass(frozen=True)
class SliceGiven:
    slice: int
    on: bool


@dataclass(frozen=True)
class OnRecord:
    slice: int
    host: int
    weight: float


@dataclass(frozen=True)
class ProxyJoined:
    proxy: int
    zone: int
    rate: float
    fresh: bool


@dataclass(frozen=True)
class ProxyLeft:
    proxy: int


@dataclass(frozen=True)
class Acked:
    proxy: int
    number: int
    latency: float = 0.0


@dataclass(frozen=True)
class PeerMessage:
    sender: int
    payload: bytes


@dataclass(frozen=True)
class Due:
    handle: int


Event = (
    Membership | ProbeDone | HostSums | SliceSums | ProxySums | SliceGiven | OnRecord | ProxyJoined
    | ProxyLeft
    | Acked | PeerMessage | Due
)  # fmt: skip


# ---- what is to be done ------------------------------------------------------------------------------


@dataclass(frozen=True)
class SetLine:
    slice: int
    host: int
    weight: float


ALL_TABLES = 65535


@dataclass(frozen=True)
class Level:
    slice: int  # or ALL_TABLES
    operations: int  # a bit an operation; 0 stands for all
    amount: float
    retry: Retry


@dataclass(frozen=True)
class Cordon:
    host: int
    on: bool


@dataclass(frozen=True)
class ResetTable:
    slice: int


@dataclass(frozen=True)
class Point:
    proxy: int
    table: int
    operations: int


@dataclass(frozen=True)
class Mark:
    number: int
    everyone: bool = False


@dataclass(frozen=True)
class Remind:
    after: float
    handle: int


@dataclass(frozen=True)
class Probe:
    host: int


@dataclass(frozen=True)
class Follow:
    on: bool = True


@dataclass(frozen=True)
class FetchList:
    pass


@dataclass(frozen=True)
class Tell:
    peer: int | None
    payload: bytes


@dataclass(frozen=True)
class Note:
    text: str


Action = (
    SetLine | Level | Cordon | ResetTable | Point
    | Mark | Remind | Probe | Follow | FetchList | Tell | Note
)  # fmt: skip
