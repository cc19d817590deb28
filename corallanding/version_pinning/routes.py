"""Routes of pinned workflow runs, for the slices whose tables do not serve a pinned version."""

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
    """The handling of a request whose version no host serves.

    It waits for `wait_ms`, or is rejected at once if that is 0. With `may_carry_over` the run may switch to another
    release set that is declared compatible.
    """

    wait_ms: float = 0.0
    may_carry_over: bool = False


@dataclass(frozen=True)
class _PlanInput:
    """The input of one plan of routes. `tables` maps a slice to the weights of its hosts."""

    live_sets: tuple[int, ...]
    tables: Mapping[int, Mapping[int, float]]
    hosts: Mapping[int, PinningHost]
    eligible_hosts: Mapping[int, PinningHost]

    def slices_to_check(self, request_class: str, version: int) -> list[int]:
        """Return the slices whose table may not serve the version.

        Unless a release is in progress all eligible hosts serve it, and only tables with other hosts need a check.
        """
        if all(host.serves(request_class, version) for host in self.eligible_hosts.values()):
            eligible = self.eligible_hosts.keys()
            return [number for number, weights in self.tables.items() if not weights.keys() <= eligible]
        return list(self.tables)


class _SliceClass(NamedTuple):
    """One slice and request class for which a route is planned."""

    slice: int
    class_index: int
    request_class: str


class RoutePlanner:
    """Plans the routes of all live release sets.

    `request_classes` are in the order of their indexes. `predecessors` maps a release set to those whose runs may
    switch to it. `may_take_slice` returns whether a warming host may take one more slice now; it is called once for
    each slice and request class that the host is assigned beyond its table entries.
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
        self.carried_over_count = 0  # routes of the last plan that use another release set

    def plan(
        self, live_sets: Iterable[int], tables: Mapping[int, Mapping[int, float]], hosts: Mapping[int, PinningHost]
    ) -> dict[int, list[Route]]:
        """Return the routes by release set, only for slices whose table does not serve the version.

        `tables` are those of the slices that this controller owns.
        """
        eligible_hosts = {number: host for number, host in hosts.items() if host.is_eligible}
        known_sets = tuple(number for number in live_sets if number in self.release_sets)
        plan_input = _PlanInput(known_sets, tables, hosts, eligible_hosts)
        self.unserved_count = 0
        self.carried_over_count = 0
        self._former_extra_hosts = self.extra_hosts
        self.extra_hosts = {}
        return {number: self._plan_set(plan_input, number) for number in known_sets}

    def _plan_set(self, plan_input: _PlanInput, release_set: int) -> list[Route]:
        routes: list[Route] = []
        for class_index, request_class in enumerate(self.request_classes):
            version = self.release_sets[release_set][request_class]
            for slice_number in plan_input.slices_to_check(request_class, version):
                route = self._plan_route(plan_input, release_set, _SliceClass(slice_number, class_index, request_class))
                if route is not None:
                    routes.append(route)
        return routes

    def _plan_route(self, plan_input: _PlanInput, release_set: int, slice_class: _SliceClass) -> Route | None:
        """Return the route of one slice and class; None if the table of the slice serves the version."""
        version = self.release_sets[release_set][slice_class.request_class]
        hosts = self._select(plan_input, slice_class, version)
        if hosts is None:
            return None
        policy = self.no_host_policies[slice_class.request_class]
        if not hosts and policy.may_carry_over:
            carried = self._carry_over(plan_input, release_set, slice_class)
            if carried is not None:
                self.carried_over_count += 1
                return carried
        self.unserved_count += not hosts
        return _route(slice_class, version, hosts, policy)

    def _carry_over(self, plan_input: _PlanInput, release_set: int, slice_class: _SliceClass) -> Route | None:
        """Return a route to the first live release set that accepts runs of `release_set` and has a host."""
        for successor in plan_input.live_sets:
            if release_set not in self.predecessors.get(successor, ()):
                continue
            version = self.release_sets[successor][slice_class.request_class]
            hosts = self._select(plan_input, slice_class, version)
            if hosts is None:
                hosts = dict(plan_input.tables[slice_class.slice])
            if hosts:
                return _route(slice_class, version, hosts, self.no_host_policies[slice_class.request_class])
        return None

    def _select(self, plan_input: _PlanInput, slice_class: _SliceClass, version: int) -> dict[int, float] | None:
        weights = plan_input.tables[slice_class.slice]
        key = (slice_class.slice, slice_class.class_index)
        return select_hosts(
            slice_class.slice,
            slice_class.request_class,
            version,
            weights,
            plan_input.hosts,
            lambda host: self._may_use_warming_host(key, host),
        )

    def _may_use_warming_host(self, key: tuple[int, int], host: int) -> bool:
        """Return whether a warming host may serve that slice and class; hosts of the last plan stay allowed."""
        may_use = host in self._former_extra_hosts.get(key, ()) or self.may_take_slice(host)
        if may_use:
            self.extra_hosts.setdefault(key, set()).add(host)
        return may_use


def _route(slice_class: _SliceClass, version: int, hosts: Mapping[int, float], policy: NoHostPolicy) -> Route:
    return Route(slice_class.slice, slice_class.class_index, version, sorted(hosts.items()), policy.wait_ms)
