"""Leader election by the registry's compare-and-swap on one key.

The key's holder is the leader and its create revision the term. `registry.slice_ownership` decides on slices, and here
on one thing in the same way. Revisions only rise, and fencing tokens with them, through any restart, without votes and
without a clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from ..wire.peer_messages import OutgoingMessage
from .election import Leader, Term
from .messages import ElectionMessage

LEADERSHIP = 0  # the number under which the registry keeps the one leadership
REVISION_SHIFT = 32  # bits of a fencing token below the revision


class OwnershipView(Protocol):
    """What is asked of the ownership that the registry grants (`registry.slice_ownership`)."""

    fencing_tokens: dict[int, int]  # by number: the create revision under which we own it

    @property
    def observed_owners(self) -> Mapping[int, tuple[int, int]]:
        """By number: the owner and its create revision, as observed."""
        ...

    def has_valid_lease(self, now: float) -> bool:
        """Whether our lease in the registry is surely good at this instant."""
        ...


class RegistryElection:
    """An election that the registry decides. All times are in ms by this controller's clock."""

    def __init__(
        self, controller_id: int, peer_ids: tuple[int, ...], incarnation: int, ownership: OwnershipView
    ) -> None:
        self.controller_id = controller_id
        self.peer_ids = peer_ids
        self.incarnation = incarnation
        self.ownership = ownership
        self.leader_since: float | None = None
        self.revision = 0
        self.rejected = 0  # messages of an election that is held by votes elsewhere

    def is_leader(self, now: float) -> bool:
        """Whether we lead at this instant; to be asked at each action."""
        revision = self.ownership.fencing_tokens.get(LEADERSHIP, 0) if self.ownership.has_valid_lease(now) else 0
        if revision != self.revision:
            self.revision = revision
            self.leader_since = now if revision else None
        return bool(revision)

    @property
    def term(self) -> Term | None:
        """Our present leadership; None without one. True right after `is_leader`."""
        return None if self.leader_since is None else Term(self.leader_since, self.revision)

    @property
    def epoch(self) -> int:
        """The number by which others name our leadership: the revision of the key."""
        return self.revision

    @property
    def leader(self) -> Leader:
        """The leader as the registry names it."""
        if found := self.ownership.observed_owners.get(LEADERSHIP):
            controller, revision = found
            return Leader(controller, revision, revision)
        return Leader(None, 0, 0)

    def first_token(self, _wall_clock_ms: float) -> int:
        """The fencing token above which a new leader begins."""
        return self.revision << REVISION_SHIFT

    @property
    def max_token(self) -> int:
        """The highest fencing token of this term."""
        return (self.revision + 1 << REVISION_SHIFT) - 1

    def reserve_tokens(self, max_token: int) -> None:
        """Nothing is to be reserved: all tokens of the next term are above those of this one."""

    def tick(self, _now: float, _alive: Iterable[int]) -> list[OutgoingMessage]:
        """No messages: the registry is asked by its own client."""
        return []

    def on_message(self, _now: float, _sender: int, _message: ElectionMessage) -> list[OutgoingMessage]:
        """Reject the message: nobody votes here."""
        self.rejected += 1
        return []

    def resign(self, _now: float) -> list[OutgoingMessage]:
        """Nothing is sent: the registry's client gives the key back."""
        return []
