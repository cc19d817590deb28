"""Budgets of the whole fleet of stewards, divided among them by demand. Pure. See docs/budgets.md."""

from ..lease.office import Send
from ..lease.vote import Candidate, Voter
from ..lease.words import Quit, Stand, Vote
from .core import Quota
from .divider import Divider
from .division import share
from .holder import Holder
from .terms import Budget, Terms
from .words import Give, Want, Words, decode, encode

__all__ = [
    "Budget",
    "Candidate",
    "Divider",
    "Give",
    "Holder",
    "Quit",
    "Quota",
    "Send",
    "Stand",
    "Terms",
    "Vote",
    "Voter",
    "Want",
    "Words",
    "decode",
    "encode",
    "share",
]
