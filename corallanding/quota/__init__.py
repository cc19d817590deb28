"""Budgets of the whole fleet of stewards, divided among them by demand. Pure. See docs/budgets.md."""

from ..lease.messages import VoteRelease, VoteReply, VoteRequest
from ..lease.voting import Candidate, Voter
from ..wire.peer_messages import OutgoingMessage
from .core import QuotaManager
from .fair_share import share
from .limits import Budget, QuotaLimits
from .messages import CapacityGrant, CapacityRequest, QuotaMessage, decode, encode
from .quota_allocator import QuotaAllocator
from .quota_client import QuotaClient

__all__ = [
    "Budget",
    "Candidate",
    "CapacityGrant",
    "CapacityRequest",
    "OutgoingMessage",
    "QuotaAllocator",
    "QuotaClient",
    "QuotaLimits",
    "QuotaManager",
    "QuotaMessage",
    "VoteRelease",
    "VoteReply",
    "VoteRequest",
    "Voter",
    "decode",
    "encode",
    "share",
]
