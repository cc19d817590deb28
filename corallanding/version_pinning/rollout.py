"""Rollout of releases: the next step of the release register, as the holder of the release task decides it.

One step at a time: a closed set without runs is retired; then the wanted set opens beside the current one, once some
host serves it; then the old set closes, once the new one has as much capacity or nothing serves the old one.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import replace
from typing import NamedTuple

from .release_register import MAX_LIVE_SETS, ReleaseRegister

NO_CAPACITY = 0.0
BOTH_OPEN = 2  # open sets while a release goes on


class RolloutDecision(NamedTuple):
    """The next register and why it changes; or no register and what stands in the way ("" if nothing is to do)."""

    register: ReleaseRegister | None
    reason: str


NOTHING_TO_DO = RolloutDecision(None, "")


def first_register(wanted_set: int) -> ReleaseRegister:
    """The register of a fleet that had none."""
    return ReleaseRegister(1, wanted_set, (wanted_set,))


def next_register(
    register: ReleaseRegister,
    wanted_set: int,
    configured_sets: Collection[int],
    capacities: Mapping[int, float],
    unused_sets: Collection[int],
) -> RolloutDecision:
    """Decide the next step towards `wanted_set`.

    `capacities` has for each set what the eligible hosts that serve all of it can do now. `unused_sets` are closed sets
    that no run needs any more.
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
    """Open `wanted_set` beside the current one, if it is configured, not retired, and some host serves it."""
    if wanted_set not in configured_sets:
        return RolloutDecision(None, f"set {wanted_set} is not configured here")
    if wanted_set not in register.live_sets and wanted_set <= register.highest_set:
        return RolloutDecision(None, f"set {wanted_set} is retired")
    if capacities.get(wanted_set, NO_CAPACITY) <= NO_CAPACITY:
        return RolloutDecision(None, f"no host serves set {wanted_set} whole")
    others = tuple(number for number in register.live_sets if number != wanted_set)
    if len(others) >= MAX_LIVE_SETS:
        return RolloutDecision(None, f"{MAX_LIVE_SETS} sets are alive")
    opened = replace(
        _next_version(register),
        live_sets=(wanted_set, *others),
        open_count=BOTH_OPEN,
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
