"""Frames between a proxy and a controller. `docs/protocol.md` describes the protocol for others.

Times are milliseconds; hosts, slices and request classes are the controller's numbers. The order of the fields and the
tags are the wire; names of classes and fields are not.
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

    session: names the proxy's process. is_fresh: it holds no table of this controller. start_number, seq: of the newest
    message of this controller that it applied. features: what else it supports: 1 workflow runs, 2 jobs that may wait.
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
    """The message that carried this version, and all before it, are applied."""

    version: ShortNumber


class UsageReport(Frame, tag="sums"):
    """What the proxy counted over the last `span_ms`.

    hosts: [host, attempts, failed, mean latency in ms of the successful ones]; slices: [slice, request class, requests,
    unanswered]; request_classes (sites without slices): [request class, requests, unanswered].
    """

    span_ms: Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
    hosts: list[tuple[Number, Number, Number, Amount]] = msgspec.field(default_factory=list)
    slices: list[tuple[Number, Number, Number, Number]] = msgspec.field(default_factory=list)
    request_classes: list[tuple[Number, Number, Number]] = msgspec.field(default_factory=list)


class HeldTables(Frame, tag="held"):
    """Answers a `HeldTablesRequest`: the tables as the proxy holds them, as of message `seq` of that start."""

    start_number: Number
    seq: SequenceNumber
    tables: list[tuple[Number, list[tuple[Number, Amount]]]]


class TablesRequest(Frame, tag="read"):
    """Asks for all tables again, as after joining."""


class Heartbeat(Frame, tag="beat"):
    """Sign of life, from either side. The answer of the proxy repeats `sent_at_ms`."""

    sent_at_ms: float = 0.0


# ---- from the controller -------------------------------------------------------------------------------------


class Welcome(Frame, tag="welcome"):
    """Answers a hello: the controller's number, its start number, and the intervals that the proxy keeps."""

    version: int
    controller: int
    start_number: int
    heartbeat_interval_ms: float
    silence_timeout_ms: float
    report_interval_ms: float
    slice_count: int


LevelRow = tuple[int, int, float, int]
"""Admission level: table (65535: all), bits of the request classes (0: all), amount, retry."""


class Tables(Frame, tag="tables"):
    """The tables as stored: replaces all that the proxy holds from this controller, cordons included.

    tables: [table, [[host, weight], ...]] for each table that this controller owns; it owns no others. addresses: host
    to "ip:port" for every host named. assigned_tables (sites without slices): table, bits of the request classes.
    only_slices: if not empty, only these slices are replaced, and the proxy keeps the rest.
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
    """Changes of the tables that one decision step ordered: one message a proxy, applied in the order of the fields.

    version: -1, or the number to acknowledge. reset_tables: emptied first. lines: [table, host, weight]; weight 0
    removes the line. addresses: "ip:port" of every host that a line names with a weight above 0. withdrawn_slices: no
    longer owned by this controller.
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
    """Comes between welcome and tables: asks a proxy for the tables that it holds, which are newer than what the store
    returned. Answered by `HeldTables` at once."""


class Goodbye(Frame, tag="bye"):
    """The last frame of a link, from either side: why it is closed."""

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
"""What a proxy sends."""

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
"""What a controller sends."""

controller_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(ProxyFrame)
"""Decodes at a controller what proxies send."""

proxy_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(ControllerFrame)
"""Decodes at a proxy what controllers send."""
