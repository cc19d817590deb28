"""Runs of an `OwnershipWorld`: in the usual order of events, and a search over every order."""

from __future__ import annotations

import pickle
from typing import Any

from tests.registry.ownership_moves import InvariantViolationError, Move, MoveKind
from tests.registry.ownership_world import CONTROLLERS, OwnershipWorld

SETTLING_ROUNDS = 6
SETTLED_AT_MS = 2


def make_settled_world(**settings: Any) -> OwnershipWorld:
    """Return a world that has run in the usual order until the controllers own their preferred slices."""
    world = OwnershipWorld(**settings)
    for _ in range(SETTLING_ROUNDS):
        for controller in CONTROLLERS:
            world.move(MoveKind.TICK, controller)
            while world.to_registry[controller]:
                world.move(MoveKind.SERVE, controller)
        for controller in CONTROLLERS:
            while world.to_controllers[controller]:
                world.move(MoveKind.DELIVER, controller)
        if world.now_ms < SETTLED_AT_MS:
            world.move(MoveKind.CLOCK, 0)
    return world


def explore(initial: OwnershipWorld, max_states: int) -> int:
    """Search all moves breadth first, and return the number of distinct states seen.

    Raises `InvariantViolationError` with the moves that lead to the violation.
    """
    seen = {initial.state_key()}
    frontier: list[tuple[bytes, tuple[Move, ...]]] = [(pickle.dumps(initial), ())]
    while frontier and len(seen) < max_states:
        next_frontier = []
        for pickled, path in frontier:
            for move in pickle.loads(pickled).possible_moves():
                world = after_move(pickled, (*path, move))
                key = world.state_key()
                if key in seen:
                    continue
                seen.add(key)
                next_frontier.append((pickle.dumps(world), (*path, move)))
                if len(seen) >= max_states:
                    return len(seen)
        frontier = next_frontier
    return len(seen)


def after_move(pickled: bytes, path: tuple[Move, ...]) -> OwnershipWorld:
    """Return a copy of the world after the last move of the path. Raises `InvariantViolationError` with the path."""
    world: OwnershipWorld = pickle.loads(pickled)
    try:
        world.move(*path[-1])
    except InvariantViolationError as error:
        raise InvariantViolationError(f"{error}; after {list(path)}") from None
    return world


def owned_slices(world: OwnershipWorld) -> list[list[int]]:
    """Return the owned slices of each controller."""
    return [sorted(ownership.fencing_tokens) for ownership in world.controllers]


def run_ticks(world: OwnershipWorld, count: int, skip: tuple[int, ...] = ()) -> None:
    """Advance the clock `count` times with events in the usual order; controllers in `skip` are suspended."""
    for _ in range(count):
        world.advance_clock()
        for controller in CONTROLLERS:
            if controller not in skip:
                world.send(controller, world.controllers[controller].tick(float(world.now_ms)))
                while world.to_registry[controller]:
                    world.serve(controller, world.to_registry[controller].pop(0))
        for controller in CONTROLLERS:
            while world.to_controllers[controller] and controller not in skip:
                world.move(MoveKind.DELIVER, controller)
        world.check_invariants()
