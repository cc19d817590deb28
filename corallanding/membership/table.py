"""What is kept of each member, and the actions that the core returns."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from ..rate_limit import TokenBucket
from ..wire.peer_messages import OutgoingMessage


class MemberState(IntEnum):
    """The state of a member. The numbers are the wire; of equal incarnations the higher state wins."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4

    @property
    def label(self) -> str:
        """The state as logs and the status page show it."""
        return self.name.lower()


RECKONED_WITH = frozenset({MemberState.ALIVE, MemberState.SUSPECT})  # a suspect may well answer
CLAIMED_GONE = frozenset({MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT})


@dataclass(frozen=True)
class MemberStateChanged:
    """The state of a member, as seen by this controller, has changed."""

    member: int
    state: MemberState


Action = OutgoingMessage | MemberStateChanged


@dataclass
class Member:
    """What is known of another controller."""

    rate_limiter: TokenBucket  # of the messages that it may send
    state: MemberState = MemberState.UNKNOWN
    incarnation: int = 0
    process_incarnation: int = 0
    suspicion_deadline: float = math.inf  # when a suspect is dead
    pinged_at: float = 0.0  # when a suspect was last pinged out of turn


@dataclass
class Probe:
    """The probe that waits for an answer. `is_indirect` once other members were asked to probe."""

    member: int
    sequence: int
    started_at: float
    is_indirect: bool = False


class IndirectProbe(NamedTuple):
    """A ping that another member asked for: who did, its sequence number, and when."""

    requester: int
    sequence: int
    started_at: float
