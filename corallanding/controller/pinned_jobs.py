"""Queued jobs of runs that keep their release set: whether a host serves them, and whether they hold a set back."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ..scheduling.core import Scheduler
from ..scheduling.queue import Job
from .pinning_service import PinningService

MAX_KNOWN_STATES = 4_096  # pairs of request class and release set that are remembered


class VersionState(NamedTuple):
    """Of a request class and a release set: whether a host serves it, whether its jobs keep the set from retiring."""

    is_served: bool
    holds_up_retirement: bool


class PinnedJobs:
    """Tells the queue `core` what changed for jobs of each request class and release set.

    names: the request classes whose jobs may wait, by the number that the core has for them.
    """

    def __init__(self, core: Scheduler, names: Sequence[str]) -> None:
        self.core = core
        self.names = names
        self.states: dict[tuple[int, int], VersionState] = {}  # by number of the class and release set; as last sent

    def forget(self, job: Job) -> None:
        """A job was queued: the queue learns of its class and release set with the next update, changed or not."""
        self.states.pop((job.job_class, job.release_set), None)

    def update(self, pinning: PinningService) -> None:
        """Set aside the jobs whose version no host serves; let the priority rise of those that hold a set back."""
        register = pinning.core.releases.register
        for release_set in list(self.core.queue.jobs_by_set):
            holds_up_retirement = register is not None and release_set not in register.open_sets
            for kind, name in enumerate(self.names):
                state = VersionState(pinning.is_served(release_set, name), holds_up_retirement)
                if self.states.get((kind, release_set)) != state:
                    self.states[kind, release_set] = state
                    self.core.on_set_change(
                        kind, release_set, is_served=state.is_served, is_boosted=state.holds_up_retirement
                    )
        if len(self.states) > MAX_KNOWN_STATES:
            self.states.clear()
