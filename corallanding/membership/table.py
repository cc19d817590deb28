"""What is kept of members, and what the core hands out."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..rate_limit import TokenBucket
from .messages import Ack, Ping, PingRequest

UNKNOWN, ALIVE, SUSPECT, DEAD, LEFT = range(5)
INCARNATIONS = 1 << 32  # above this a claim is nonsense: nobody refutes four thousand million times
SUSPECTS_AT_ONCE = 4  # told in one tick: of a fleet that is cut in two, half are suspects


@dataclass(frozen=True)
class MembershipConfig:
    """Times in ms. health_most: how many times slower a steward that fails itself may probe and suspect."""

    period: float = 500.0
    timeout: float = 200.0  # for an answer, before others are asked
    helpers: int = 3  # others asked to probe
    suspicion: float = 4.0  # periods, times log10 of the fleet from 10 on
    health_most: int = 8
    spread: float = 3.0  # each piece of news goes out so many times log2 of the fleet
    words_per_s: float = 50.0  # taken from one peer; beyond it they are refused, counted


@dataclass(frozen=True)
class OutgoingMessage:
    to: int
    word: Ping | Ack | PingRequest


@dataclass(frozen=True)
class MemberStateChanged:
    """A member's state as seen here changed."""

    member: int
    state: int


Action = OutgoingMessage | MemberStateChanged


@dataclass
class Member:
    may: TokenBucket  # words that it may still send
    state: int = UNKNOWN
    incarnation: int = 0
    life: int = 0  # as it said itself
    deadline: float = math.inf  # of a suspicion
    nudged: float = 0.0  # when a suspect was last told that it is one


@dataclass
class Probe:
    member: int
    seq: int
    begun: float
    asked: bool = False  # others were
