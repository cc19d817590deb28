"""Collects the actions of one step, and tracks how many more lines the channel to the proxies can take."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import Protocol

from .. import interface as api
from .cordon_delivery import CordonDelivery
from .message_limit import URGENT_DELAY_SHARE, MessageLimit
from .pending_versions import PendingVersions
from .state import Host, Slice

DECISION_TIMER = 0
"""Timer of ordinary decisions."""

HOST_LIST_TIMER = 1
"""Timer of the next poll of the host list after a failed one."""

LOST_ACKS_TIMER = 2
"""Timer that ends the time in which messages whose acknowledgements may be lost leave the channel."""

ORDINARY_MESSAGE_SHARE = 0.7
"""Share of the message limit that ordinary decisions may use; the rest is reserved for failed and draining hosts."""

REPEATED_MESSAGES = 1
"""Messages of the limit that are left for messages that are sent twice."""

URGENT_QUEUE_SHARE = 0.9
"""Share of the queue limit, message overheads included, that evacuations may fill."""

ORDINARY_QUEUE_SHARE = 0.5
"""Share of the queue limit that ordinary decisions may fill."""

WORTHWHILE_SHARE = 0.6
"""Share of the largest urgent message that must fit, or the message waits for room in the queue.

A small message takes more of the channel for its overhead than for its lines.
"""

CLOSING_LINES = 2
"""Lines reserved in each message in addition to its table entries: the admission level and the version."""


class DecisionReason(StrEnum):
    """What makes a decision due before the next ordinary one."""

    FAILED_HOST = "failed host"
    LEAVING_HOST = "leaving host"  # draining, removed or missing from a full list
    RESTARTED_HOST = "restarted host"  # with slices
    GRANTED_SLICE = "granted slice"
    POSTPONED_ENTRIES = "postponed entries"  # table entries that exceeded the line budget


def _changes(slice_: Slice, *, removes_cordoned: bool = False) -> tuple[list[Host], list[Host]]:
    """Return the hosts that the table of a slice lacks, and those that it names needlessly."""
    hosts = [host for host in (slice_.owner, *slice_.replicas, slice_.previous_owner) if host]
    added = [host for host in hosts if host not in slice_.weights]
    removed = [host for host in slice_.weights if host not in hosts]
    return added, [host for host in removed if removes_cordoned or not host.is_cordoned]


class QuotaKind(StrEnum):
    """Kinds of changes that a quota shared by all controllers limits, by their setting names (`docs/budgets.md`)."""

    EVACUATIONS = "emptied"  # hosts found failing
    WARM_UP_SLICES = "cold_slices"  # slices assigned to a warming host
    MOVES = "moves"  # slices that move off a usable owner


class QuotaCheck(Protocol):
    """Checks whether one more change of a kind may begin at a host (0 for the fleet).

    With `begins_now` an allowed change is also counted as begun.
    """

    def __call__(self, kind: str, host: int, begins_now: bool, /) -> bool:
        """Return whether the quota allows one more change."""


def without_quota(_kind: str, _host: int, _begins_now: bool, /) -> bool:
    """Allow every change: the check that is used if no quota is configured."""
    return True


class Publication:
    """The actions of the current step and their cost. `hosts` are all known hosts, by id.

    Other components append to `actions`, and add the lines that are sent to proxies to `lines_published`. Only this
    class writes tables, so that `Slice.weights` always matches what was published. `line_budget` is the number of lines
    that may still be sent in this step; it is negative if the queue is already too full. `message_counts` holds the
    messages sent, by each reason that made their decision due; ordinary ones have none.
    """

    def __init__(self, settings: api.Settings, hosts: dict[int, Host]) -> None:
        self.settings = settings
        self.now_ms = 0.0
        self.actions: list[api.Action] = []
        self.pending_versions = PendingVersions()
        self.cordon_delivery = CordonDelivery(hosts, self.pending_versions)
        self.is_decision_due = False  # a decision is due in this step, or in the next one that has an event
        self.was_decision_due = False  # it has been due since an earlier step: there was no room for all lines
        self.due_reasons: set[DecisionReason] = set()
        self.message_counts: Counter[DecisionReason] = Counter()
        self.line_budget = 0.0
        self.lines_published = 0
        self.may_begin: QuotaCheck = without_quota
        max_messages = max(1, settings.max_messages - REPEATED_MESSAGES) if settings.max_messages else 0
        self.message_limit = MessageLimit.for_drains(max_messages, settings.message_window_ms, settings.drain_grace_ms)

    def begin_step(self, now_ms: float) -> None:
        """Start a step at `now_ms` without any actions."""
        self.now_ms = now_ms
        self.actions = []
        self.was_decision_due = self.is_decision_due

    def require_decision(self, reason: DecisionReason) -> None:
        """Make a decision due as soon as a message may be sent."""
        self.is_decision_due = True
        self.due_reasons.add(reason)

    def postpone(self) -> None:
        """Make a decision due for lines that exceed the line budget of this one."""
        self.require_decision(DecisionReason.POSTPONED_ENTRIES)

    def take_due_reasons(self) -> set[DecisionReason]:
        """Begin the decision that is due, and return what made it due."""
        reasons, self.due_reasons = self.due_reasons, set()
        self.is_decision_due = False
        return reasons

    def may_publish(self, *, is_urgent: bool) -> bool:
        """Return whether a message may be sent now; set `line_budget` unless the message limit forbids it.

        While lines wait already, a message that would be small waits for room in the queue, for a part of the drain
        grace at most.
        """
        settings = self.settings
        messages = self.pending_versions.messages_since(self.now_ms - self.message_limit.window_ms)
        if self.now_ms < self.message_limit.earliest_send_ms(self.pending_versions.sent_at_ms):
            return False
        max_ordinary = int(settings.max_messages * ORDINARY_MESSAGE_SHARE)
        if settings.max_messages and not is_urgent and messages >= max_ordinary:
            return False
        queue_share = URGENT_QUEUE_SHARE if is_urgent else ORDINARY_QUEUE_SHARE
        proxy_count = max(1, len(self.pending_versions.unacked_by_proxy))
        message_cost_lines = settings.message_overhead_lines + CLOSING_LINES
        max_lines = settings.max_queued_lines * queue_share / proxy_count - message_cost_lines
        queued_lines = self.pending_versions.queued_lines() / proxy_count
        self.line_budget = max_lines - queued_lines - self.lines_published
        if is_urgent and self.line_budget < max_lines * WORTHWHILE_SHARE and self._waits_for_room():
            return False
        return self.line_budget > settings.message_overhead_lines

    def _waits_for_room(self) -> bool:
        """Return whether lines wait already, which a small message would delay, and the last one was sent just now."""
        sent_at_ms = self.pending_versions.sent_at_ms
        if not self.was_decision_due or not sent_at_ms:
            return False
        return self.now_ms - sent_at_ms[-1] < self.settings.drain_grace_ms * URGENT_DELAY_SHARE

    def write_table(self, slice_: Slice, *, removes_cordoned: bool = False) -> None:
        """Publish the changes that make the table of a slice match its owner, replicas and previous owner.

        Entries are added before others are removed. Entries of cordoned hosts are kept unless `removes_cordoned`.
        Cordons of earlier runs that would exclude an added host are lifted with it. Changes that exceed the line budget
        are postponed to a later step.
        """
        if (
            self.line_budget >= 0
            and not slice_.replicas
            and not slice_.previous_owner
            and len(slice_.weights) == 1
            and slice_.owner in slice_.weights
        ):
            return  # the usual case
        added, removed = _changes(slice_, removes_cordoned=removes_cordoned)
        lifted = [host for host in added if self.cordon_delivery.needs_lift(host)]
        if len(added) + len(removed) + len(lifted) > self.line_budget:
            self.postpone()
            return
        for host in lifted:
            self.set_cordon(host, is_cordoned=False)
        self.line_budget = self.line_budget - len(added) - len(removed)
        self.lines_published += len(added) + len(removed)
        self._apply(slice_, added, removed)

    def waiting_lines(self, slices: Iterable[Slice]) -> int:
        """Return how many lines are needed for the tables of slices that have an eligible owner."""
        assigned = (slice_ for slice_ in slices if slice_.owner and slice_.owner.is_eligible)
        return sum(len(added) + len(removed) for added, removed in map(_changes, assigned))

    def _apply(self, slice_: Slice, added: list[Host], removed: list[Host]) -> None:
        self.actions += [api.SetWeight(slice_.id, host.id, 1.0) for host in added]
        self.actions += [api.SetWeight(slice_.id, host.id, 0.0) for host in removed]
        slice_.weights = dict.fromkeys([host for host in (*slice_.weights, *added) if host not in removed], 1.0)

    def set_cordon(self, host: Host, *, is_cordoned: bool) -> None:
        """Cordon or uncordon a host, or publish its unchanged state again, which takes one line."""
        host.is_cordoned = is_cordoned
        self.cordon_delivery.on_published(host)
        self.lines_published += 1
        self.line_budget -= 1
        self.actions.append(api.Cordon(host.id, is_cordoned))

    def close_message(self, reasons: set[DecisionReason]) -> None:
        """Close the message of this step with a version, if it has any lines."""
        if self.lines_published:
            self.message_counts.update(reasons)
            cost_lines = self.settings.message_overhead_lines + self.lines_published + CLOSING_LINES
            self.actions.append(self.pending_versions.publish(self.now_ms, cost_lines))
