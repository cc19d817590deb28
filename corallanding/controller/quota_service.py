"""Quota of all controllers together: what is asked for here, and what is exchanged. The core is `quota`."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any, ClassVar

from .. import interface as api
from .. import quota
from ..config import ControllerConfig
from ..quota import messages
from ..telemetry import log
from ..wire.peer_messages import OutgoingMessage
from .action_journal import ActionJournal
from .cluster_service import ClusterService, ServiceContext, Tick

COLD_SLICES = "cold_slices"  # the budget of slices that a warming host may be given
RATE_SPAN_MS = 1_000.0  # for so long a unit of a budget per second stays in use


def configured_quotas(config: ControllerConfig) -> dict[str, quota.Budget]:
    """The budgets of the configuration, by name, as the core takes them."""
    budgets = {}
    for name, block in config.budget.items():
        span_ms = RATE_SPAN_MS if block.unit == "per_s" else block.span_ms or config.rules.cold_ms
        budgets[name] = quota.Budget(
            name, block.whole, block.floor, config.max_controllers, span_ms, quota.BudgetScope(block.per)
        )
    return budgets


class QuotaService(ClusterService):
    """Takes units of quota for what the controller does, and exchanges demand and grants with the other controllers.

    Raises OSError if the journal cannot be written.
    """

    message_types: ClassVar[tuple[type, ...]] = (quota.CapacityRequest, quota.CapacityGrant)

    def __init__(self, config: ControllerConfig, context: ServiceContext) -> None:
        self.context = context
        self.warm_up_ms = config.rules.cold_ms
        block, election = config.budgets, context.election
        terms = quota.QuotaLimits(
            vote_lease_ms=block.office_ms,
            max_clock_drift=block.drift,
            lease_ms=block.lease_ms,
            max_accounts=block.keys_most,
        )
        self.core = quota.QuotaManager(
            election.controller_id,
            election.peer_ids,
            (),
            configured_quotas(config),
            terms,
            election.incarnation,
            context.clock(),
            random.random,
            words_per_s=block.words_per_s,
            shared_election=election,
        )
        self.journal = ActionJournal(block.witness)
        self.leader_since: float | None = None  # as last logged

    @staticmethod
    def is_valid(message: Any) -> bool:
        """Whether the fields of a message lie within what a correct controller sends."""
        return messages.is_valid(message)

    def on_tick(self, tick: Tick) -> None:
        """Send what is due, and log a change of this controller's leadership."""
        self.context.send(self.core.tick(tick.now, tick.alive))
        since = self.core.allocator.started_at_ms  # it may have changed with a vote, between two ticks
        if since != self.leader_since:
            self.leader_since = since
            log.info("quota leadership gained" if since else "quota leadership lost")

    def on_message(self, sender: int, message: quota.CapacityRequest | quota.CapacityGrant) -> None:
        """Take demand or a grant."""
        self.context.send(self.core.on_message(self.context.clock(), sender, message))

    def on_election_change(self) -> None:
        """Begin or end the allocation of quota with the leadership."""
        self.core.is_allocating(self.context.clock())

    def may_begin(self, kind: str, host: int, now: bool) -> bool:
        """Whether one more action of `kind` at `host` may begin. now: it does, and takes a unit of the quota."""
        if kind not in self.core.budgets:
            return True
        if self._take(kind, host) if now else self._is_available(kind, host):
            return True
        self.context.metrics.quota_denied.labels(kind).inc()
        self.context.rate_limited_log.warn("quota exhausted", quota=kind, host=host)
        return False

    def _take(self, kind: str, host: int) -> bool:
        if not self.core.acquire(self.context.clock(), kind, host):
            return False
        self.journal.write(ActionJournal.now(), self.core.budgets[kind].hold_ms, kind, host, 1)
        return True

    def _is_available(self, kind: str, host: int) -> bool:
        """Whether a unit is free; if none is, the demand is noted for the next request to the leader."""
        now = self.context.clock()
        if self.core.available(now, kind, host) >= 1:
            return True
        self.core.record_demand(now, kind, host)
        return False

    def on_hosts_listed(self, now: float, entries: Iterable[api.HostEntry]) -> None:
        """Request quota for hosts that warm up: they will be given slices within a decision step or two."""
        if COLD_SLICES not in self.core.budgets:
            return
        for entry in entries:
            if entry.state == "up" and now - entry.online_since < self.warm_up_ms:
                self.core.record_demand(now, COLD_SLICES, entry.host)

    @property
    def rejected(self) -> int:
        """How many messages of other controllers were rejected."""
        return self.core.rejected_count + self.core.allocator.unknown_count

    def update_metrics(self) -> None:
        """Set, for each budget, what is granted to this controller and what is in use, over all hosts."""
        core, now = self.core, self.context.clock()
        granted = dict.fromkeys(core.budgets, 0)
        in_use = dict.fromkeys(core.budgets, 0)
        for account in core.client.accounts.values():
            name = account.budget.name
            granted[name] += core.client.floor(now, account.budget) + (
                account.granted if now < account.expires_at_ms else 0
            )
            in_use[name] += account.uses.count(now)
        for name in core.budgets:
            self.context.metrics.quota_granted.labels(name).set(granted[name])
            self.context.metrics.quota_in_use.labels(name).set(in_use[name])

    def reload(self, config: ControllerConfig) -> None:
        """Take new sizes of budgets; nothing else of them may change while the controller runs."""
        sizes = {name: budget.capacity for name, budget in configured_quotas(config).items()}
        self.core.resize(sizes)

    def leave(self) -> list[OutgoingMessage]:
        """Give back what is granted and not in use."""
        return self.core.leave(self.context.clock())

    def close(self) -> None:
        """Close the journal."""
        self.journal.close()
