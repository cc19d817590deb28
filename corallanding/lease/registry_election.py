"""Leader election by compare-and-swap on one key of the registry.

The owner of the key is the leader, and the key's create revision is the term. The key is claimed through
`registry.slice_ownership`, in the same way as the key of a slice. Revisions only increase, so fencing tokens also
increase across any restart, without votes and without a clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from ..wire.peer_messages import OutgoingMessage
from .election import Leader, Term
from .messages import ElectionMessage

LEADERSHIP = 0  # number of the leadership key among the owned keys
REVISION_SHIFT = 32  # low bits of a fencing token, below the revision


class OwnershipView(Protocol):
    """The part of `registry.slice_ownership.SliceOwnership` that the election uses."""

    fencing_tokens: dict[int, int]  # create revision of each key that this controller owns, by number

    @property
    def observed_owners(self) -> Mapping[int, tuple[int, int]]:
        """The observed (owner, create revision) of each key, by number."""
        ...

    def has_valid_lease(self, now_ms: float) -> bool:
        """Return whether this controller's registry lease is certainly valid at this time."""
        ...


class RegistryElection:
    """An election decided by the registry. All times are in ms by this controller's clock."""

    def __init__(
        self, controller_id: int, peer_ids: tuple[int, ...], incarnation: int, ownership: OwnershipView
    ) -> None:
        self.controller_id = controller_id
        self.peer_ids = peer_ids
        self.incarnation = incarnation
        self.ownership = ownership
        self.leader_since_ms: float | None = None
        self.revision = 0
        self.rejected = 0  # messages of a `VotedElection` at other controllers

    def is_leader(self, now_ms: float) -> bool:
        """Return whether this controller leads at this time; call it before each action."""
        revision = self.ownership.fencing_tokens.get(LEADERSHIP, 0) if self.ownership.has_valid_lease(now_ms) else 0
        if revision != self.revision:
            self.revision = revision
            self.leader_since_ms = now_ms if revision else None
        return bool(revision)

    @property
    def term(self) -> Term | None:
        """The current leadership of this controller, as of the last call of `is_leader`; None without one."""
        return None if self.leader_since_ms is None else Term(self.leader_since_ms, self.revision)

    @property
    def epoch(self) -> int:
        """The number that identifies the leadership of this controller to others: the create revision of the key."""
        return self.revision

    @property
    def leader(self) -> Leader:
        """The leader according to the registry."""
        if found := self.ownership.observed_owners.get(LEADERSHIP):
            controller, revision = found
            return Leader(controller, revision, revision)
        return Leader(None, 0, 0)

    def first_token(self, _wall_clock_ms: float) -> int:
        """Return the fencing token above which a new leader starts."""
        return self.revision << REVISION_SHIFT

    @property
    def max_token(self) -> int:
        """The highest fencing token of this term."""
        return (self.revision + 1 << REVISION_SHIFT) - 1

    def reserve_tokens(self, max_token: int) -> None:
        """Do nothing: all tokens of the next term are above those of this one."""

    def tick(self, _now_ms: float, _alive: Iterable[int]) -> list[OutgoingMessage]:
        """Return no messages: the registry client sends the requests."""
        return []

    def on_message(self, _now_ms: float, _sender: int, _message: ElectionMessage) -> list[OutgoingMessage]:
        """Reject the message: this election has no votes."""
        self.rejected += 1
        return []

    def resign(self, _now_ms: float) -> list[OutgoingMessage]:
        """Return no messages: the registry client releases the key."""
        return []
