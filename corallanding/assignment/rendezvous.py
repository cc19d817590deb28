"""Rendezvous hashing: scores of hosts for slices, and for each slice the hosts with the highest scores.

A score is -1/ln(u), where u is uniform in (0, 1) and derived from the BLAKE2b hash of slice and host. Ordering hosts by
weight times score is weighted rendezvous hashing. Scoring every host for every slice in every decision would compute
one score for each pair. A short ranking per slice is nearly always sufficient, and only hosts new to it are scored.
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
"""Hosts kept in the ranking of a slice. If the whole fleet is full, a few dozen are examined before none can win."""

MAX_SINGLE_INSERTIONS = 8
"""Maximum number of new scores inserted into a ranking one by one; more are sorted together with the present ones."""

DIGEST_BYTES = 8
DIGEST_RANGE = 2.0 ** (8 * DIGEST_BYTES)


class Identified(Protocol):
    """An object with an id to be hashed."""

    @property
    def id(self) -> int:
        """Number that is hashed."""


H = TypeVar("H", bound=Identified)


def rendezvous_score(slice_id: int, host_id: int) -> float:
    """Return the score of a host for a slice, above 0. It depends only on the two ids."""
    return digest_score(hashlib.blake2b(b"%d:%d" % (slice_id, host_id), digest_size=DIGEST_BYTES).digest())


def digest_score(digest: bytes) -> float:
    """Return the score of a digest. It increases with the digest, so the highest scores can be selected by digest."""
    return -1.0 / math.log((int.from_bytes(digest, "big") + 0.5) / DIGEST_RANGE)


def digests(slice_id: int, encoded_host_ids: Iterable[bytes]) -> list[bytes]:
    """Return the digests used by `rendezvous_score` for many hosts.

    Copying a hash object that has consumed the common prefix takes half the time of creating a new one.
    """
    prefix = hashlib.blake2b(b"%d:" % slice_id, digest_size=DIGEST_BYTES)
    host_digests = []
    for encoded in encoded_host_ids:
        hasher = prefix.copy()
        hasher.update(encoded)
        host_digests.append(hasher.digest())
    return host_digests


class Ranking(NamedTuple, Generic[H]):
    """The highest scores for a slice, in descending order, and the hosts that have them.

    Two lists rather than one of pairs: every full garbage collection would traverse hundreds of thousands of pairs.
    """

    scores: list[float]
    hosts: list[H]


class TableSize(NamedTuple):
    """The number of hosts and slices."""

    hosts: int
    slices: int


class RendezvousTable(Generic[H]):
    """The ranking of hosts for each slice.

    Invariant: the ranking of a slice holds the `max_ranked` highest scores among the first `hosts_seen[slice]` of
    `hosts`, or all of them if there are fewer. `ranking` extends it to all hosts before it returns it.
    """

    def __init__(self, max_ranked: int = MAX_RANKED) -> None:
        self.max_ranked = max_ranked
        self.hosts: list[H] = []
        self.encoded_ids: list[bytes] = []  # encoded for hashing, in the order of `hosts`
        self.host_ids: set[int] = set()
        self.rankings: dict[int, Ranking[H]] = {}
        self.hosts_seen: dict[int, int] = {}
        self.precomputed_for = TableSize(0, 0)  # size for which `precompute` last host_digests nothing to do

    def add(self, hosts: Iterable[H]) -> None:
        """Add the hosts that are not in the table yet. Each ranking includes them when it is next requested."""
        for host in hosts:
            if host.id not in self.host_ids:
                self.host_ids.add(host.id)
                self.hosts.append(host)
                self.encoded_ids.append(b"%d" % host.id)

    def forget(self, departed: Iterable[H]) -> None:
        """Remove hosts that are no longer needed from the table and all rankings."""
        departed_ids = {host.id for host in departed} & self.host_ids
        if not departed_ids:
            return
        # Number of remaining hosts among the first n hosts, by n.
        remaining = [0, *accumulate(host.id not in departed_ids for host in self.hosts)]
        self.host_ids -= departed_ids
        self.hosts = [host for host in self.hosts if host.id not in departed_ids]
        self.encoded_ids = [b"%d" % host.id for host in self.hosts]
        for slice_id, ranking in self.rankings.items():
            self._remove(slice_id, ranking, departed_ids, remaining[self.hosts_seen[slice_id]])
        self.precomputed_for = TableSize(0, 0)

    def _remove(self, slice_id: int, ranking: Ranking[H], departed_ids: set[int], seen: int) -> None:
        """Remove hosts from a ranking; if it may then lack a host with a higher score, clear it for recomputation."""
        rows = zip(ranking.scores, ranking.hosts, strict=True)
        retained = [(score, host) for score, host in rows if host.id not in departed_ids]
        if len(retained) < min(self.max_ranked, seen):
            retained = []
            seen = 0
        ranking.scores[:] = [score for score, _ in retained]
        ranking.hosts[:] = [host for _, host in retained]
        self.hosts_seen[slice_id] = seen

    def ranking(self, slice_id: int) -> Ranking[H]:
        """Return the ranking of a slice over all hosts, limited to the best `max_ranked`."""
        ranking = self.rankings.get(slice_id)
        if ranking is None:
            ranking = Ranking([], [])
            self.rankings[slice_id] = ranking
            self.hosts_seen[slice_id] = 0
        if (seen := self.hosts_seen[slice_id]) < len(self.hosts):
            self._extend(slice_id, ranking, seen)
        return ranking

    def _extend(self, slice_id: int, ranking: Ranking[H], seen: int) -> None:
        """Score the hosts from position `seen` on for a slice, and add them to its ranking."""
        new_scores = self._high_scores(slice_id, seen)
        if not ranking.scores or len(new_scores) > MAX_SINGLE_INSERTIONS:
            self._merge(ranking, new_scores)
        else:
            self._insert(ranking, new_scores)
        self.hosts_seen[slice_id] = len(self.hosts)

    def _high_scores(self, slice_id: int, seen: int) -> list[tuple[float, int]]:
        """Return scores and positions of hosts from `seen` on; of many hosts, only those that may enter the ranking."""
        host_digests = digests(slice_id, self.encoded_ids[seen:])
        threshold = b""
        if len(host_digests) > 4 * self.max_ranked:
            # The expected number of digests above the threshold is twice what is kept; if too few are, all are used.
            threshold = (2**64 - 2**65 * self.max_ranked // len(host_digests)).to_bytes(DIGEST_BYTES, "big")
            if sum(digest > threshold for digest in host_digests) < self.max_ranked:
                threshold = b""
        return [
            (digest_score(digest), position) for position, digest in enumerate(host_digests, seen) if digest > threshold
        ]

    def _merge(self, ranking: Ranking[H], new_scores: list[tuple[float, int]]) -> None:
        """Merge new scores into a ranking by sorting all of them."""
        rows = [*zip(*ranking, strict=True), *((score, self.hosts[position]) for score, position in new_scores)]
        rows.sort(key=lambda row: -row[0])
        ranking.scores[:] = [score for score, _ in rows[: self.max_ranked]]
        ranking.hosts[:] = [host for _, host in rows[: self.max_ranked]]

    def _insert(self, ranking: Ranking[H], new_scores: list[tuple[float, int]]) -> None:
        """Insert a few new scores into a ranking one by one."""
        for score, position in new_scores:
            if len(ranking.scores) < self.max_ranked or score > ranking.scores[-1]:
                rank = bisect(ranking.scores, -score, key=operator.neg)
                ranking.scores.insert(rank, score)
                ranking.hosts.insert(rank, self.hosts[position])
        del ranking.scores[self.max_ranked :]
        del ranking.hosts[self.max_ranked :]

    @property
    def is_complete(self) -> bool:
        """Whether each ranking can hold all hosts."""
        return len(self.hosts) <= self.max_ranked

    def precompute(self, slice_ids: Collection[int], max_scores: int) -> bool:
        """Extend rankings in advance by about `max_scores` scores; return false once nothing is left to do.

        The results of `ranking` do not depend on it, only their computing time does.
        """
        size = TableSize(len(self.hosts), len(slice_ids))
        if self.precomputed_for == size:
            return False  # quick exit, as it runs after every step; `ranking` handles a slice that replaced another
        for slice_id in slice_ids:
            missing = size.hosts - self.hosts_seen.get(slice_id, 0)
            if missing > 0:
                if max_scores <= 0:
                    return True
                self.ranking(slice_id)
                max_scores -= missing
        self.precomputed_for = size
        return False
