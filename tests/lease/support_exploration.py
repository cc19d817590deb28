"""Breadth-first exploration of every order of events in a small world."""

from __future__ import annotations

import copy
from typing import Any


def explore(depth: int, start: Any) -> tuple[int, str]:
    """Return the number of distinct worlds, and the violation in the first world that has one ("" if none has)."""
    seen, frontier = {start.state_key()}, [start]
    for _ in range(depth):
        next_frontier: list[Any] = []
        for world in frontier:
            for move in world.moves():
                new = copy.deepcopy(world)
                if not new.apply(move):
                    continue
                if new.violation:
                    return len(seen), new.violation
                if (key := new.state_key()) not in seen:
                    seen.add(key)
                    next_frontier.append(new)
        frontier = next_frontier
    return len(seen), ""


def apply_moves(start: Any, *moves: tuple[str, int]) -> Any:
    """Apply the moves to the world `start` and return it."""
    for move in moves:
        assert start.apply(move), move
    return start
