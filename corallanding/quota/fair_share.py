"""Whole rights among those who want them: as even as can be, nobody more than it wants."""

from __future__ import annotations

from collections.abc import Mapping


def share(pool: int, wants: Mapping[int, int], turn: int = 0) -> dict[int, int]:
    """Max-min fair. turn: where the units that are left over begin to be given out, so that they do not always go to
    the same; the sum is min(pool, sum of wants)."""
    out = dict.fromkeys(wants, 0)
    rest = max(0, pool)
    hungry = sorted(who for who, want in wants.items() if want > 0)
    while rest and hungry:
        each = rest // len(hungry)
        if not each:
            first = turn % len(hungry)
            for who in (hungry[first:] + hungry[:first])[:rest]:
                out[who] += 1
            break
        for who in hungry:
            part = min(each, wants[who] - out[who])
            out[who] += part
            rest -= part
        hungry = [who for who in hungry if out[who] < wants[who]]
    return out
