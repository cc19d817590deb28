"""What forwarders are told of pinned invocations, where the slice's own lines will not do. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from .version_selection import PinningHost, ReleaseSet, select_hosts

Route = tuple[int, int, int, list[tuple[int, float]], float]  # slice, operation, version, lines, wait


@dataclass(frozen=True)
class NoHostPolicy:
    """What becomes of a run whose version no host serves. wait: ms, 0: it is refused. carry: it may go over to another
    set that is declared compatible."""

    wait_ms: float = 0.0
    may_carry_over: bool = False


class RoutePlanner:
    """operations: names in their order. carries: set to those that may go over to it. may: whether a cold host may take
    one more slice now (`cold_slices`), asked once for each that it is given beyond its lines."""

    def __init__(
        self,
        operations: tuple[str, ...],
        sets: Mapping[int, ReleaseSet],
        carries: Mapping[int, Iterable[int]],
        no_host: Mapping[str, NoHostPolicy],
        may: Callable[[int], bool],
    ) -> None:
        self.request_classes, self.release_sets, self.predecessors, self.no_host_policies, self.may_take_slice = (
            operations,
            sets,
            carries,
            no_host,
            may,
        )
        self.extra_hosts: dict[tuple[int, int], set[int]] = {}  # (slice, operation): cold hosts, beyond their lines
        self.unserved_count = 0  # rows without a host, as last planned
        self.carried_over_count = 0  # rows that go over to another set

    def plan(
        self, alive: Iterable[int], tables: Mapping[int, Mapping[int, float]], servers: Mapping[int, PinningHost]
    ) -> dict[int, list[Route]]:
        """Rows by set, of all slices in our charge. A row names what cannot be served as the table says."""
        alive, out = [s for s in alive if s in self.release_sets], {}
        self.unserved_count = self.carried_over_count = 0
        given, sound = self.extra_hosts, {h: s for h, s in servers.items() if s.is_eligible}
        self.extra_hosts = {}
        for number in alive:
            rows = out[number] = list[Route]()
            for at, operation in enumerate(self.request_classes):
                version = self.release_sets[number][operation]
                # A whole fleet that serves it is what a day without a release is made of: nothing to look at then.
                if all(s.serves(operation, version) for s in sound.values()):
                    slices = [s for s, lines in tables.items() if not lines.keys() <= sound.keys()]
                else:
                    slices = list(tables)
                for slice in slices:
                    if row := self.plan_route(
                        slice, at, operation, version, number, alive, tables[slice], servers, given
                    ):
                        rows.append(row)
        return out

    def plan_route(
        self,
        slice: int,
        at: int,
        operation: str,
        version: int,
        number: int,
        alive: list[int],
        lines: Mapping[int, float],
        servers: Mapping[int, PinningHost],
        given: Mapping[tuple[int, int], set[int]],
    ) -> Route | None:
        key = (slice, at)

        def may(host: int) -> bool:
            good = host in given.get(key, ()) or self.may_take_slice(host)
            if good:
                self.extra_hosts.setdefault(key, set()).add(host)
            return good

        found = select_hosts(slice, operation, version, lines, servers, may)
        if found is None:
            return None
        no = self.no_host_policies[operation]
        if not found and no.may_carry_over:
            for other in alive:
                if number in self.predecessors.get(other, ()):
                    newer = self.release_sets[other][operation]
                    found = select_hosts(slice, operation, newer, lines, servers, may)
                    if found is None:
                        found = dict(lines)
                    if found:
                        self.carried_over_count += 1
                        return slice, at, newer, sorted(found.items()), no.wait_ms
            found = {}
        self.unserved_count += not found
        return slice, at, version, sorted(found.items()), no.wait_ms
