"""Who is a steward now. `core` is pure; `words` are what goes by datagram. See docs/budgets.md."""

from .core import Members
from .messages import Ack, Ask, Ping, Word, decode, encode
from .table import ALIVE, DEAD, LEFT, SUSPECT, UNKNOWN, Changed, Send, Terms

__all__ = [
    "ALIVE",
    "DEAD",
    "LEFT",
    "SUSPECT",
    "UNKNOWN",
    "Ack",
    "Ask",
    "Changed",
    "Members",
    "Ping",
    "Send",
    "Terms",
    "Word",
    "decode",
    "encode",
]
