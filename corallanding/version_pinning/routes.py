"""What forwarders are told of pinned invocations, where the slice's own lines will not do. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from .version_selection import Server, Versions, lines_for

Row = tuple[int, int, int, list[tuple[int, float]], float]  # slice, operation, version, lines, wait


@dataclass(frozen=True)
class NoHost:
    """What becomes of a run whose version no host serves. wait: ms, 0: it is refused. carry: it may go over to another
    set that is declared compatible."""

    wait: float = 0.0
    carry: bool = False


class Routes:
    """operations: names in their order. carries: set to those that may go over to it. may: whether a cold host may take
    one more slice now (`cold_slices`), asked once for each that it is given beyond its lines."""

    def __init__(
        self,
        operations: tuple[str, ...],
        sets: Mapping[int, Versions],
        carries: Mapping[int, Iterable[int]],
        no_host: Mapping[str, NoHost],
        may: Callable[[int], bool],
    ) -> None:
        self.operations, self.sets, self.carries, self.no_host, self.may = operations, sets, carries, no_host, may
        self.given: dict[tuple[int, int], set[int]] = {}  # (slice, operation): cold hosts, beyond their lines
        self.stranded = 0  # rows without a host, as last planned
        self.carried = 0  # rows that go over to another set

    def plan(
        self, alive: Iterable[int], tables: Mapping[int, Mapping[int, float]], servers: Mapping[int, Server]
    ) -> dict[int, list[Row]]:
        """Rows by set, of all slices in our charge. A row names what cannot be served as the table says."""
        alive, out = [s for s in alive if s in self.sets], {}
        self.stranded = self.carried = 0
        given, sound = self.given, {h: s for h, s in servers.items() if s.sound}
        self.given = {}
        for number in alive:
            rows = out[number] = list[Row]()
            for at, operation in enumerate(self.operations):
                version = self.sets[number][operation]
                # A whole fleet that serves it is what a day without a release is made of: nothing to look at then.
                if all(s.serves(operation, version) for s in sound.values()):
                    slices = [s for s, lines in tables.items() if not lines.keys() <= sound.keys()]
                else:
                    slices = list(tables)
                for slice in slices:
                    if row := self.row(slice, at, operation, version, number, alive, tables[slice], servers, given):
                        rows.append(row)
        return out

    def row(
        self,
        slice: int,
        at: int,
        operation: str,
        version: int,
        number: int,
        alive: list[int],
        lines: Mapping[int, float],
        servers: Mapping[int, Server],
        given: Mapping[tuple[int, int], set[int]],
    ) -> Row | None:
        key = (slice, at)

        def may(host: int) -> bool:
            good = host in given.get(key, ()) or self.may(host)
            if good:
                self.given.setdefault(key, set()).add(host)
            return good

        found = lines_for(slice, operation, version, lines, servers, may)
        if found is None:
            return None
        no = self.no_host[operation]
        if not found and no.carry:
            for other in alive:
                if number in self.carries.get(other, ()):
                    newer = self.sets[other][operation]
                    found = lines_for(slice, operation, newer, lines, servers, may)
                    if found is None:
                        found = dict(lines)
                    if found:
                        self.carried += 1
                        return slice, at, newer, sorted(found.items()), no.wait
            found = {}
        self.stranded += not found
        return slice, at, version, sorted(found.items()), no.wait
