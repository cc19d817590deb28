"""Marks of rendezvous hashing, and for each slice the servers with the highest ones. Decides nothing.

A mark is -1/ln(u), u uniform in (0, 1) by BLAKE2b of slice and server: weight times mark orders servers for a slice as
weighted rendezvous hashing does. To mark every server for every slice at every question is what made a turn cost slices
times servers; a list of the few highest answers nearly all of them, and marks only what is new.
"""

from __future__ import annotations

import hashlib
import math
import operator
from bisect import bisect
from collections.abc import Collection, Iterable
from itertools import accumulate
from typing import Generic, Protocol, TypeVar

MAX_RANKED = 48  # servers kept a slice: a full fleet looks at a few dozen until no other can score higher


class RankedHost(Protocol):
    @property
    def id(self) -> int: ...


S = TypeVar("S", bound=RankedHost)


def rendezvous_score(slice: int, server: int) -> float:
    return score_of_digest(hashlib.blake2b(b"%d:%d" % (slice, server), digest_size=8).digest())


def score_of_digest(digest: bytes) -> float:
    """Grows with the digest: of many, only the highest need be worked out."""
    return -1.0 / math.log((int.from_bytes(digest, "big") + 0.5) / 2.0**64)


def digests(slice: int, names: Iterable[bytes]) -> list[bytes]:
    """What `mark` hashes, for many servers: copying a begun hash takes half the time of beginning one."""
    begun, out = hashlib.blake2b(b"%d:" % slice, digest_size=8), []
    for name in names:
        h = begun.copy()
        h.update(name)
        out.append(h.digest())
    return out


class RendezvousTable(Generic[S]):
    """Servers are added once and stay until forgotten. `of` gives what a slice's list holds, marking servers added
    meanwhile."""

    def __init__(self, kept: int = MAX_RANKED) -> None:
        self.max_ranked = kept
        self.hosts: list[S] = []
        self.encoded_ids: list[bytes] = []
        self.host_ids: set[int] = set()
        # Two lists a slice, not one of pairs: hundreds of thousands of pairs would be walked by every full collection
        # of garbage, in the middle of some turn.
        self.rankings: dict[int, tuple[list[float], list[S]]] = {}
        self.precomputed_for = (0, 0)  # servers and slices when `warm` last found nothing left
        self.hosts_seen: dict[int, int] = {}  # how many of the servers a slice's list has seen

    def add(self, servers: Iterable[S]) -> None:
        for server in servers:
            if server.id not in self.host_ids:
                self.host_ids.add(server.id)
                self.hosts.append(server)
                self.encoded_ids.append(b"%d" % server.id)

    def forget(self, gone: Iterable[S]) -> None:
        """Servers that are not asked for any more. A list that is not the highest marks of those left is made anew when
        it is next asked for."""
        left = {server.id for server in gone} & self.host_ids
        if not left:
            return
        self.host_ids -= left
        before = [0, *accumulate(server.id not in left for server in self.hosts)]  # that stay, among the first n
        both = [(s, n) for s, n in zip(self.hosts, self.encoded_ids, strict=True) if s.id not in left]
        self.hosts, self.encoded_ids = [s for s, _ in both], [n for _, n in both]
        for slice, row in self.rankings.items():
            seen = before[self.hosts_seen[slice]]
            pairs = [(value, s) for value, s in zip(*row, strict=True) if s.id not in left]
            if len(pairs) < min(self.max_ranked, seen):
                pairs, seen = [], 0
            row[0][:], row[1][:] = [value for value, _ in pairs], [s for _, s in pairs]
            self.hosts_seen[slice] = seen
        self.precomputed_for = (0, 0)

    def ranking(self, slice: int) -> tuple[list[float], list[S]]:
        """The highest marks, the highest first, at most `kept`, and whose they are."""
        row = self.rankings.get(slice)
        if row is None:
            row = self.rankings[slice] = ([], [])
            self.hosts_seen[slice] = 0
        if (done := self.hosts_seen[slice]) < len(self.hosts):
            self.extend(slice, row, done)
        return row

    def extend(self, slice: int, row: tuple[list[float], list[S]], done: int) -> None:
        """Mark the servers that are new to this slice."""
        found = digests(slice, self.encoded_ids[done:])
        low = b""
        if len(found) > 4 * self.max_ranked:
            # Those above a guess that leaves twice as many as are kept; all of them, should it leave too few.
            low = (2**64 - 2**65 * self.max_ranked // len(found)).to_bytes(8, "big")
            if sum(d > low for d in found) < self.max_ranked:
                low = b""
        new = [(score_of_digest(d), n) for n, d in enumerate(found, done) if d > low]
        if not row[0] or len(new) > 8:
            pairs = [*zip(*row, strict=True), *((value, self.hosts[n]) for value, n in new)]
            pairs.sort(key=lambda p: -p[0])
            row[0][:] = [value for value, _ in pairs[: self.max_ranked]]
            row[1][:] = [server for _, server in pairs[: self.max_ranked]]
        else:
            for value, n in new:
                if len(row[0]) < self.max_ranked or value > row[0][-1]:
                    at = bisect(row[0], -value, key=operator.neg)
                    row[0].insert(at, value)
                    row[1].insert(at, self.hosts[n])
            del row[0][self.max_ranked :], row[1][self.max_ranked :]
        self.hosts_seen[slice] = len(self.hosts)

    @property
    def is_complete(self) -> bool:
        """Whether lists hold every server there is."""
        return len(self.hosts) <= self.max_ranked

    def precompute(self, slices: Collection[int], marks: int) -> bool:
        """Mark ahead of need, up to about `marks` of them, oldest slices first. False once nothing is left to do."""
        total = len(self.hosts)
        if self.precomputed_for == (total, len(slices)):
            return False  # asked after every step: nothing has come since (a slice in another's place waits for `of`)
        for slice in slices:
            if (lacks := total - self.hosts_seen.get(slice, 0)) > 0:
                if marks <= 0:
                    return True
                self.ranking(slice)
                marks -= lacks
        self.precomputed_for = (total, len(slices))
        return False
