"""A place of effect: what is done there, and under which fence. Pure."""

from __future__ import annotations


class FencedResource:
    """Takes an act only if no later holder's act was taken before it."""

    def __init__(self, tasks: int) -> None:
        self.tasks = tasks
        self.seen: dict[int, int] = {}
        self.taken = self.refused = 0

    def takes(self, task: int, fence: int) -> bool:
        """task: 0 on, below `tasks`, which bounds what is kept."""
        if not 0 <= task < self.tasks or fence < self.seen.get(task, 0):
            self.refused += 1
            return False
        self.seen[task] = fence
        self.taken += 1
        return True
