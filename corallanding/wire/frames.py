"""Frames between a proxy and a controller. `docs/protocol.md` specifies the protocol.

Times are in milliseconds; hosts, slices and request classes are identified by the controller's numbers. The tags and
the order of the fields are the wire format; names of classes and fields are not part of it.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from .codec import (
    LENGTH_BYTES,
    PROTOCOL_VERSION,
    Amount,
    Frame,
    FrameReader,
    HostWeights,
    Number,
    SequenceNumber,
    ShortNumber,
    Text,
    encode,
)
from .errors import LinkError, MalformedFrameError, OversizedFrameError, UnexpectedFrameError, UnsupportedVersionError
from .job_frames import JobAdmission, JobRelease, JobSubmission, JobWithdrawal
from .run_frames import RunQuery, RunRoutes, RunVersions

__all__ = [
    "LENGTH_BYTES",
    "PROTOCOL_VERSION",
    "Ack",
    "Frame",
    "FrameReader",
    "Goodbye",
    "Heartbeat",
    "HeldTables",
    "HeldTablesRequest",
    "Hello",
    "JobAdmission",
    "JobRelease",
    "JobSubmission",
    "JobWithdrawal",
    "LevelRow",
    "LinkError",
    "MalformedFrameError",
    "Orders",
    "OversizedFrameError",
    "RunQuery",
    "RunRoutes",
    "RunVersions",
    "Tables",
    "TablesRequest",
    "UnexpectedFrameError",
    "UnsupportedVersionError",
    "UsageReport",
    "Welcome",
    "controller_decoder",
    "encode",
    "proxy_decoder",
]

# ---- from a proxy --------------------------------------------------------------------------------------------


class Hello(Frame, tag="hello"):
    """First frame of a link.

    session: identifies the proxy's process. is_fresh: the proxy has no table of this controller. start_number, seq: of
    the newest message of this controller that the proxy applied. features: bit mask of optional features: 1 workflow
    runs, 2 jobs that may wait.
    """

    version: int
    proxy: ShortNumber
    session: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    zone: ShortNumber = 0
    requests_per_second: Amount = 0.0
    is_fresh: bool = True
    start_number: Number = 0
    seq: SequenceNumber = 0
    features: Number = 0


class Ack(Frame, tag="ack"):
    """Confirms that the message with this version, and all earlier ones, are applied."""

    version: ShortNumber


class UsageReport(Frame, tag="sums"):
    """Counts of the proxy over the last `span_ms`.

    hosts: [host, attempts, failed, mean latency in ms of the successful ones]; slices: [slice, request class, requests,
    unanswered]; request_classes (sites without slices): [request class, requests, unanswered].
    """

    span_ms: Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
    hosts: list[tuple[Number, Number, Number, Amount]] = msgspec.field(default_factory=list)
    slices: list[tuple[Number, Number, Number, Number]] = msgspec.field(default_factory=list)
    request_classes: list[tuple[Number, Number, Number]] = msgspec.field(default_factory=list)


class HeldTables(Frame, tag="held"):
    """Response to a `HeldTablesRequest`: the proxy's tables as of message `seq` of the start `start_number`."""

    start_number: Number
    seq: SequenceNumber
    tables: list[tuple[Number, list[tuple[Number, Amount]]]]


class TablesRequest(Frame, tag="read"):
    """Requests all tables again, as after joining."""


class Heartbeat(Frame, tag="beat"):
    """Heartbeat, from either side. The response of the proxy repeats `sent_at_ms`."""

    sent_at_ms: float = 0.0


# ---- from the controller -------------------------------------------------------------------------------------


class Welcome(Frame, tag="welcome"):
    """Response to a hello: the controller's number, its start number, and the intervals that the proxy must use."""

    version: int
    controller: int
    start_number: int
    heartbeat_interval_ms: float
    silence_timeout_ms: float
    report_interval_ms: float
    slice_count: int


LevelRow = tuple[int, int, float, int]
"""Admission level: table (65535: all), bit mask of the request classes (0: all), amount, retry mode."""


class Tables(Frame, tag="tables"):
    """The stored tables: replaces everything that the proxy has from this controller, including cordons.

    tables: [table, [[host, weight], ...]] for each table that this controller owns; it owns no others. addresses: host
    to "ip:port" for every host mentioned. assigned_tables (sites without slices): [table, bit mask of the request
    classes]. only_slices: if not empty, only these slices are replaced and the proxy keeps all others.
    """

    seq: int
    tables: list[tuple[int, HostWeights]]
    levels: list[LevelRow] = msgspec.field(default_factory=list)
    cordons: list[int] = msgspec.field(default_factory=list)
    addresses: dict[int, str] = msgspec.field(default_factory=dict)
    assigned_tables: list[tuple[int, int]] = msgspec.field(default_factory=list)
    only_slices: list[int] = msgspec.field(default_factory=list)
    version: int = -1


class Orders(Frame, tag="orders"):
    """Table changes of one decision step: one message per proxy, applied in the order of the fields.

    version: the number to acknowledge, or -1. reset_tables: tables to clear first. lines: [table, host, weight]; weight
    0 removes the line. addresses: "ip:port" of every host in a line with a weight above 0. withdrawn_slices: slices
    that this controller no longer owns.
    """

    seq: int
    version: int = -1
    reset_tables: list[int] = msgspec.field(default_factory=list)
    lines: list[tuple[int, int, float]] = msgspec.field(default_factory=list)
    levels: list[LevelRow] = msgspec.field(default_factory=list)
    cordons: list[tuple[int, bool]] = msgspec.field(default_factory=list)
    assigned_tables: list[tuple[int, int]] = msgspec.field(default_factory=list)
    addresses: dict[int, str] = msgspec.field(default_factory=dict)
    withdrawn_slices: list[int] = msgspec.field(default_factory=list)


class HeldTablesRequest(Frame, tag="recall"):
    """Sent between welcome and tables: requests the proxy's tables, which are newer than those that the store returned.
    The proxy responds with `HeldTables` at once."""


class Goodbye(Frame, tag="bye"):
    """Last frame of a link, from either side: the reason for closing it."""

    code: Text
    text: Text = ""


ProxyFrame = (
    Hello
    | Ack
    | UsageReport
    | HeldTables
    | TablesRequest
    | Heartbeat
    | Goodbye
    | RunQuery
    | JobSubmission
    | JobWithdrawal
)
"""Frames that a proxy sends."""

ControllerFrame = (
    Welcome
    | Tables
    | Orders
    | HeldTablesRequest
    | Heartbeat
    | Goodbye
    | RunVersions
    | RunRoutes
    | JobAdmission
    | JobRelease
)
"""Frames that a controller sends."""

controller_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(ProxyFrame)
"""Decodes the frames of proxies, for a controller."""

proxy_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(ControllerFrame)
"""Decodes the frames of controllers, for a proxy."""
