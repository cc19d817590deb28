"""Typed events, actions and settings of the assigner. No logic lives here.

Times are milliseconds with fractions, on the caller's clock. Hosts, proxies, slices, zones, kinds and
operations go by the numbers that the caller uses for them.
"""

from .actions import (
    ALL_TABLES,
    Action,
    Cordon,
    FetchList,
    Follow,
    Level,
    Mark,
    Note,
    Point,
    Probe,
    Remind,
    ResetTable,
    SetLine,
    Tell,
)
from .events import (
    Acked,
    Due,
    Event,
    HostEntry,
    HostSums,
    ListForm,
    Membership,
    OnRecord,
    PeerMessage,
    ProbeDone,
    ProbeEnd,
    ProxyJoined,
    ProxyLeft,
    ProxySums,
    SliceGiven,
    SliceSums,
)
from .settings import Operation, Repeat, Retry, Settings

__all__ = [
    "ALL_TABLES", "Acked", "Action", "Cordon", "Due", "Event", "FetchList", "Follow", "HostEntry", "HostSums", "Level",
    "ListForm", "Mark", "Membership", "Note", "OnRecord", "Operation", "PeerMessage", "Point", "Probe", "ProbeDone",
    "ProbeEnd", "ProxyJoined", "ProxyLeft", "ProxySums", "Remind", "Repeat", "ResetTable", "Retry", "SetLine",
    "Settings", "SliceGiven", "SliceSums", "Tell",
]  # fmt: skip
