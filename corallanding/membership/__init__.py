"""Who is a steward now. `core` is pure; `words` are what goes by datagram. See docs/budgets.md."""

from .core import Membership
from .messages import Ack, MembershipMessage, Ping, PingRequest, decode, encode
from .table import ALIVE, DEAD, LEFT, SUSPECT, UNKNOWN, Action, MembershipConfig, MemberStateChanged, OutgoingMessage

__all__ = [
    "ALIVE",
    "DEAD",
    "LEFT",
    "SUSPECT",
    "UNKNOWN",
    "Ack",
    "Action",
    "MemberStateChanged",
    "Membership",
    "MembershipConfig",
    "MembershipMessage",
    "OutgoingMessage",
    "Ping",
    "PingRequest",
    "decode",
    "encode",
]
