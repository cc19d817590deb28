"""Selection of the release set of a new workflow run, and of the hosts for requests of a pinned run."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..assignment.rendezvous import rendezvous_score

FULL_CAPACITY = 1.0  # capacity share of a host that has warmed up
SOLE_HOST_WEIGHT = 1.0

ReleaseSet = Mapping[str, int]  # request class to version


def choose_set(key: int, sets: Sequence[int], capacities: Sequence[float]) -> int:
    """Return the release set for the run `key`, drawn by a hash of the key in proportion to the sets' capacities."""
    position = (zlib.crc32(b"%d" % key) + 0.5) / 2.0**32 * sum(capacities)
    for number, capacity in zip(sets, capacities, strict=True):
        position -= capacity
        if position < 0.0:
            return number
    return sets[0]


@dataclass(frozen=True)
class PinningHost:
    """A host and the versions that it serves.

    `capacity_share` is its current fraction of full capacity, less than 1 while it warms up. Only an eligible host is
    assigned requests. `is_in_tables` is true if some table of this controller contains the host; a host in no table may
    have failed its health checks or be slow.
    """

    host: int
    weight: float
    capacity_share: float
    is_eligible: bool
    versions: Mapping[str, Collection[int]]
    is_in_tables: bool = True

    @property
    def is_warm(self) -> bool:
        """Whether the host has its full capacity."""
        return self.capacity_share >= FULL_CAPACITY

    def serves(self, request_class: str, version: int) -> bool:
        """Return whether the host serves that version of the request class."""
        return version in self.versions.get(request_class, ())

    def serves_all(self, release_set: ReleaseSet) -> bool:
        """Return whether the host serves every version of the release set."""
        return all(self.serves(request_class, version) for request_class, version in release_set.items())


def serving_capacity(release_set: ReleaseSet, hosts: Iterable[PinningHost]) -> float:
    """Return the current capacity of the eligible hosts that serve all of the release set, in units of host weight."""
    return sum(host.weight * host.capacity_share for host in hosts if host.is_eligible and host.serves_all(release_set))


def select_hosts(
    slice_number: int,
    request_class: str,
    version: int,
    weights: Mapping[int, float],
    hosts: Mapping[int, PinningHost],
    may_take_slice: Callable[[int], bool],
) -> dict[int, float] | None:
    """Return the hosts, with weights, for requests of a slice that are pinned to a version.

    `weights` is the table of the slice. Return None if that table applies unchanged, since all its hosts serve the
    version, and an empty dict if no host may serve it. `may_take_slice` returns whether a warming host may take one
    slice beyond its table entries; it is called only if no other host serves the version.

    Hosts of the table are preferred, if one of them is warm. Otherwise the eligible warm host with the highest weighted
    rendezvous score is added, hosts in tables first; a warming host is selected only if there is no warm one. Draining
    and removed hosts are never selected, whatever is pinned to them.
    """
    in_table = {}
    for number, weight in weights.items():
        host = hosts.get(number)
        if host and host.is_eligible and host.serves(request_class, version):
            in_table[number] = weight
    if in_table and len(in_table) == len(weights):
        return None
    if any(hosts[number].is_warm for number in in_table):
        return in_table
    serving = [host for host in hosts.values() if host.is_eligible and host.serves(request_class, version)]
    warm = [host for host in serving if host.is_warm]
    if warm:
        best = max(warm, key=lambda host: (host.is_in_tables, _weighted_score(slice_number, host), host.host))
        return {**in_table, best.host: max([SOLE_HOST_WEIGHT, *in_table.values()])}
    if in_table:
        return in_table
    for host in sorted(serving, key=lambda host: (-_weighted_score(slice_number, host), host.host)):
        if may_take_slice(host.host):
            return {host.host: SOLE_HOST_WEIGHT}
    return {}


def _weighted_score(slice_number: int, host: PinningHost) -> float:
    return rendezvous_score(slice_number, host.host) * host.weight
