"""Events: the input of the assigner.

Times are in milliseconds on the clock of the caller of `Assigner.step`. `load` maps the names of the load values that
a host reports to these values.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum


class HostState(StrEnum):
    """State of a host according to the host list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True)
class HostEntry:
    """One entry of the host list.

    `weight` is relative to other hosts. `online_since` is the start time of the host's process, in ms.
    """

    host: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: HostState = HostState.UP
    weight: float = 1.0
    online_since: float = 0.0


class HostListKind(Enum):
    """Kind of a host list update."""

    CHANGES = "changes"  # only the changed entries; all others remain
    FULL = "full"  # all hosts
    SAVED = "saved"  # all hosts, as stored by this controller before it restarted
    FAILED = "failed"  # a poll of the list failed


@dataclass(frozen=True)
class HostListUpdate:
    """The host list, or changes of it. `version` is assigned by the source of the list."""

    kind: HostListKind
    version: int = 0
    entries: tuple[HostEntry, ...] = ()


class HealthCheckOutcome(Enum):
    """Outcome of a health check."""

    OK = "ok"
    ERROR = "error"  # the host responded that it is not healthy
    FULL = "full"  # not sent, as too many checks were in flight
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    OTHER = "other"


@dataclass(frozen=True)
class HealthCheckResult:
    """Result of a health check requested by `CheckHealth`."""

    host: int
    outcome: HealthCheckOutcome
    latency_ms: float = 0.0
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class HostUsageReport:
    """Attempts that the joined proxies of one zone made at a host during `span_ms`.

    `failed` is the number of `attempts` that were not answered; `latency_ms` is the mean latency of the answered ones.
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
    """Requests of one class received for a slice during `span_ms`, and how many of them were not answered."""

    slice: int
    request_class: int
    requests: int
    unanswered: int
    span_ms: float


@dataclass(frozen=True)
class ProxyUsageReport:
    """Requests of one class received by a proxy during `span_ms`, at sites without slices."""

    proxy: int
    request_class: int
    requests: int
    unanswered: int
    span_ms: float


@dataclass(frozen=True)
class SliceOwnershipChange:
    """This controller has become the owner of a slice, or is no longer its owner."""

    slice: int
    is_owned: bool


@dataclass(frozen=True)
class StoredWeight:
    """A table entry that was in the store when this controller became the owner of the slice."""

    slice: int
    host: int
    weight: float


@dataclass(frozen=True)
class ProxyJoined:
    """A proxy has connected.

    `requests_per_second` is the proxy's own rough estimate. `has_no_tables` is set if it starts without any tables.
    """

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
    """A proxy has applied all messages up to `version` (see `PublishVersion`), `latency_ms` after it was sent."""

    proxy: int
    version: int
    latency_ms: float = 0.0


@dataclass(frozen=True)
class AcksLost:
    """Acknowledgements may have been lost, as the source of events was unreachable for a time.

    `version` is the last one that is known to have been accepted for sending, `age_ms` ago. Whether proxies have
    applied it is not known, nor which of them have disconnected and joined again meanwhile.
    """

    version: int
    age_ms: float


@dataclass(frozen=True)
class PeerMessage:
    """Another controller has sent `payload` (see `SendToPeer`)."""

    sender: int
    payload: bytes


@dataclass(frozen=True)
class TimerFired:
    """A timer started by `StartTimer` has expired. `timer` is its number."""

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
    | AcksLost
    | PeerMessage
    | TimerFired
)
