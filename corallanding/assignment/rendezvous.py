"""Rendezvous hashing: scores of hosts for slices, and for each slice the hosts with the highest scores.

A score is -1/ln(u), with u uniform in (0, 1) by BLAKE2b of slice and host. Weight times score orders hosts for a slice
as weighted rendezvous hashing does. Scoring every host for every slice at every decision would cost slices times hosts;
a short ranking for each slice answers nearly all questions, and only hosts that are new to it are scored.
"""

from __future__ import annotations

import hashlib
import math
import operator
from bisect import bisect
from collections.abc import Collection, Iterable
from itertools import accumulate
from typing import Generic, NamedTuple, Protocol, TypeVar

MAX_RANKED = 48
"""Hosts kept for each slice: where the whole fleet is full, a few dozen are looked at until no other can win."""

MAX_SINGLE_INSERTIONS = 8
"""Up to so many new scores are inserted into a ranking one by one; more are sorted with those that are there."""

DIGEST_BYTES = 8
DIGEST_RANGE = 2.0 ** (8 * DIGEST_BYTES)


class Identified(Protocol):
    """Anything that has an id to be hashed."""

    @property
    def id(self) -> int:
        """The number that is hashed."""


H = TypeVar("H", bound=Identified)


def rendezvous_score(slice_id: int, host_id: int) -> float:
    """The score of a host for a slice, above 0. It depends on the two ids alone."""
    return score_of_digest(hashlib.blake2b(b"%d:%d" % (slice_id, host_id), digest_size=DIGEST_BYTES).digest())


def score_of_digest(digest: bytes) -> float:
    """The score by its hash. It grows with the digest, so that the highest scores can be picked by digest."""
    return -1.0 / math.log((int.from_bytes(digest, "big") + 0.5) / DIGEST_RANGE)


def digests(slice_id: int, encoded_host_ids: Iterable[bytes]) -> list[bytes]:
    """What `rendezvous_score` hashes, for many hosts: a copy of a begun hash takes half the time of a new one."""
    prefix = hashlib.blake2b(b"%d:" % slice_id, digest_size=DIGEST_BYTES)
    found = []
    for encoded in encoded_host_ids:
        hasher = prefix.copy()
        hasher.update(encoded)
        found.append(hasher.digest())
    return found


class Ranking(NamedTuple, Generic[H]):
    """The highest scores for a slice, the highest first, and whose they are.

    Two lists rather than one of pairs: hundreds of thousands of pairs would be walked by every full garbage collection.
    """

    scores: list[float]
    hosts: list[H]


class TableSize(NamedTuple):
    """How many hosts and slices there are."""

    hosts: int
    slices: int


