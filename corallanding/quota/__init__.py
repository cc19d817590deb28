"""Budgets of the whole fleet of stewards, divided among them by demand. Pure. See docs/budgets.md."""

from .core import Quota, Send
from .divider import Divider
from .division import share
from .holder import Holder
from .terms import Budget, Terms
from .vote import Candidate, Voter
from .words import Give, Quit, Stand, Vote, Want, Words, decode, encode

__all__ = [
    "Budget", "Candidate", "Divider", "Give", "Holder", "Quit", "Quota", "Send", "Stand", "Terms", "Vote",
    "Voter", "Want", "Words", "decode", "encode", "share",
]  # fmt: skip
