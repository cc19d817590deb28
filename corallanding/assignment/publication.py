"""What goes out of a step: lines and their marks, and how much of them proxies and channel can still take."""

from collections.abc import Callable

from .. import interface as api
from .state import PendingVersions, Slice

ORDINARY_MESSAGE_SHARE = 0.7  # of the message cap that ordinary turns may use; the rest is for deaths and drains
URGENT_QUEUE_SHARE = 0.9  # of the queue limit, heads included, that deaths and drains may fill; ordinary turns half


class Publication:
    """Writes lines of slices. Others put actions in `out`, and count in `orders` what goes to proxies."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings, self.now_ms, self.actions, self.pending_versions = (
            settings,
            0.0,
            list[api.Action](),
            PendingVersions(),
        )
        self.is_decision_due = False  # a turn is due in this step
        self.line_budget, self.lines_published = 0.0, 0  # lines that may still go out in this step, and those that did
        # What all stewards together may do (docs/budgets.md): kind, server, whether it is done now.
        self.acquire_quota: Callable[[str, int, bool], bool] = lambda kind, host, now: True

    def may_publish(self, urgent: bool) -> bool:
        most = self.settings.max_messages - 1 if urgent else int(self.settings.max_messages * ORDINARY_MESSAGE_SHARE)
        sent = self.pending_versions.messages_since(self.now_ms - self.settings.message_window_ms - 1.0)
        if self.settings.max_messages and sent >= most:
            return False
        free = (
            self.settings.max_queued_lines * (URGENT_QUEUE_SHARE if urgent else 0.5)
            - self.pending_versions.queued_lines()
        )
        self.line_budget = (
            free / max(1, len(self.pending_versions.unacked_by_proxy))
            - self.settings.message_overhead_lines
            - 2.0
            - self.lines_published
        )
        return self.line_budget > self.settings.message_overhead_lines

    def write_table(self, s: Slice, all: bool = False) -> None:
        """Write what changed of the slice's lines, the new ones first; those shut out may wait."""
        if (
            self.line_budget >= 0
            and not s.replicas
            and not s.previous_owner
            and len(s.weights) == 1
            and s.owner in s.weights
        ):
            return  # as nearly always
        wanted = [h for h in (s.owner, *s.replicas, s.previous_owner) if h]
        new, gone = [h for h in wanted if h not in s.weights], [h for h in s.weights if h not in wanted]
        gone = [h for h in gone if all or not h.is_cordoned]
        if len(new) + len(gone) > self.line_budget:
            self.is_decision_due = True  # one reply to a hundred proxies can fill the queue: the rest in a later one
            return
        self.line_budget, self.lines_published = (
            self.line_budget - len(new) - len(gone),
            self.lines_published + len(new) + len(gone),
        )
        self.actions += [api.SetWeight(s.id, h.id, 1.0) for h in new] + [api.SetWeight(s.id, h.id, 0.0) for h in gone]
        s.weights = dict.fromkeys([h for h in (*s.weights, *new) if h not in gone], 1.0)
