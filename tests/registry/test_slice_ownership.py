"""Slice ownership: in every order of events a slice has one writer and one controller that acts for it."""

from __future__ import annotations

import pytest

from corallanding.registry.ownership_actions import OwnershipChange, ReleaseSlice
from corallanding.registry.slice_ownership import preferred_owner
from tests.registry.ownership_moves import InvariantViolationError, MoveKind
from tests.registry.ownership_search import explore, make_settled_world, owned_slices, run_ticks
from tests.registry.ownership_world import OwnershipWorld


def test_slices_when_every_order_of_events_is_tried_then_each_has_one_writer_and_one_controller() -> None:
    assert explore(make_settled_world(slices=3), 8_000) == 8_000
    assert explore(OwnershipWorld(slices=1), 8_000) == 8_000


def test_search_when_the_registry_does_not_compare_tokens_then_it_finds_two_writers() -> None:
    """A write in transit when its writer's lease expires arrives at the registry after the next claim."""
    with pytest.raises(InvariantViolationError, match="wrote slice"):
        explore(make_settled_world(slices=1, is_fenced=False), 200_000)


def test_search_when_controllers_ignore_their_clocks_then_it_finds_two_that_act_for_a_slice() -> None:
    world = make_settled_world(slices=1, ignores_lease_expiry=True)
    owner = 0 if world.controllers[0].fencing_tokens else 1
    world.move(MoveKind.SUSPEND, owner)  # its lease is about to expire; the search starts from there
    run_ticks(world, 2, skip=(owner,))
    with pytest.raises(InvariantViolationError, match="both controllers act"):
        explore(world, 100_000)


def test_slices_when_a_controller_leaves_then_the_other_takes_all() -> None:
    world = OwnershipWorld(slices=8)
    run_ticks(world, 20)
    first, second = owned_slices(world)
    assert sorted(first + second) == list(range(8))
    assert first
    assert second
    world.send(0, world.controllers[0].start_leaving(float(world.now_ms)))
    run_ticks(world, 20)
    assert owned_slices(world) == [[], list(range(8))]
    assert world.controllers[0].is_drained


def test_controller_when_suspended_past_its_lease_then_it_resumes_without_slices() -> None:
    world = OwnershipWorld(slices=4)
    run_ticks(world, 20)
    owned_before = owned_slices(world)[0]
    run_ticks(world, 12, skip=(0,))
    assert owned_slices(world)[1] == [0, 1, 2, 3], "the other took over"
    suspended = world.controllers[0]
    assert owned_before
    assert not suspended.has_valid_lease(float(world.now_ms)), "by its own clock, before any message arrives"
    run_ticks(world, 30)
    first, second = owned_slices(world)
    assert sorted(first + second) == [0, 1, 2, 3]
    assert first == owned_before


def test_controller_when_disconnected_then_it_claims_nothing_and_stops_in_time() -> None:
    world = OwnershipWorld(slices=4)
    run_ticks(world, 20)
    ownership = world.controllers[0]
    ownership.on_connection_change(is_connected=False)
    actions = [action for time in range(10) for action in ownership.tick(float(world.now_ms + time))]
    assert all(isinstance(action, OwnershipChange) and not action.is_owned for action in actions)
    assert not ownership.fencing_tokens


def test_claim_when_its_answer_is_lost_then_the_key_is_released() -> None:
    world = OwnershipWorld(slices=1)
    run_ticks(world, 20)
    owner = preferred_owner(0, (0, 1))
    assert owner is not None
    ownership = world.controllers[owner]
    token = ownership.fencing_tokens.pop(0)  # simulates a lost response
    assert ReleaseSlice(0, token) in ownership.tick(float(world.now_ms))


def test_release_when_the_registry_loses_it_then_it_is_sent_again() -> None:
    """Releases lost at a leader change left keys under a renewed lease, so that no controller could claim the slices.

    The announcement of leaving is lost as well.
    """
    world = OwnershipWorld(slices=4)
    run_ticks(world, 20)
    leaving = world.controllers[0]
    owned_before = owned_slices(world)[0]
    actions = leaving.start_leaving(float(world.now_ms)) + leaving.tick(float(world.now_ms))
    assert [action.slice for action in actions if isinstance(action, ReleaseSlice)] == owned_before
    for slice_id in owned_before:
        leaving.on_release_finished(slice_id)  # the connection was lost; no release arrived at the registry
    assert owned_before
    assert not leaving.is_drained
    run_ticks(world, 20)
    assert owned_slices(world)[1] == [0, 1, 2, 3]
