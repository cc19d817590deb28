"""The plan of shards: each once, evenly, with few moves."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from corallanding.lease.shard_plan import plan_shards
from corallanding.lease.tasks import shard_list


@given(st.integers(1, 6), st.integers(0, 2**40 - 1), st.randoms())
def test_plan_when_made_then_gives_each_wanted_shard_once_evenly_and_moves_little(
    n: int, free: int, r: random.Random
) -> None:
    weights = [1] * 40
    wants = dict.fromkeys(range(n), free)
    has, rest = dict.fromkeys(range(n), 0), shard_list(free)
    r.shuffle(rest)
    for shard in rest[: r.randint(0, len(rest))]:
        has[r.randrange(n)] |= 1 << shard
    out = plan_shards(has, wants, weights, {})
    together = 0
    for bits in out.values():
        assert not together & bits
        together |= bits
    sizes = [bits.bit_count() for bits in out.values()]
    assert together == free
    assert max(sizes) - min(sizes) <= 1
    moved = sum((has[w] & ~out[w]).bit_count() for w in has)
    # Whoever has most keeps the odd ones; all that is above has to go, whatever is free.
    even, odd = divmod(free.bit_count(), n)
    had = sorted((bits.bit_count() for bits in has.values()), reverse=True)
    assert moved == sum(max(0, count - even - (k < odd)) for k, count in enumerate(had))
