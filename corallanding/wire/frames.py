"""Frames between a proxy and a controller. `docs/protocol.md` specifies the protocol.

Times are in milliseconds. Hosts, slices and request classes are identified by the numbers of the host list and of the
controllers' configuration. The tags and the order of the fields are the wire format; names of classes and fields are
not part of it. `version` is the version of the protocol in `Hello` and `Welcome`, that of the tables in other frames.
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

    session: identifies the proxy's process; a restarted proxy sends another one. zone: number of the proxy's zone.
    requests_per_second: the proxy's rate of requests. is_fresh: the proxy has no table of this controller.
    start_number, seq: the newest message that the proxy applied: number of the controller's start that sent it, and
    sequence number within that start. features: bit mask of optional features: 1 workflow runs, 2 queued jobs.
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
    """Confirms that the message with this table version, and all earlier ones, are applied."""

    version: ShortNumber


class UsageReport(Frame, tag="sums"):
    """Counts of the proxy over the last `span_ms`.

    hosts: [host, attempts, failed attempts, mean latency in ms of the successful ones]; a retry is a further attempt of
    the same request. slices: [slice, request class, requests, requests without a successful attempt]. request_classes
    (sites without slices): as `slices`, without the slice.
    """

    span_ms: Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
    hosts: list[tuple[Number, Number, Number, Amount]] = msgspec.field(default_factory=list)
    slices: list[tuple[Number, Number, Number, Number]] = msgspec.field(default_factory=list)
    request_classes: list[tuple[Number, Number, Number]] = msgspec.field(default_factory=list)


class HeldTables(Frame, tag="held"):
    """Response to a `HeldTablesRequest`: the proxy's tables.

    start_number, seq: the newest message that they include, as in `Hello`. tables: [table, [[host, weight], ...]].
    """

    start_number: Number
    seq: SequenceNumber
    tables: list[tuple[Number, list[tuple[Number, Amount]]]]


class TablesRequest(Frame, tag="read"):
    """Requests all tables again, as after joining."""


class Heartbeat(Frame, tag="beat"):
    """Heartbeat, from either side.

    sent_at_ms: send time on the sender's clock. A proxy's response to a heartbeat repeats the `sent_at_ms` of that one.
    """

    sent_at_ms: float = 0.0


# ---- from the controller -------------------------------------------------------------------------------------


class Welcome(Frame, tag="welcome"):
    """Response to a hello.

    start_number: increases each time the controller opens its store. heartbeat_interval_ms: time between heartbeats of
    each side. silence_timeout_ms: a connection on which nothing arrives for so long is closed. report_interval_ms: time
    between usage reports of the proxy. slice_count: number of slices of the site; 0 at sites without slices.
    """

    version: int
    controller: int
    start_number: int
    heartbeat_interval_ms: float
    silence_timeout_ms: float
    report_interval_ms: float
    slice_count: int


LevelRow = tuple[int, int, float, int]
"""Admission level: table, bit mask of the request classes (0: all), amount to admit, retry mode.

A table number is the number of a slice, or of an assigned table at sites without slices; 65535 means all tables. The
amount is a fraction of requests or requests per second, depending on `Settings.admission`. Retry modes: `RetryMode`.
"""


class Tables(Frame, tag="tables"):
    """The published tables of this controller: all of them after a join, or those of some slices.

    If `only_slices` is empty, the message replaces everything that the proxy has from this controller, including levels
    and cordons, and the controller owns no other tables. Else it replaces only the tables of these slices, and the
    proxy keeps the rest. tables: [table, [[host, weight], ...]]. cordons: hosts that receive no requests. addresses:
    host to "ip:port" for every host in `tables`. assigned_tables (sites without slices): [table, bit mask of the
    request classes]. version: as in `Orders`.
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
    """Changes of the tables, for instance those of one decision step; applied in the order of the fields.

    version: the number to acknowledge, or -1. reset_tables: tables to clear first. lines: [table, host, weight]; weight
    0 removes the line. cordons: [host, whether it is cordoned from now on]. addresses: host to "ip:port", for every
    host in a line with a weight above 0. withdrawn_slices: slices that this controller no longer owns.
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
    """Requests the proxy's tables, because they are newer than those that the controller read from its store.

    Sent between `Welcome` and `Tables`, after a start of the controller. The proxy responds with `HeldTables` at once.
    """


class Goodbye(Frame, tag="bye"):
    """Last frame of a link, from either side: the reason for closing it.

    code: a value of `CloseCode` if the controller sends it. text: details for people.
    """

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
"""Used by a controller: decodes the frames that proxies send."""

proxy_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(ControllerFrame)
"""Used by a proxy: decodes the frames that controllers send."""
