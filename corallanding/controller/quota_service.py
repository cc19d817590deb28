"""Quota shared by all controllers: takes units here, and exchanges demand and grants. The core is `quota`."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any, ClassVar

from .. import interface as api
from .. import quota
from ..config import ControllerConfig
from ..config.scheduling import RELEASES
from ..quota import messages
from ..telemetry import log
from ..wire.peer_messages import OutgoingMessage
from .action_journal import ActionJournal
from .cluster_service import ClusterService, ServiceContext, Tick

COLD_SLICES = "cold_slices"  # the budget of slices that may be assigned to a host that warms up
FLEET = 0  # replaces the host in a budget that is not per host
RATE_SPAN_MS = 1_000.0  # how long a used unit of a per-second budget stays in use


def configured_quotas(config: ControllerConfig) -> dict[str, quota.Budget]:
    """Return the configured budgets by name, as parameters of the core."""
    budgets = {}
    for name, block in config.budget.items():
        span_ms = RATE_SPAN_MS if block.unit == "per_s" else block.span_ms or config.rules.cold_ms
        budgets[name] = quota.Budget(
            name, block.whole, block.floor, config.max_controllers, span_ms, quota.BudgetScope(block.per)
        )
    return budgets


class QuotaService(ClusterService):
    """Takes units of quota for the controller's actions, and exchanges demand and grants with the other controllers.

    Raises OSError if the journal cannot be written.
    """

    message_types: ClassVar[tuple[type, ...]] = (quota.CapacityRequest, quota.CapacityGrant)

    def __init__(self, config: ControllerConfig, context: ServiceContext) -> None:
        self.context = context
        self.warm_up_ms = config.rules.cold_ms
        settings, election = config.budgets, context.election
        limits = quota.QuotaLimits(
            vote_lease_ms=settings.office_ms,
            max_clock_drift=settings.drift,
            lease_ms=settings.lease_ms,
            max_accounts=settings.keys_most,
        )
        self.core = quota.QuotaManager(
            election.controller_id,
            election.peer_ids,
            (),
            configured_quotas(config),
            limits,
            election.incarnation,
            context.clock(),
            random.random,
            words_per_s=settings.words_per_s,
            shared_election=election,
        )
        self.journal = ActionJournal(settings.witness)
        self.leader_since_ms: float | None = None  # as last logged, ms

    @staticmethod
    def is_valid(message: Any) -> bool:
        """Return whether the fields of a message are within the ranges that a correct controller sends."""
        return messages.is_valid(message)

    def on_tick(self, tick: Tick) -> None:
        """Send due messages, and log a change of this controller's leadership."""
        self.context.send(self.core.tick(tick.now_ms, tick.alive))
        started_at_ms = self.core.allocator.started_at_ms  # it may have changed with a vote, between two ticks
        if started_at_ms != self.leader_since_ms:
            self.leader_since_ms = started_at_ms
            log.info("quota leadership gained" if started_at_ms else "quota leadership lost")

    def on_message(self, sender: int, message: quota.CapacityRequest | quota.CapacityGrant) -> None:
        """Handle a request for quota or a grant."""
        self.context.send(self.core.on_message(self.context.clock(), sender, message))

    def on_election_change(self) -> None:
        """Start or stop allocating quota when the leadership changes."""
        self.core.is_allocating(self.context.clock())

    def may_begin(self, kind: str, host: int, is_starting: bool) -> bool:
        """Return whether one more action of `kind` at `host` may begin.

        is_starting: the action begins at once if allowed, and takes a unit of the quota.
        """
        if kind not in self.core.budgets:
            return True
        if self._take(kind, host) if is_starting else self._is_available(kind, host):
            return True
        self.context.metrics.quota_denied.labels(kind).inc()
        self.context.rate_limited_log.warn("quota exhausted", quota=kind, host=host)
        return False

    def _take(self, kind: str, host: int) -> bool:
        if not self.core.acquire(self.context.clock(), kind, host):
            return False
        self.journal.write(ActionJournal.now_ms(), self.core.budgets[kind].hold_ms, kind, host, 1)
        return True

    def _is_available(self, kind: str, host: int) -> bool:
        """Return whether a unit is free; if none is, record the demand for the next request to the leader."""
        now_ms = self.context.clock()
        if self.core.available(now_ms, kind, host) >= 1:
            return True
        self.core.record_demand(now_ms, kind, host)
        return False

    def on_hosts_listed(self, now_ms: float, entries: Iterable[api.HostEntry]) -> None:
        """Request quota for hosts that warm up: they will be assigned slices within the next decision steps."""
        if COLD_SLICES not in self.core.budgets:
            return
        for entry in entries:
            if entry.state == "up" and now_ms - entry.online_since < self.warm_up_ms:
                self.core.record_demand(now_ms, COLD_SLICES, entry.host)

    @property
    def rejected(self) -> int:
        """Return the number of rejected messages of other controllers."""
        return self.core.rejected_count + self.core.allocator.unknown_count

    def update_metrics(self) -> None:
        """Set, for each budget, the units granted to this controller and those in use, over all hosts."""
        core, now_ms = self.core, self.context.clock()
        granted = dict.fromkeys(core.budgets, 0)
        in_use = dict.fromkeys(core.budgets, 0)
        for account in core.client.accounts.values():
            name = account.budget.name
            granted[name] += core.client.floor(now_ms, account.budget) + (
                account.granted if now_ms < account.expires_at_ms else 0
            )
            in_use[name] += account.uses.count(now_ms)
        for name in core.budgets:
            self.context.metrics.quota_granted.labels(name).set(granted[name])
            self.context.metrics.quota_in_use.labels(name).set(in_use[name])

    def reload(self, config: ControllerConfig) -> None:
        """Apply new sizes of budgets; their other settings cannot change while the controller runs."""
        sizes = {name: budget.capacity for name, budget in configured_quotas(config).items()}
        self.core.resize(sizes)

    def leave(self) -> list[OutgoingMessage]:
        """Give back the granted units that are not in use."""
        return self.core.leave(self.context.clock())

    def close(self) -> None:
        """Close the journal."""
        self.journal.close()


class ReleaseQuota:
    """The quota of jobs that are released. clock: returns ms."""

    def __init__(self, quota: QuotaService, clock: Callable[[], float]) -> None:
        self.quota = quota
        self.clock = clock

    def take(self) -> bool:
        """Take one unit; return whether one was available."""
        return self.quota.may_begin(RELEASES, FLEET, True)

    def request(self, count: int) -> None:
        """Set this controller's demand for releases per second."""
        self.quota.core.set_demand(self.clock(), RELEASES, count)
