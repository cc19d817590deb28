"""Plan which controller holds which shard: balanced by weight, with as few moves as possible, in fair rotation."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from .tasks import shard_list


class Move(NamedTuple):
    """A possible move of a shard to another controller. Moves are ordered by the load difference that remains."""

    remaining_difference: int
    shard: int
    receiver: int


def plan_shards(
    held: Mapping[int, int],
    wanted: Mapping[int, int],
    weights: Sequence[int],
    last_held_at_ms: Mapping[tuple[int, int], float],
    sticky_shards: int = 0,
) -> dict[int, int]:
    """Return the planned set of shards of each controller.

    `held` and `wanted` map a controller to a set of shards; no shard is held twice. `last_held_at_ms` maps (shard,
    controller) to the time at which that controller last held the shard. Sticky shards move only when released.

    A shard stays with a holder that wants it, unless that holder has more than an even share and another one less. A
    free shard goes to the controller with the least load, and among equals to the one that held it longest ago. Only
    controllers in `wanted` get shards.
    """
    planned = {controller: held.get(controller, 0) & wanted[controller] for controller in wanted}
    load = {controller: sum(weights[shard] for shard in shard_list(shards)) for controller, shards in planned.items()}
    _assign_free_shards(planned, load, wanted, weights, last_held_at_ms)
    for _ in range(len(weights)):
        if not _move_one_shard(planned, load, wanted, weights, sticky_shards):
            break
    return planned


def _assign_free_shards(
    planned: dict[int, int],
    load: dict[int, int],
    wanted: Mapping[int, int],
    weights: Sequence[int],
    last_held_at_ms: Mapping[tuple[int, int], float],
) -> None:
    free = _union(wanted.values()) & ~_union(planned.values())
    for shard in sorted(shard_list(free), key=lambda shard: (-weights[shard], shard)):
        candidates = [controller for controller, shards in wanted.items() if shards >> shard & 1]
        receiver = min(candidates, key=lambda c: (load[c], last_held_at_ms.get((shard, c), float("-inf")), c))
        planned[receiver] |= 1 << shard
        load[receiver] += weights[shard]


def _move_one_shard(
    planned: dict[int, int],
    load: dict[int, int],
    wanted: Mapping[int, int],
    weights: Sequence[int],
    sticky_shards: int,
) -> bool:
    """Move one shard away from the most loaded controller if that balances the load; return whether one moved."""
    sender = max(load, key=lambda controller: (load[controller], controller), default=None)
    if sender is None:
        return False
    move = _best_move(sender, planned, load, wanted, weights, sticky_shards)
    if move is None:
        return False
    planned[sender] &= ~(1 << move.shard)
    planned[move.receiver] |= 1 << move.shard
    load[sender] -= weights[move.shard]
    load[move.receiver] += weights[move.shard]
    return True


def _best_move(
    sender: int,
    planned: Mapping[int, int],
    load: Mapping[int, int],
    wanted: Mapping[int, int],
    weights: Sequence[int],
    sticky_shards: int,
) -> Move | None:
    """Return the best move to the least loaded controller that wants a shard of the sender; None if there is none.

    A move to any other controller would have to be repeated.
    """
    for receiver in sorted(load, key=lambda controller: (load[controller], controller)):
        gap = load[sender] - load[receiver]
        if gap < 2:
            return None
        movable = shard_list(planned[sender] & wanted[receiver] & ~sticky_shards)
        moves = [Move(abs(gap - 2 * weights[s]), s, receiver) for s in movable if 0 < weights[s] < gap]
        if moves:
            return min(moves)
    return None


def _union(shard_sets: Iterable[int]) -> int:
    shards = 0
    for shard_set in shard_sets:
        shards |= shard_set
    return shards
