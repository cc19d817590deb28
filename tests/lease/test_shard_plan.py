"""The plan of shards: each is assigned once, balanced, with few moves."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from corallanding.lease.shard_plan import plan_shards
from corallanding.lease.tasks import shard_list


@given(st.integers(1, 6), st.integers(0, 2**40 - 1), st.randoms())
def test_plan_when_made_then_assigns_each_wanted_shard_once_evenly_with_fewest_moves(
    controller_count: int, wanted_shards: int, rng: random.Random
) -> None:
    weights = [1] * 40
    wanted = dict.fromkeys(range(controller_count), wanted_shards)
    held, shuffled = dict.fromkeys(range(controller_count), 0), shard_list(wanted_shards)
    rng.shuffle(shuffled)
    for shard in shuffled[: rng.randint(0, len(shuffled))]:
        held[rng.randrange(controller_count)] |= 1 << shard
    planned = plan_shards(held, wanted, weights, {})
    assigned = 0
    for shards in planned.values():
        assert not assigned & shards
        assigned |= shards
    sizes = [shards.bit_count() for shards in planned.values()]
    assert assigned == wanted_shards
    assert max(sizes) - min(sizes) <= 1
    moved_count = sum((held[controller] & ~planned[controller]).bit_count() for controller in held)
    # The holders of most shards keep the remainder; all shards above their share must move, whichever are free.
    even_share, remainder = divmod(wanted_shards.bit_count(), controller_count)
    held_counts = sorted((shards.bit_count() for shards in held.values()), reverse=True)
    assert moved_count == sum(max(0, count - even_share - (rank < remainder)) for rank, count in enumerate(held_counts))
