"""Ways through an `OwnershipWorld`: the usual order of events, and the search over every order."""

from __future__ import annotations

import pickle
from typing import Any

from tests.registry.ownership_moves import BrokenRuleError, Move, MoveKind
from tests.registry.ownership_world import CONTROLLERS, OwnershipWorld

SETTLING_ROUNDS = 6
SETTLED_CLOCK = 2


def settled_world(**settings: Any) -> OwnershipWorld:
    """A world in which controllers own what they may, played to there in the usual order."""
    world = OwnershipWorld(**settings)
    for _ in range(SETTLING_ROUNDS):
        for controller in CONTROLLERS:
            world.move(MoveKind.TICK, controller)
            while world.to_registry[controller]:
                world.move(MoveKind.SERVE, controller)
        for controller in CONTROLLERS:
            while world.to_controllers[controller]:
                world.move(MoveKind.DELIVER, controller)
        if world.now < SETTLED_CLOCK:
            world.move(MoveKind.CLOCK, 0)
    return world


def explore(first: OwnershipWorld, max_states: int) -> int:
    """Search all moves breadth first, and return how many states were seen.

    Raises `BrokenRuleError` with the moves that lead there.
    """
    seen = {first.key()}
    frontier: list[tuple[bytes, tuple[Move, ...]]] = [(pickle.dumps(first), ())]
    while frontier and len(seen) < max_states:
        later = []
        for pickled, path in frontier:
            for move in pickle.loads(pickled).moves():
                world = after_move(pickled, (*path, move))
                key = world.key()
                if key in seen:
                    continue
                seen.add(key)
                later.append((pickle.dumps(world), (*path, move)))
                if len(seen) >= max_states:
                    return len(seen)
        frontier = later
    return len(seen)


def after_move(pickled: bytes, path: tuple[Move, ...]) -> OwnershipWorld:
    """A copy of the world, one move later: the last of the path. Raises `BrokenRuleError` with the path."""
    world: OwnershipWorld = pickle.loads(pickled)
    try:
        world.move(*path[-1])
    except BrokenRuleError as error:
        raise BrokenRuleError(f"{error}; after {list(path)}") from None
    return world


def owned_slices(world: OwnershipWorld) -> list[list[int]]:
    """What each controller owns."""
    return [sorted(ownership.fencing_tokens) for ownership in world.controllers]


def run_ticks(world: OwnershipWorld, count: int, skip: tuple[int, ...] = ()) -> None:
    """Let time pass in the usual order of events; the controllers in `skip` are suspended."""
    for _ in range(count):
        world.advance_clock()
        for controller in CONTROLLERS:
            if controller not in skip:
                world.send(controller, world.controllers[controller].tick(float(world.now)))
                while world.to_registry[controller]:
                    world.serve(controller, world.to_registry[controller].pop(0))
        for controller in CONTROLLERS:
            while world.to_controllers[controller] and controller not in skip:
                world.move(MoveKind.DELIVER, controller)
        world.check()
