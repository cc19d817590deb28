"""The module's state out and in, as values that a file can hold. Decides nothing.

A module loaded from what was dumped acts from there exactly as the one that ran on: the order of hosts, slices, lines
and rates is part of the state, since sums and ties go by it. Lists of marks are not kept, only how far they had come.
"""

from __future__ import annotations

from collections import deque
from operator import attrgetter
from typing import Any

import msgspec

from .. import interface as api
from ..assignment import Assigner
from ..assignment.state import Host, Slice

# Frozen: the left side of a table is what files and handovers hold, in this order. An attribute that is renamed changes
# on the right side alone.
HOST: dict[str, str] = {
    "id": "id",
    "listed": "is_listed",
    "since": "process_started_at_ms",
    "told": "start_learned_at_ms",
    "failed_at": "failed_at_ms",
    "good": "successes",
    "bad": "failures",
    "run": "consecutive_failures",
    "good_at": "succeeded_at_ms",
    "shown": "alive_at_ms",
    "latency": "latency_ms",
    "floor": "base_latency_ms",
    "load": "load",
    "probing": "is_being_checked",
    "echo": "health_check_latency_ms",
    "cordoned": "is_cordoned",
    "taken": "slices_taken",
    "taken_at": "taking_since_ms",
    "shed_at": "shed_at_ms",
    "goal": "shed_target_load",
    "pooled": "is_eligible",
    "sound": "is_healthy",
    "chilly": "is_warming_up",
    "space": "capacity",
    "fair": "fair_load",
    "stress": "latency_ratio",
}
SLICE: dict[str, str] = {
    "id": "id",
    "rate": "requests_per_second",
    "want_at": "candidate_since_ms",
    "hold_mark": "hold_version",
    "hold_end": "hold_ends_at_ms",
    "looked": "hosts_considered",
    "rates": "rate_by_class",
}
# Figures of the module and of its parts; a dot leads to a part. What else they hold follows from the settings and the
# seed, or is worked out at the head of a turn.
VALUES: dict[str, str] = {
    "level": "admission_level",
    "level_at": "admission_changed_at_ms",
    "levels_due": "is_admission_due",
    "born": "started_at_ms",
    "now": "publication.now_ms",
    "urgent": "publication.is_decision_due",
    "room": "publication.line_budget",
    "orders": "publication.lines_published",
    "mark": "pending_versions.last_version",
    "fresh": "host_health.has_fresh_list",
    "draws": "host_health.random_draws",
    "done": "host_health.recent_successes",
    "asked": "load_estimator.recent_requests",
    "faded_at": "load_estimator.decayed_at_ms",
    "shared_at": "load_estimator.ownership_changed_at_ms",
    "peak": "load_estimator.peak_load_per_capacity",
    "window": "fleet.report_window_ms",
    "wait": "fleet.feedback_delay_ms",
    "median": "fleet.median_latency_ratio",
    "usual": "fleet.typical_latency_ms",
    "strained": "fleet.overload_ratio",
    "fit": "fleet.answerable_share",
    "mean": "fleet.load_per_capacity",
    "whole": "fleet.site_load_per_capacity",
    "heaviest": "fleet.max_score_factor",
}

HOST_FIELDS, SLICE_FIELDS = list(HOST), list(SLICE)
_host_values = attrgetter(*HOST.values())
_slice_values = attrgetter(*SLICE.values())
_values = attrgetter(*VALUES.values())
RATES = SLICE_FIELDS.index("rates")


class HostEntryState(msgspec.Struct):
    """A row of the list of hosts, under its stored names."""

    host: int = msgspec.field(name="host")
    zone: int = msgspec.field(name="zone", default=0)
    kind: int = msgspec.field(name="kind", default=0)
    cell: int = msgspec.field(name="cell", default=0)
    state: str = msgspec.field(name="state", default="up")
    weight: float = msgspec.field(name="weight", default=1.0)
    online_since: float = msgspec.field(name="online_since", default=0.0)

    @classmethod
    def of(cls, e: api.HostEntry) -> HostEntryState:
        """An entry as it is stored."""
        return cls(e.host, e.zone, e.kind, e.cell, e.state, e.weight, e.online_since)

    def entry(self) -> api.HostEntry:
        """The entry that was stored."""
        state = api.HostState(self.state)
        return api.HostEntry(self.host, self.zone, self.kind, self.cell, state, self.weight, self.online_since)


