"""Which set a run begins with, and which hosts serve a pinned invocation. Pure."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..assignment.rendezvous import rendezvous_score


def choose_set(key: int, sets: Sequence[int], capacities: Sequence[float]) -> int:
    """The set of a run: by chance of its key, in the shares of what hosts can do for each."""
    total = sum(capacities)
    at = (zlib.crc32(b"%d" % key) + 0.5) / 2.0**32 * total
    for number, part in zip(sets, capacities, strict=True):
        at -= part
        if at < 0.0:
            return number
    return sets[0]


@dataclass(frozen=True)
class PinningHost:
    """A host as pins see it. able: the share of its full work that it can do now. sound: it may be given work. used:
    some table of ours names it, so that it is not one that was found dead or slow."""

    host: int
    weight: float
    capacity_share: float
    is_eligible: bool
    versions: Mapping[str, Collection[int]]
    is_in_tables: bool = True

    def serves(self, operation: str, version: int) -> bool:
        return version in self.versions.get(operation, ())


ReleaseSet = Mapping[str, int]  # of a set: operation to version


def serving_capacity(versions: ReleaseSet, servers: Iterable[PinningHost]) -> float:
    """The work that hosts can do now which serve all of the set."""
    return sum(
        s.weight * s.capacity_share
        for s in servers
        if s.is_eligible and all(s.serves(o, v) for o, v in versions.items())
    )


def select_hosts(
    slice: int,
    operation: str,
    version: int,
    lines: Mapping[int, float],
    servers: Mapping[int, PinningHost],
    may: Callable[[int], bool],
    whole: float = 1.0,
) -> dict[int, float] | None:
    """Host to weight; None: the slice's own lines as they stand, since all serve it. may: whether a cold host may take
    one more slice than its lines give it.

    The slice's own lines go first, as far as a warm host of theirs serves the version: what it knows it keeps. Else the
    sound warm host with the highest mark by weight; a cold one only where no warm one serves it, and if it may. A host
    that drains or is gone has no part in it, whatever is pinned to it: rules 1 to 3 go before pins.
    """
    able = {h: w for h, w in lines.items() if (s := servers.get(h)) and s.is_eligible and s.serves(operation, version)}
    if able and len(able) == len(lines):
        return None
    if any(servers[h].capacity_share >= whole for h in able):
        return able
    fit = [s for s in servers.values() if s.is_eligible and s.serves(operation, version)]
    warm = [s for s in fit if s.capacity_share >= whole]
    if warm:
        best = max(warm, key=lambda s: (s.is_in_tables, rendezvous_score(slice, s.host) * s.weight, s.host))
        return {**able, best.host: max([1.0, *able.values()])}
    if able:
        return able
    for s in sorted(fit, key=lambda s: (-rendezvous_score(slice, s.host) * s.weight, s.host)):
        if may(s.host):
            return {s.host: 1.0}
    return {}
