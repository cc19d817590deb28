"""A resource that checks fencing tokens: it rejects actions whose token is lower than one already accepted."""

from __future__ import annotations


class FencedResource:
    """Accepts an action on a task only if no action under a higher fencing token was accepted before it.

    Tasks are numbered from 0 to `task_count` - 1, which bounds the stored state.
    """

    def __init__(self, task_count: int) -> None:
        self.task_count = task_count
        self.highest_tokens: dict[int, int] = {}  # highest accepted token, by task
        self.accepted = 0
        self.rejected = 0

    def accept(self, task: int, fencing_token: int) -> bool:
        """Return whether an action on `task` under `fencing_token` is accepted, and record its token if so."""
        if not 0 <= task < self.task_count or fencing_token < self.highest_tokens.get(task, 0):
            self.rejected += 1
            return False
        self.highest_tokens[task] = fencing_token
        self.accepted += 1
        return True
