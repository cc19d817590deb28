"""Rollout of releases: how the holder of the release task decides the next change of the release register.

Each change is one step: a closed set without runs is retired; then the wanted set opens beside the current one, once
some host serves it; then the old set closes, once the new one has at least the same capacity or no host serves the old
one.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import replace
from typing import NamedTuple

from .release_register import MAX_LIVE_SETS, ReleaseRegister

NO_CAPACITY = 0.0
OPEN_SETS_DURING_RELEASE = 2


class RolloutDecision(NamedTuple):
    """The next register and the reason for the change; or None and what blocks the release ("" if nothing does)."""

    register: ReleaseRegister | None
    reason: str


NOTHING_TO_DO = RolloutDecision(None, "")


def first_register(wanted_set: int) -> ReleaseRegister:
    """Return the first register of a fleet."""
    return ReleaseRegister(1, wanted_set, (wanted_set,))


def next_register(
    register: ReleaseRegister,
    wanted_set: int,
    configured_sets: Collection[int],
    capacities: Mapping[int, float],
    unused_sets: Collection[int],
) -> RolloutDecision:
    """Return the next step towards `wanted_set`.

    `capacities` maps a set to the current capacity of the eligible hosts that serve all of it. `unused_sets` are closed
    sets that have no runs left.
    """
    for number in register.closed_sets:
        if number in unused_sets:
            return _retire(register, number)
    if register.current_set != wanted_set:
        return open_set(register, wanted_set, configured_sets, capacities)
    if register.open_count > 1:
        return _close_previous(register, capacities)
    return NOTHING_TO_DO


def open_set(
    register: ReleaseRegister, wanted_set: int, configured_sets: Collection[int], capacities: Mapping[int, float]
) -> RolloutDecision:
    """Open `wanted_set` beside the current one if it is configured, not retired, and served by some host."""
    if wanted_set not in configured_sets:
        return RolloutDecision(None, f"set {wanted_set} is not configured here")
    if wanted_set not in register.live_sets and wanted_set <= register.highest_set:
        return RolloutDecision(None, f"set {wanted_set} is retired")
    if capacities.get(wanted_set, NO_CAPACITY) <= NO_CAPACITY:
        return RolloutDecision(None, f"no host serves all of set {wanted_set}")
    others = tuple(number for number in register.live_sets if number != wanted_set)
    if len(others) >= MAX_LIVE_SETS:
        return RolloutDecision(None, f"{MAX_LIVE_SETS} sets are already live")
    opened = replace(
        _next_version(register),
        live_sets=(wanted_set, *others),
        open_count=OPEN_SETS_DURING_RELEASE,
        highest_set=max(register.highest_set, wanted_set),
    )
    return RolloutDecision(opened, f"set {wanted_set} opened")


def _retire(register: ReleaseRegister, retired_set: int) -> RolloutDecision:
    remaining = tuple(number for number in register.live_sets if number != retired_set)
    return RolloutDecision(replace(_next_version(register), live_sets=remaining), f"set {retired_set} retired")


def _close_previous(register: ReleaseRegister, capacities: Mapping[int, float]) -> RolloutDecision:
    current, previous = register.live_sets[:2]
    if capacities.get(current, NO_CAPACITY) < capacities.get(previous, NO_CAPACITY):
        return NOTHING_TO_DO
    return RolloutDecision(replace(_next_version(register), open_count=1), f"set {previous} closed")


def _next_version(register: ReleaseRegister) -> ReleaseRegister:
    return replace(register, version=register.version + 1)
