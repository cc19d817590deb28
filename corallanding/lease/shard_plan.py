"""Who is to have which shard: evenly by weight, moved as little as can be, in fair turns. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from .tasks import each


def plan(
    has: Mapping[int, int],
    wants: Mapping[int, int],
    weights: Sequence[int],
    turns: Mapping[tuple[int, int], float],
    sticky: int = 0,
) -> dict[int, int]:
    """has, wants: steward to a set of shards; no shard is had twice. turns: (shard, steward) to when it last had it.
    sticky: shards that go over only when they are given back.

    A shard stays where it is wanted, unless its holder has more than its even part and another less. What is free goes
    to who has least, and of those to who had it longest ago. Only stewards in `wants` get any.
    """
    out = {who: has.get(who, 0) & wants[who] for who in wants}
    load = {who: sum(weights[k] for k in each(bits)) for who, bits in out.items()}
    taken = 0
    for bits in out.values():
        taken |= bits
    free = 0
    for bits in wants.values():
        free |= bits
    for shard in sorted(each(free & ~taken), key=lambda k: (-weights[k], k)):
        able = [who for who, bits in wants.items() if bits >> shard & 1]
        best = min(able, key=lambda who: (load[who], turns.get((shard, who), float("-inf")), who))
        out[best] |= 1 << shard
        load[best] += weights[shard]
    for _ in range(len(weights)):
        # The one that has most gives one shard to the one that has least of those that want it, while that evens out.
        most = max(load, key=lambda who: (load[who], who), default=None)
        if most is None:
            break
        best_move: tuple[int, int, int] | None = None  # difference left, shard, to
        for who in sorted(load, key=lambda who: (load[who], who)):
            gap = load[most] - load[who]
            if gap < 2 or best_move is not None:
                break  # to the one that has least: what went to another would be passed on later
            for shard in each(out[most] & wants[who] & ~sticky):
                if 0 < weights[shard] < gap:
                    left = abs(gap - 2 * weights[shard])
                    if best_move is None or (left, shard, who) < best_move:
                        best_move = (left, shard, who)
        if best_move is None:
            break
        _, shard, to = best_move
        out[most] &= ~(1 << shard)
        out[to] |= 1 << shard
        load[most] -= weights[shard]
        load[to] += weights[shard]
    return out
