"""Which controllers are alive: SWIM with the local health of Lifeguard. The core has no input or output of its own.

`core` decides, `messages` are the datagrams. See docs/budgets.md.
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
