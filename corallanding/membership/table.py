"""State of each member, and the actions that the core returns."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from ..rate_limit import TokenBucket
from ..wire.peer_messages import OutgoingMessage


class MemberState(IntEnum):
    """The state of a member. The numbers are sent on the wire; for equal incarnations the higher state wins."""

    UNKNOWN = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4

    @property
    def label(self) -> str:
        """Return the name of the state in logs and on the status page."""
        return self.name.lower()


ALIVE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})  # a suspect may still reply
REFUTABLE_STATES = frozenset(
    {MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT}
)  # a running member refutes these


@dataclass(frozen=True)
class MemberStateChanged:
    """Reports that the state of a member has changed in this controller's view."""

    member: int
    state: MemberState


Action = OutgoingMessage | MemberStateChanged


@dataclass
class Member:
    """The known state of another controller."""

    rate_limiter: TokenBucket  # limits the messages from the member
    state: MemberState = MemberState.UNKNOWN
    incarnation: int = 0
    process_incarnation: int = 0
    suspicion_deadline_ms: float = math.inf  # time at which a suspect is declared dead
    pinged_at_ms: float = 0.0  # time of the last ping as a suspect, in addition to probes


@dataclass
class Probe:
    """The probe that awaits a reply. `is_indirect`: other members have been requested to probe."""

    member: int
    sequence: int
    started_at_ms: float
    is_indirect: bool = False


class IndirectProbe(NamedTuple):
    """A ping on behalf of `requester`, with the requester's sequence number and the time of its start in ms."""

    requester: int
    sequence: int
    started_at_ms: float
