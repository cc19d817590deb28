"""Budgets of the whole fleet of stewards, divided among them by demand. Pure. See docs/budgets.md."""

from ..lease.election import OutgoingMessage
from ..lease.messages import VoteRelease, VoteReply, VoteRequest
from ..lease.voting import Candidate, Voter
from .core import Quota
from .fair_share import share
from .limits import Budget, Terms
from .messages import Give, Want, Words, decode, encode
from .quota_allocator import Divider
from .quota_client import Holder

__all__ = [
    "Budget",
    "Candidate",
    "Divider",
    "Give",
    "Holder",
    "OutgoingMessage",
    "Quota",
    "Terms",
    "VoteRelease",
    "VoteReply",
    "VoteRequest",
    "Voter",
    "Want",
    "Words",
    "decode",
    "encode",
    "share",
]
