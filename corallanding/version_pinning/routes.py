"""Routes of pinned workflow runs: what proxies are told where the tables of the slices do not serve a version."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from .version_selection import PinningHost, ReleaseSet, select_hosts


class Route(NamedTuple):
    """The hosts, with weights, for requests of one class and slice that are pinned to a version.

    `request_class` is its index. Without hosts a proxy holds the request for `wait_ms` and then rejects it.
    """

    slice: int
    request_class: int
    version: int
    hosts: list[tuple[int, float]]
    wait_ms: float


@dataclass(frozen=True)
class NoHostPolicy:
    """What becomes of a request whose version no host serves.

    It waits for `wait_ms`, or is rejected at once with 0. With `may_carry_over` the run may go over to another release
    set that is declared compatible.
    """

    wait_ms: float = 0.0
    may_carry_over: bool = False


@dataclass(frozen=True)
class _Fleet:
    """What one plan of routes rests on. `tables` maps a slice to the weights of its hosts."""

    live_sets: tuple[int, ...]
    tables: Mapping[int, Mapping[int, float]]
    hosts: Mapping[int, PinningHost]
    eligible_hosts: Mapping[int, PinningHost]

    def slices_to_check(self, request_class: str, version: int) -> list[int]:
        """Slices whose table may not serve the version.

        Without a release under way all eligible hosts serve it, and only tables with other hosts are left to look at.
        """
        if all(host.serves(request_class, version) for host in self.eligible_hosts.values()):
            eligible = self.eligible_hosts.keys()
            return [number for number, weights in self.tables.items() if not weights.keys() <= eligible]
        return list(self.tables)


class _Subject(NamedTuple):
    """One slice and request class for which a route is planned."""

    slice: int
    class_index: int
    request_class: str


class RoutePlanner:
    """Plans the routes of all live release sets.

    `request_classes` are in the order of their indexes. `predecessors` maps a release set to those whose runs may go
    over to it. `may_take_slice` tells whether a warming host may take one more slice now; it is asked once for each
    slice and request class that the host is given beyond its table entries.
    """

    def __init__(
        self,
        request_classes: tuple[str, ...],
        release_sets: Mapping[int, ReleaseSet],
        predecessors: Mapping[int, Iterable[int]],
        no_host_policies: Mapping[str, NoHostPolicy],
        may_take_slice: Callable[[int], bool],
    ) -> None:
        self.request_classes = request_classes
        self.release_sets = release_sets
        self.predecessors = predecessors
        self.no_host_policies = no_host_policies
        self.may_take_slice = may_take_slice
        self.extra_hosts: dict[tuple[int, int], set[int]] = {}  # warming hosts, by slice and class index
        self._former_extra_hosts: dict[tuple[int, int], set[int]] = {}
        self.unserved_count = 0  # routes without a host in the last plan
        self.carried_over_count = 0  # routes of the last plan that go over to another release set

    def plan(
        self, live_sets: Iterable[int], tables: Mapping[int, Mapping[int, float]], hosts: Mapping[int, PinningHost]
    ) -> dict[int, list[Route]]:
        """The routes by release set; a route stands only where the table of the slice does not serve the version.

        `tables` are those of the slices that this controller owns.
        """
        eligible_hosts = {number: host for number, host in hosts.items() if host.is_eligible}
        known_sets = tuple(number for number in live_sets if number in self.release_sets)
        fleet = _Fleet(known_sets, tables, hosts, eligible_hosts)
        self.unserved_count = 0
        self.carried_over_count = 0
        self._former_extra_hosts = self.extra_hosts
        self.extra_hosts = {}
        return {number: self._plan_set(fleet, number) for number in known_sets}

    def _plan_set(self, fleet: _Fleet, release_set: int) -> list[Route]:
        routes: list[Route] = []
        for class_index, request_class in enumerate(self.request_classes):
            version = self.release_sets[release_set][request_class]
            for slice_number in fleet.slices_to_check(request_class, version):
                route = self._plan_route(fleet, release_set, _Subject(slice_number, class_index, request_class))
                if route is not None:
                    routes.append(route)
        return routes

    def _plan_route(self, fleet: _Fleet, release_set: int, subject: _Subject) -> Route | None:
        """The route of one slice and class; None if the table of the slice serves the version."""
        version = self.release_sets[release_set][subject.request_class]
        hosts = self._select(fleet, subject, version)
        if hosts is None:
            return None
        policy = self.no_host_policies[subject.request_class]
        if not hosts and policy.may_carry_over:
            carried = self._carry_over(fleet, release_set, subject)
            if carried is not None:
                self.carried_over_count += 1
                return carried
        self.unserved_count += not hosts
        return _route(subject, version, hosts, policy)

    def _carry_over(self, fleet: _Fleet, release_set: int, subject: _Subject) -> Route | None:
        """The route to the first live release set that takes runs of `release_set` over and has a host."""
        for successor in fleet.live_sets:
            if release_set not in self.predecessors.get(successor, ()):
                continue
            version = self.release_sets[successor][subject.request_class]
            hosts = self._select(fleet, subject, version)
            if hosts is None:
                hosts = dict(fleet.tables[subject.slice])
            if hosts:
                return _route(subject, version, hosts, self.no_host_policies[subject.request_class])
        return None

    def _select(self, fleet: _Fleet, subject: _Subject, version: int) -> dict[int, float] | None:
        weights = fleet.tables[subject.slice]
        key = (subject.slice, subject.class_index)
        return select_hosts(
            subject.slice,
            subject.request_class,
            version,
            weights,
            fleet.hosts,
            lambda host: self._may_use_warming_host(key, host),
        )

    def _may_use_warming_host(self, key: tuple[int, int], host: int) -> bool:
        """Whether a warming host may serve that slice and class; a host of the last plan is not asked for again."""
        may_use = host in self._former_extra_hosts.get(key, ()) or self.may_take_slice(host)
        if may_use:
            self.extra_hosts.setdefault(key, set()).add(host)
        return may_use


def _route(subject: _Subject, version: int, hosts: Mapping[int, float], policy: NoHostPolicy) -> Route:
    return Route(subject.slice, subject.class_index, version, sorted(hosts.items()), policy.wait_ms)
