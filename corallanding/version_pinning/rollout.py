"""What the holder of the release task makes of it: which set becomes current, from when on alone, which is retired.
Pure."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import replace

from .release_register import MAX_LIVE_SETS, ReleaseRegister


def first_register(wanted: int) -> ReleaseRegister:
    return ReleaseRegister(1, wanted, (wanted,))


def next_register(
    now: ReleaseRegister, wanted: int, known: Collection[int], strength: Mapping[int, float], over: Collection[int]
) -> tuple[ReleaseRegister | None, str]:
    """wanted: the set that is to be current. known: sets that are configured. strength: of each set, the work that the
    sound hosts which serve it whole can do now. over: closed sets that no run needs any more.

    One step at a time: what is over goes; then the wanted set opens beside the old one, once some host serves it; the
    old one closes once the new is as strong, or nothing serves the old. Returns the register and why, or None and what
    stands in the way ("" if nothing is to be done).
    """
    step = replace(now, version=now.version + 1)
    for number in now.live_sets[now.open_count :]:
        if number in over:
            return replace(step, live_sets=tuple(n for n in now.live_sets if n != number)), f"set {number} retired"
    if now.current_set != wanted:
        return opened(now, step, wanted, known, strength)
    if now.open_count > 1:
        old = now.live_sets[1]
        if strength.get(wanted, 0.0) >= strength.get(old, 0.0):
            return replace(step, open_count=1), f"set {old} closed"
        return None, ""
    return None, ""


def opened(
    now: ReleaseRegister, step: ReleaseRegister, wanted: int, known: Collection[int], strength: Mapping[int, float]
) -> tuple[ReleaseRegister | None, str]:
    if wanted not in known:
        return None, f"set {wanted} is not configured here"
    if wanted not in now.live_sets and wanted <= now.highest_set:
        return None, f"set {wanted} is retired"
    if strength.get(wanted, 0.0) <= 0.0:
        return None, f"no host serves set {wanted} whole"
    rest = tuple(n for n in now.live_sets if n != wanted)
    if len(rest) >= MAX_LIVE_SETS:
        return None, f"{MAX_LIVE_SETS} sets are alive"
    alive = (wanted, *rest)
    return replace(
        step, live_sets=alive, open_count=2, highest_set=max(now.highest_set, wanted)
    ), f"set {wanted} opened"