class RendezvousTable(Generic[H]):
    """For each slice the ranking of the hosts that were added and not forgotten.

    Invariant: the ranking of a slice holds the `max_ranked` highest scores among the first `hosts_seen[slice]` of
    `hosts`, or all of them if they are fewer. `ranking` extends it to all hosts before it returns it.
    """

    def __init__(self, max_ranked: int = MAX_RANKED) -> None:
        self.max_ranked = max_ranked
        self.hosts: list[H] = []
        self.encoded_ids: list[bytes] = []  # of `hosts`, as they are hashed
        self.host_ids: set[int] = set()
        self.rankings: dict[int, Ranking[H]] = {}
        self.hosts_seen: dict[int, int] = {}
        self.precomputed_for = TableSize(0, 0)  # the size when `precompute` last found nothing left to do

    def add(self, hosts: Iterable[H]) -> None:
        """Add the hosts that are not there yet. Rankings take them in when they are next asked for."""
        for host in hosts:
            if host.id not in self.host_ids:
                self.host_ids.add(host.id)
                self.hosts.append(host)
                self.encoded_ids.append(b"%d" % host.id)

    def forget(self, departed: Iterable[H]) -> None:
        """Remove hosts that nothing will ask for any more."""
        departed_ids = {host.id for host in departed} & self.host_ids
        if not departed_ids:
            return
        # How many stay among the first n hosts, for each n.
        remaining = [0, *accumulate(host.id not in departed_ids for host in self.hosts)]
        self.host_ids -= departed_ids
        self.hosts = [host for host in self.hosts if host.id not in departed_ids]
        self.encoded_ids = [b"%d" % host.id for host in self.hosts]
        for slice_id, ranking in self.rankings.items():
            self._remove(slice_id, ranking, departed_ids, remaining[self.hosts_seen[slice_id]])
        self.precomputed_for = TableSize(0, 0)

    def _remove(self, slice_id: int, ranking: Ranking[H], departed_ids: set[int], seen: int) -> None:
        """Take hosts out of a ranking; one that may lack a host of higher score then is made anew when asked for."""
        rows = zip(ranking.scores, ranking.hosts, strict=True)
        staying = [(score, host) for score, host in rows if host.id not in departed_ids]
        if len(staying) < min(self.max_ranked, seen):
            staying = []
            seen = 0
        ranking.scores[:] = [score for score, _ in staying]
        ranking.hosts[:] = [host for _, host in staying]
        self.hosts_seen[slice_id] = seen

    def ranking(self, slice_id: int) -> Ranking[H]:
        """The ranking of a slice over all hosts; at most `max_ranked` of them."""
        ranking = self.rankings.get(slice_id)
        if ranking is None:
            ranking = Ranking([], [])
            self.rankings[slice_id] = ranking
            self.hosts_seen[slice_id] = 0
        if (seen := self.hosts_seen[slice_id]) < len(self.hosts):
            self._extend(slice_id, ranking, seen)
        return ranking

    def _extend(self, slice_id: int, ranking: Ranking[H], seen: int) -> None:
        """Score the hosts from position `seen` on for a slice, and rank them."""
        new_scores = self._high_scores(slice_id, seen)
        if not ranking.scores or len(new_scores) > MAX_SINGLE_INSERTIONS:
            self._merge(ranking, new_scores)
        else:
            self._insert(ranking, new_scores)
        self.hosts_seen[slice_id] = len(self.hosts)

    def _high_scores(self, slice_id: int, seen: int) -> list[tuple[float, int]]:
        """Scores and positions of hosts from `seen` on: of many hosts only those that may enter a full ranking."""
        found = digests(slice_id, self.encoded_ids[seen:])
        threshold = b""
        if len(found) > 4 * self.max_ranked:
            # Expected to leave twice as many as are kept; all are taken should it leave too few.
            threshold = (2**64 - 2**65 * self.max_ranked // len(found)).to_bytes(DIGEST_BYTES, "big")
            if sum(digest > threshold for digest in found) < self.max_ranked:
                threshold = b""
        return [(score_of_digest(digest), n) for n, digest in enumerate(found, seen) if digest > threshold]

    def _merge(self, ranking: Ranking[H], new_scores: list[tuple[float, int]]) -> None:
        """Sort new scores and those that are there into one ranking."""
        rows = [*zip(*ranking, strict=True), *((score, self.hosts[n]) for score, n in new_scores)]
        rows.sort(key=lambda row: -row[0])
        ranking.scores[:] = [score for score, _ in rows[: self.max_ranked]]
        ranking.hosts[:] = [host for _, host in rows[: self.max_ranked]]

    def _insert(self, ranking: Ranking[H], new_scores: list[tuple[float, int]]) -> None:
        """Insert a few new scores into a ranking at their places."""
        for score, n in new_scores:
            if len(ranking.scores) < self.max_ranked or score > ranking.scores[-1]:
                at = bisect(ranking.scores, -score, key=operator.neg)
                ranking.scores.insert(at, score)
                ranking.hosts.insert(at, self.hosts[n])
        del ranking.scores[self.max_ranked :]
        del ranking.hosts[self.max_ranked :]

    @property
    def is_complete(self) -> bool:
        """Whether each ranking holds every host there is."""
        return len(self.hosts) <= self.max_ranked

    def precompute(self, slice_ids: Collection[int], max_scores: int) -> bool:
        """Extend rankings ahead of need, by about `max_scores` scores; false once nothing is left to do.

        It changes no answer of `ranking`, only when the work is done.
        """
        size = TableSize(len(self.hosts), len(slice_ids))
        if self.precomputed_for == size:
            return False  # asked after every step; a slice that took another's place waits for `ranking`
        for slice_id in slice_ids:
            missing = size.hosts - self.hosts_seen.get(slice_id, 0)
            if missing > 0:
                if max_scores <= 0:
                    return True
                self.ranking(slice_id)
                max_scores -= missing
        self.precomputed_for = size
        return False
