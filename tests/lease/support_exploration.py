"""Exploration of every order of events in a small world, layer by layer."""

from __future__ import annotations

import copy
from typing import Any


def explore(deep: int, start: Any) -> tuple[int, str]:
    """Worlds seen, and what went wrong in the first that did."""
    seen, layer = {start.key()}, [start]
    for _ in range(deep):
        after: list[Any] = []
        for world in layer:
            for move in world.moves():
                new = copy.deepcopy(world)
                if not new.play(move):
                    continue
                if new.wrong:
                    return len(seen), new.wrong
                if (key := new.key()) not in seen:
                    seen.add(key)
                    after.append(new)
        layer = after
    return len(seen), ""


def after(start: Any, *moves: tuple[str, int]) -> Any:
    for move in moves:
        assert start.play(move), move
    return start
