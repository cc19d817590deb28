"""Queued jobs of runs with a pinned release set: whether a host serves them, and whether they delay a retirement."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ..scheduling.core import Scheduler
from ..scheduling.queue import Job
from .pinning_service import PinningService

MAX_KNOWN_STATES = 4_096  # cached pairs of request class and release set


class VersionState(NamedTuple):
    """State of a request class in a release set: whether a host serves it, and whether its jobs delay a retirement."""

    is_served: bool
    delays_retirement: bool


class PinnedJobs:
    """Notifies the queue `core` of changes for the jobs of each request class and release set.

    names: the request classes whose jobs may wait, indexed by their numbers in the core.
    """

    def __init__(self, core: Scheduler, names: Sequence[str]) -> None:
        self.core = core
        self.names = names
        self.states: dict[
            tuple[int, int], VersionState
        ] = {}  # by class number and release set, as last sent to the core

    def invalidate(self, job: Job) -> None:
        """Clear the cached state for a newly queued job: the next update notifies the queue even if it is unchanged."""
        self.states.pop((job.job_class, job.release_set), None)

    def update(self, pinning: PinningService) -> None:
        """Notify the queue which jobs no host serves, and which are boosted because they delay a set's retirement."""
        register = pinning.core.releases.register
        for release_set in list(self.core.queue.jobs_by_set):
            delays_retirement = register is not None and release_set not in register.open_sets
            for class_number, name in enumerate(self.names):
                state = VersionState(pinning.is_served(release_set, name), delays_retirement)
                if self.states.get((class_number, release_set)) != state:
                    self.states[class_number, release_set] = state
                    self.core.on_set_change(
                        class_number, release_set, is_served=state.is_served, is_boosted=state.delays_retirement
                    )
        if len(self.states) > MAX_KNOWN_STATES:
            self.states.clear()
