"""The actions of one step, and how many table entries proxies and channel can still take."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from .. import interface as api
from .pending_versions import PendingVersions
from .state import Host, Slice

DECISION_TIMER = 0
"""Timer of ordinary decisions."""

HOST_LIST_TIMER = 1
"""Timer after which a failed poll of the host list is repeated."""

ORDINARY_MESSAGE_SHARE = 0.7
"""Share of the message limit that ordinary decisions may use; the rest is for dead and draining hosts."""

URGENT_QUEUE_SHARE = 0.9
"""Share of the queue limit, message overheads included, that evacuations may fill."""

ORDINARY_QUEUE_SHARE = 0.5
"""Share of the queue limit that ordinary decisions may fill."""

CLOSING_LINES = 2
"""Lines reserved in each message beside its table entries: the admission level and the version."""


class QuotaKind(StrEnum):
    """What all controllers together may do only so often, by the names of the settings (`docs/budgets.md`)."""

    EVACUATIONS = "emptied"  # hosts found failing
    WARM_UP_SLICES = "cold_slices"  # slices that a warming host is given
    MOVES = "moves"  # slices that move off a live owner


class QuotaCheck(Protocol):
    """Whether one more of a kind may begin at a host (0 for the fleet); with `begins_now` it does, and counts."""

    def __call__(self, kind: str, host: int, begins_now: bool, /) -> bool:
        """Whether the quota allows one more."""


def without_quota(_kind: str, _host: int, _begins_now: bool, /) -> bool:
    """The check where no quota is configured: everything may begin."""
    return True


class Publication:
    """The actions of the present step and what they cost.

    The other parts append actions to `actions`, and add to `lines_published` what goes to proxies. Tables are written
    here alone, so that `Slice.weights` always is what proxies were told. `line_budget` is the number of lines that may
    still go out in this step; it is negative where the queue is too full already.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.now_ms = 0.0
        self.actions: list[api.Action] = []
        self.pending_versions = PendingVersions()
        self.is_decision_due = False  # a decision is due in this step, or in the next one that has an event
        self.line_budget = 0.0
        self.lines_published = 0
        self.may_begin: QuotaCheck = without_quota

    def begin_step(self, now_ms: float) -> None:
        """Start with no actions."""
        self.now_ms = now_ms
        self.actions = []

    def may_publish(self, *, is_urgent: bool) -> bool:
        """Whether a message may go out now; sets `line_budget` unless the message limit is reached."""
        settings = self.settings
        message_limit = settings.max_messages - 1 if is_urgent else int(settings.max_messages * ORDINARY_MESSAGE_SHARE)
        messages = self.pending_versions.messages_since(self.now_ms - settings.message_window_ms - 1.0)
        if settings.max_messages and messages >= message_limit:
            return False
        queue_share = URGENT_QUEUE_SHARE if is_urgent else ORDINARY_QUEUE_SHARE
        free_lines = settings.max_queued_lines * queue_share - self.pending_versions.queued_lines()
        lines_per_proxy = free_lines / max(1, len(self.pending_versions.unacked_by_proxy))
        self.line_budget = lines_per_proxy - settings.message_overhead_lines - CLOSING_LINES - self.lines_published
        return self.line_budget > settings.message_overhead_lines

    def write_table(self, slice_: Slice, *, removes_cordoned: bool = False) -> None:
        """Publish how the table of a slice differs from its owner, replicas and previous owner.

        New entries go before removed ones. Entries of cordoned hosts stay unless `removes_cordoned`. A difference that
        exceeds the budget is left to a later step.
        """
        if (
            self.line_budget >= 0
            and not slice_.replicas
            and not slice_.previous_owner
            and len(slice_.weights) == 1
            and slice_.owner in slice_.weights
        ):
            return  # the usual case
        hosts = [host for host in (slice_.owner, *slice_.replicas, slice_.previous_owner) if host]
        added = [host for host in hosts if host not in slice_.weights]
        removed = [host for host in slice_.weights if host not in hosts]
        removed = [host for host in removed if removes_cordoned or not host.is_cordoned]
        if len(added) + len(removed) > self.line_budget:
            self.is_decision_due = True
            return
        self.line_budget = self.line_budget - len(added) - len(removed)
        self.lines_published += len(added) + len(removed)
        self._apply(slice_, added, removed)

    def _apply(self, slice_: Slice, added: list[Host], removed: list[Host]) -> None:
        self.actions += [api.SetWeight(slice_.id, host.id, 1.0) for host in added]
        self.actions += [api.SetWeight(slice_.id, host.id, 0.0) for host in removed]
        slice_.weights = dict.fromkeys([host for host in (*slice_.weights, *added) if host not in removed], 1.0)

    def set_cordon(self, host: Host, *, is_cordoned: bool) -> None:
        """Cordon a host, or lift its cordon: one line."""
        host.is_cordoned = is_cordoned
        self.lines_published += 1
        self.line_budget -= 1
        self.actions.append(api.Cordon(host.id, is_cordoned))

    def close_message(self) -> None:
        """Close the message of this step, if proxies are told anything, by a version."""
        if self.lines_published:
            cost_lines = self.settings.message_overhead_lines + self.lines_published + CLOSING_LINES
            self.actions.append(self.pending_versions.publish(self.now_ms, cost_lines))
