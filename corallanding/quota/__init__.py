"""Quotas of the fleet, shared among all controllers by demand, as in Doorman. No I/O. See docs/budgets.md."""

from ..lease.messages import VoteRelease, VoteReply, VoteRequest
from ..lease.voting import Candidate, Voter
from ..wire.peer_messages import OutgoingMessage
from .core import QuotaManager
from .fair_share import share
from .limits import Budget, BudgetKey, BudgetScope, QuotaLimits
from .messages import CapacityGrant, CapacityRequest, GrantRow, QuotaMessage, RequestRow, decode, encode, is_valid
from .quota_allocator import QuotaAllocator
from .quota_client import QuotaClient

__all__ = [
    "Budget",
    "BudgetKey",
    "BudgetScope",
    "Candidate",
    "CapacityGrant",
    "CapacityRequest",
    "GrantRow",
    "OutgoingMessage",
    "QuotaAllocator",
    "QuotaClient",
    "QuotaLimits",
    "QuotaManager",
    "QuotaMessage",
    "RequestRow",
    "VoteRelease",
    "VoteReply",
    "VoteRequest",
    "Voter",
    "decode",
    "encode",
    "is_valid",
    "share",
]
