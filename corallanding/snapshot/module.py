"""The module's state out and in, as values that a file can hold. Decides nothing.

A module loaded from what was dumped acts from there exactly as the one that ran on: the order of hosts, slices, lines
and rates is part of the state, since sums and ties go by it. Lists of marks are not kept, only how far they had come.
"""

from __future__ import annotations

import dataclasses
from collections import deque
from typing import Any

import msgspec

from .. import interface as api
from ..assignment import Assigner
from ..assignment.state import Host, Slice

SETTLED = frozenset({"seed", "turn", "tight"})  # what follows from the settings and the seed
HOST = [f.name for f in dataclasses.fields(Host) if f.name not in ("entry", "marks")]
SLICE = [f.name for f in dataclasses.fields(Slice) if f.name not in ("lines", "owner", "helpers", "want", "held")]


class HostState(msgspec.Struct, array_like=True):
    entry: api.HostEntry
    fields: list[Any]  # in the order of `HOST`


class SliceState(msgspec.Struct, array_like=True):
    lines: list[tuple[int, float]]
    owner: int | None
    helpers: list[int]
    want: int | None
    held: int | None
    fields: list[Any]  # in the order of `SLICE`


class ModuleState(msgspec.Struct):
    seed: int
    values: dict[str, Any]
    proxies: list[tuple[int, list[tuple[int, float]]]]
    sent: list[float]
    typical: list[tuple[int, float]]
    host_fields: list[str]
    slice_fields: list[str]
    hosts: list[HostState]
    slices: list[SliceState]
    ranked: list[int]  # hosts in the order in which lists of marks take them in


def parts(a: Assigner) -> tuple[object, ...]:
    """Whose figures are kept, by names that no two of them share. What else they hold, the head of a turn works out."""
    return a, a.orders, a.pending, a.known, a.survey, a.figures


def plain(part: object) -> dict[str, float]:
    return {k: v for k, v in vars(part).items() if isinstance(v, bool | int | float) and k not in SETTLED}


def dump(a: Assigner) -> ModuleState:
    values = {k: v for part in parts(a) for k, v in plain(part).items()}
    return ModuleState(
        a.seed,
        values,
        [(p, list(out)) for p, out in a.pending.proxies.items()],
        list(a.pending.sent),
        list(a.figures.typical.items()),
        HOST,
        SLICE,
        [HostState(h.entry, [getattr(h, k) for k in HOST]) for h in a.hosts.values()],
        [
            SliceState(
                [(h.id, w) for h, w in s.lines.items()],
                s.owner.id if s.owner else None,
                [h.id for h in s.helpers],
                s.want.id if s.want else None,
                s.held.id if s.held else None,
                [list(s.rates.items()) if k == "rates" else getattr(s, k) for k in SLICE],
            )
            for s in a.slices.values()
        ],
        [h.id for h in a.ranks.servers],
    )


def load(settings: api.Settings, state: ModuleState) -> Assigner:
    """Raises `ValueError` naming what does not fit this version's module."""
    a = Assigner(settings, state.seed)
    if state.host_fields != HOST or state.slice_fields != SLICE:
        odd = set(state.host_fields) ^ set(HOST) | set(state.slice_fields) ^ set(SLICE)
        raise ValueError(f"fields of hosts or slices differ: {sorted(odd)}")
    for row in state.hosts:
        h = a.hosts[row.entry.host] = Host(row.entry.host, row.entry)
        for k, v in zip(HOST, row.fields, strict=True):
            setattr(h, k, v)

    def at(id: int) -> Host:
        if id not in a.hosts:
            raise ValueError(f"host {id} is named and not there")
        return a.hosts[id]

    for one in state.slices:
        s = Slice(-1)
        for k, v in zip(SLICE, one.fields, strict=True):
            setattr(s, k, dict(v) if k == "rates" else v)
        s.lines = {at(id): w for id, w in one.lines}
        s.owner, s.want, s.held = (None if id is None else at(id) for id in (one.owner, one.want, one.held))
        s.helpers = [at(id) for id in one.helpers]
        a.slices[s.id] = s
    a.pending.proxies = {p: deque((m, c) for m, c in out) for p, out in state.proxies}
    a.pending.sent, a.figures.typical = deque(state.sent), dict(state.typical)
    a.ranks.add(at(id) for id in state.ranked)
    for k, v in state.values.items():
        whose = next((part for part in parts(a) if k in plain(part)), None)
        if whose is None:
            raise ValueError(f"no part of this module has a figure {k}")
        setattr(whose, k, v)
    return a
