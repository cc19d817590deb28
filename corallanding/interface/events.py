"""Events: what happened, as the assigner takes it in.

Times are in milliseconds on the clock of the caller of `Assigner.step`; `load` maps a name that the host reports to its
value.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum


class HostState(StrEnum):
    """What the host list says of a host."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True)
class HostEntry:
    """One row of the host list. `weight` is relative to others; `online_since` is when its process started, in ms."""

    host: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: HostState = HostState.UP
    weight: float = 1.0
    online_since: float = 0.0


class HostListKind(Enum):
    """How a host list update is to be read."""

    CHANGES = "changes"  # entries that differ from before; the others stay
    FULL = "full"  # every host there is
    SAVED = "saved"  # every host, as this controller had stored the list before it started
    FAILED = "failed"  # a poll of the list failed


@dataclass(frozen=True)
class HostListUpdate:
    """The host list, or changes of it. `version` is the one that the list's source gave."""

    kind: HostListKind
    version: int = 0
    entries: tuple[HostEntry, ...] = ()


class HealthCheckOutcome(Enum):
    """How a health check ended."""

    OK = "ok"
    ERROR = "error"  # the host answered that it is not healthy
    FULL = "full"  # not sent: too many checks were in flight
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    OTHER = "other"


@dataclass(frozen=True)
class HealthCheckResult:
    """A health check that was asked for by `CheckHealth` has ended."""

    host: int
    outcome: HealthCheckOutcome
    latency_ms: float = 0.0
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class HostUsageReport:
    """What joined proxies of one zone observed at a host during `span_ms`.

    `attempts` counts requests sent there, `failed` those of them that were not answered; `latency_ms` is the mean of
    the answered ones.
    """

    zone: int
    host: int
    attempts: int
    failed: int
    latency_ms: float
    span_ms: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class SliceUsageReport:
    """Requests of one class that came for a slice during `span_ms`, and how many of them got no answer."""

    slice: int
    request_class: int
    requests: int
    unanswered: int
    span_ms: float


@dataclass(frozen=True)
class ProxyUsageReport:
    """The same for one proxy, at sites without slices."""

    proxy: int
    request_class: int
    requests: int
    unanswered: int
    span_ms: float


@dataclass(frozen=True)
class SliceOwnershipChange:
    """This controller now decides on a slice, or no longer does."""

    slice: int
    is_owned: bool


@dataclass(frozen=True)
class StoredWeight:
    """A table entry that the store held when this controller became the owner of the slice."""

    slice: int
    host: int
    weight: float


@dataclass(frozen=True)
class ProxyJoined:
    """A proxy has connected. `requests_per_second` is its own rough estimate; `has_no_tables` if it starts empty."""

    proxy: int
    zone: int
    requests_per_second: float
    has_no_tables: bool


@dataclass(frozen=True)
class ProxyLeft:
    """A proxy has disconnected."""

    proxy: int


@dataclass(frozen=True)
class VersionAcked:
    """A proxy has applied every message up to `version` (see `PublishVersion`), `latency_ms` after it was sent."""

    proxy: int
    version: int
    latency_ms: float = 0.0


@dataclass(frozen=True)
class PeerMessage:
    """Another controller has sent `payload` (see `SendToPeer`)."""

    sender: int
    payload: bytes


@dataclass(frozen=True)
class TimerFired:
    """The time of a `StartTimer` with this number has come."""

    timer: int


Event = (
    HostListUpdate
    | HealthCheckResult
    | HostUsageReport
    | SliceUsageReport
    | ProxyUsageReport
    | SliceOwnershipChange
    | StoredWeight
    | ProxyJoined
    | ProxyLeft
    | VersionAcked
    | PeerMessage
    | TimerFired
)
