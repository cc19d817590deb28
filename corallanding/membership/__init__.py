"""Membership of controllers: SWIM with the local health of Lifeguard. The core performs no I/O.

`core` implements the protocol, `messages` its datagrams. See docs/budgets.md.
"""

from .config import MembershipConfig
from .core import Membership
from .messages import Ack, MembershipMessage, MemberUpdate, Ping, PingRequest, decode, encode
from .table import Action, MemberState, MemberStateChanged

__all__ = [
    "Ack",
    "Action",
    "MemberState",
    "MemberStateChanged",
    "MemberUpdate",
    "Membership",
    "MembershipConfig",
    "MembershipMessage",
    "Ping",
    "PingRequest",
    "decode",
    "encode",
]