class HostState(msgspec.Struct, array_like=True):
    entry: HostEntryState
    fields: list[Any]  # in the order of `HOST`


class SliceState(msgspec.Struct, array_like=True):
    lines: list[tuple[int, float]]
    owner: int | None
    helpers: list[int]
    want: int | None
    held: int | None
    fields: list[Any]  # in the order of `SLICE`


class ModuleState(msgspec.Struct):
    seed: int = msgspec.field(name="seed")
    values: dict[str, Any] = msgspec.field(name="values")
    proxies: list[tuple[int, list[tuple[int, float]]]] = msgspec.field(name="proxies")
    sent: list[float] = msgspec.field(name="sent")
    typical: list[tuple[int, float]] = msgspec.field(name="typical")
    host_fields: list[str] = msgspec.field(name="host_fields")
    slice_fields: list[str] = msgspec.field(name="slice_fields")
    hosts: list[HostState] = msgspec.field(name="hosts")
    slices: list[SliceState] = msgspec.field(name="slices")
    ranked: list[int] = msgspec.field(name="ranked")  # hosts in the order in which lists of marks take them in


def dump(a: Assigner) -> ModuleState:
    return ModuleState(
        a.seed,
        dict(zip(VALUES, _values(a), strict=True)),
        [(p, list(out)) for p, out in a.pending_versions.unacked_by_proxy.items()],
        list(a.pending_versions.sent_at_ms),
        list(a.fleet.typical_latency_ms_by_kind.items()),
        HOST_FIELDS,
        SLICE_FIELDS,
        [HostState(HostEntryState.of(h.entry), list(_host_values(h))) for h in a.hosts.values()],
        [
            SliceState(
                [(h.id, w) for h, w in s.weights.items()],
                s.owner.id if s.owner else None,
                [h.id for h in s.replicas],
                s.candidate.id if s.candidate else None,
                s.previous_owner.id if s.previous_owner else None,
                slice_fields(s),
            )
            for s in a.slices.values()
        ],
        [h.id for h in a.rendezvous.hosts],
    )


def slice_fields(s: Slice) -> list[Any]:
    """The rates as pairs: their order is part of the state."""
    fields = list(_slice_values(s))
    fields[RATES] = list(fields[RATES].items())
    return fields


def load(settings: api.Settings, state: ModuleState) -> Assigner:
    """Raises `ValueError` naming what does not fit this version's module."""
    a = Assigner(settings, state.seed)
    if state.host_fields != HOST_FIELDS or state.slice_fields != SLICE_FIELDS:
        odd = set(state.host_fields) ^ set(HOST_FIELDS) | set(state.slice_fields) ^ set(SLICE_FIELDS)
        raise ValueError(f"fields of hosts or slices differ: {sorted(odd)}")
    for row in state.hosts:
        entry = row.entry.entry()
        h = a.hosts[entry.host] = Host(entry.host, entry)
        for attribute, value in zip(HOST.values(), row.fields, strict=True):
            setattr(h, attribute, value)

    def at(id: int) -> Host:
        if id not in a.hosts:
            raise ValueError(f"host {id} is named and not there")
        return a.hosts[id]

    for one in state.slices:
        s = Slice(-1)
        for name, value in zip(SLICE, one.fields, strict=True):
            setattr(s, SLICE[name], dict(value) if name == "rates" else value)
        s.weights = {at(id): w for id, w in one.lines}
        s.owner, s.candidate, s.previous_owner = (
            None if id is None else at(id) for id in (one.owner, one.want, one.held)
        )
        s.replicas = [at(id) for id in one.helpers]
        a.slices[s.id] = s
    a.pending_versions.unacked_by_proxy = {p: deque((m, c) for m, c in out) for p, out in state.proxies}
    a.pending_versions.sent_at_ms, a.fleet.typical_latency_ms_by_kind = deque(state.sent), dict(state.typical)
    a.rendezvous.add(at(id) for id in state.ranked)
    for name, value in state.values.items():
        if name not in VALUES:
            raise ValueError(f"no part of this module has a figure {name}")
        part, _, attribute = VALUES[name].rpartition(".")
        setattr(attrgetter(part)(a) if part else a, attribute, value)
    return a
