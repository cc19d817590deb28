"""Which steward holds which slices, by leases and compare-and-swap in the registry. Sans-I/O.

Keys under the prefix: `members/<steward>` (alive, or "leaving"), both kinds bound to the steward's lease, and
`charge/<slice>`, whose value is the holder and whose create revision is the fence of that holding. A slice is
claimed only where its key does not exist; a table is written only in a transaction that compares its charge
key's create revision. So a steward that slept past its lease and wakes up cannot write, whatever it believes;
and by its own clock it stops speaking for a slice before the registry can give it away.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field


class Fenced(Exception):
    """Slices whose charge is not ours any more: nothing of their batch was written."""

    def __init__(self, slices: list[int]) -> None:
        super().__init__(f"the charge of {len(slices)} slices was lost: {slices[:5]}")
        self.slices = slices


@dataclass(frozen=True)
class GrantLease:
    ttl: float


@dataclass(frozen=True)
class KeepAlive:
    lease: int


@dataclass(frozen=True)
class Announce:
    """Put members/<me>."""

    lease: int
    leaving: bool


@dataclass(frozen=True)
class Claim:
    """Put charge/<slice> = me under `lease` if it does not exist."""

    slice: int
    lease: int


@dataclass(frozen=True)
class Release:
    """Delete charge/<slice> if its create revision is `fence`."""

    slice: int
    fence: int


@dataclass(frozen=True)
class Given:
    """To the engine: the slice is held from now on, with this fence; or not any more."""

    slice: int
    on: bool
    fence: int = 0


Action = GrantLease | KeepAlive | Announce | Claim | Release | Given


@dataclass(frozen=True)
class Terms:
    """Times in ms. margin: a steward stops this share of the lease before the registry may end it."""

    ttl: float = 5_000.0
    margin: float = 0.25
    claims_most: int = 64  # in flight at once
    settle: float = 500.0  # members must have been the same for so long before slices are handed over


def owner(slice: int, members: Iterable[int]) -> int | None:
    """Whom a slice should belong to among live stewards: the top of a rendezvous, the same for all that ask."""

    def mark(steward: int) -> tuple[bytes, int]:
        return hashlib.blake2b(f"{slice}:{steward}".encode(), digest_size=8).digest(), steward

    return max(members, key=mark, default=None)


@dataclass
class Charge:
    """me, slices: this steward and the numbers that there are. All calls return actions, in order."""

    me: int
    slices: range
    terms: Terms
    lease: int = 0
    until: float = 0.0  # by our clock: the lease cannot have ended before
    asked: float = -1.0  # when the keep-alive or grant in flight was sent; -1: none
    members: dict[int, bool] = field(default_factory=dict)  # steward: leaving
    members_at: float = 0.0
    held: dict[int, int] = field(default_factory=dict)  # slice: fence
    holders: dict[int, tuple[int, int]] = field(default_factory=dict)  # slice: (holder, create revision), as seen
    claiming: set[int] = field(default_factory=set)
    releasing: set[int] = field(default_factory=set)
    leaving: bool = False
    reachable: bool = False
    seen: bool | None = None  # our own member key as the watch shows it: leaving or not; None: it is not there
    announced: float = 0.0  # when it was last put

    # ---- the lease -------------------------------------------------------------------------------------

    def granted(self, now: float, lease: int) -> list[Action]:
        """A lease is ours; it counts from when it was asked for, not from when the answer came."""
        self.lease, self.until, self.asked, self.announced = lease, self.asked + self.terms.ttl, -1.0, now
        return [Announce(lease, self.leaving)]

    def kept(self, now: float, ttl: float) -> list[Action]:
        """The answer to a keep-alive. ttl 0: the registry has ended the lease."""
        if ttl <= 0:
            self.asked = -1.0
            return self.lost()
        if self.asked >= 0:
            self.until, self.asked = max(self.until, self.asked + min(ttl, self.terms.ttl)), -1.0
        return []

    def lost(self) -> list[Action]:
        """The lease is over: nothing is held. A new one is asked for at the next tick."""
        gone: list[Action] = [Given(s, False) for s in sorted(self.held)]
        self.lease, self.held, self.claiming, self.releasing = 0, {}, set(), set()
        return gone

    def may_speak(self, now: float) -> bool:
        """Whether what is held is surely still ours: by our own clock, with a margin. Asked before every write."""
        return bool(self.lease) and now < self.until - self.terms.margin * self.terms.ttl

    def connection(self, up: bool) -> None:
        """A keep-alive that was out when the way broke will not be answered."""
        self.reachable, self.asked = up, -1.0
        self.claiming.clear()
        self.releasing.clear()

    # ---- what the watch says ---------------------------------------------------------------------------

    def member(self, now: float, steward: int, alive: bool, leaving: bool = False) -> None:
        if steward == self.me:
            self.seen = leaving if alive else None
        before = dict(self.members)
        if alive:
            self.members[steward] = leaving
        else:
            self.members.pop(steward, None)
        if self.members != before:
            self.members_at = now

    def holder(self, now: float, slice: int, steward: int | None, create: int) -> list[Action]:
        """A charge key as the watch shows it now; None: it does not exist."""
        if steward is None:
            self.holders.pop(slice, None)
        else:
            self.holders[slice] = (steward, create)
        fence = self.held.get(slice)
        if fence is not None and (steward != self.me or create > fence):
            # Ended behind our back (the lease ran out, or an operator deleted it).
            del self.held[slice]
            self.releasing.discard(slice)
            return [Given(slice, False)]
        return []

    # ---- answers to transactions -----------------------------------------------------------------------

    def claimed(self, now: float, slice: int, lease: int, fence: int) -> list[Action]:
        """A claim's answer: `fence` is the create revision, 0 if another had the key."""
        self.claiming.discard(slice)
        if not fence or lease != self.lease or not self.may_speak(now):
            return []  # too late to be sure of: the key goes with its lease, or is released below
        self.held[slice] = fence
        self.holders[slice] = (self.me, fence)
        return [Given(slice, True, fence)]

    def released(self, slice: int) -> list[Action]:
        self.releasing.discard(slice)
        return []

    # ---- time ------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Call often (a tenth of the lease). Keeps the lease, claims what is free and ours, hands over the rest."""
        out: list[Action] = []
        if self.lease and now >= self.until:
            out += self.lost()
        if not self.reachable:
            return out  # cut off: nothing new is taken; what is held stands while the lease surely does
        if self.asked < 0:
            if not self.lease:
                self.asked = now
                out.append(GrantLease(self.terms.ttl))
            elif now > self.until - self.terms.ttl * (1 - self.terms.margin):
                self.asked = now
                out.append(KeepAlive(self.lease))
        elif now - self.asked > self.terms.ttl * self.terms.margin:
            self.asked = -1.0  # that answer is late: ask again, counting from now
        if not self.may_speak(now):
            return out
        if self.seen is not self.leaving and now - self.announced > self.terms.ttl * self.terms.margin:
            # The registry lost it (its leader fell): unannounced, a steward gets nothing, or never gets rid of it.
            self.announced = now
            out.append(Announce(self.lease, self.leaving))
        out += self.balance(now)
        return out

    def balance(self, now: float) -> list[Action]:
        out: list[Action] = []
        able = [m for m, leaving in self.members.items() if not leaving]
        settled = now - self.members_at >= self.terms.settle
        for s in self.slices:
            should = owner(s, able)
            if s in self.held:
                if should is not None and should != self.me and (settled or self.leaving) and s not in self.releasing:
                    # Planned: told to the engine first, so that nothing is written after the key is gone.
                    self.releasing.add(s)
                    fence = self.held.pop(s)
                    out += [Given(s, False), Release(s, fence)]
            elif (holder := self.holders.get(s)) and holder[0] == self.me:
                if s not in self.releasing and s not in self.claiming:
                    # A claim whose answer was lost or came too late is not ours to use; a release that a falling
                    # leader lost would keep the slice from everybody for as long as the lease is kept.
                    self.releasing.add(s)
                    out.append(Release(s, holder[1]))
            elif should == self.me and s not in self.claiming and len(self.claiming) < self.terms.claims_most:
                if holder is None:
                    self.claiming.add(s)
                    out.append(Claim(s, self.lease))
        return out

    def leave(self, now: float) -> list[Action]:
        """Planned end: announce it; slices go over as others are there to take them."""
        self.leaving, self.announced = True, now
        self.members[self.me] = True
        return [Announce(self.lease, True)] if self.lease else []

    @property
    def empty(self) -> bool:
        ours = any(holder == self.me for holder, _ in self.holders.values())
        return not self.held and not self.releasing and not ours
