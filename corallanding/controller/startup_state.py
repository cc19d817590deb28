"""Determines the state with which the assigner starts."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..assignment import Assigner
from ..endpoints.endpoint_list import EndpointList
from ..snapshot.rankings import StoredRanking
from ..store import StoreContents
from .components import Components
from .handover_state import HandoverState
from .recovery import ControllerState


@dataclass(frozen=True)
class PreviousState:
    """The state of the last process: on disk, or as a handover with scores and the assigner loaded from it."""

    state_on_disk: ControllerState | None
    handover: HandoverState | None
    scores: Sequence[StoredRanking]
    loaded_assigner: Assigner | None


def restore_assigner(
    components: Components, view: EndpointList, contents: StoreContents, previous: PreviousState
) -> bool:
    """Restore the assigner from the last process's state; if that fails, use the stored tables and return false."""
    context = components.context
    now_ms = context.clock()
    saved = view.restore(
        now_ms,
        context.wall_ms(),
        contents.host_list_version,
        contents.host_entries,
        contents.addresses,
        contents.started_at_ms,
    )
    components.engine.publisher.addresses = view.addresses
    if previous.handover:
        components.transfer.restore(previous.handover, now_ms, previous.scores, previous.loaded_assigner)
        return True
    if previous.state_on_disk is not None and components.snapshots.restore(previous.state_on_disk, now_ms):
        return True
    components.engine.start(now_ms, saved)
    return False
