"""What happened: events, as the assigner takes them in."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


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
    Membership
    | ProbeDone
    | HostSums
    | SliceSums
    | ProxySums
    | SliceGiven
    | OnRecord
    | ProxyJoined
    | ProxyLeft
    | Acked
    | PeerMessage
    | Due
)
