"""The state in which the assigner begins."""

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
class Inheritance:
    """What the last process left: on disk, or as a handover with scores and the assigner loaded from it."""

    state_on_disk: ControllerState | None
    handover: HandoverState | None
    scores: Sequence[StoredRanking]
    loaded_assigner: Assigner | None


def restore_assigner(
    components: Components, view: EndpointList, contents: StoreContents, inheritance: Inheritance
) -> bool:
    """Put the assigner where the last process was; if that cannot be, begin with the stored tables and return false."""
    context = components.context
    now = context.clock()
    saved = view.restore(
        now,
        context.wall_ms(),
        contents.host_list_version,
        contents.host_entries,
        contents.addresses,
        contents.started_at_ms,
    )
    components.engine.publisher.addresses = view.addresses
    if inheritance.handover:
        components.transfer.restore(inheritance.handover, now, inheritance.scores, inheritance.loaded_assigner)
        return True
    if inheritance.state_on_disk is not None and components.snapshots.restore(inheritance.state_on_disk, now):
        return True
    components.engine.start(now, saved)
    return False
