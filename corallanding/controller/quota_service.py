"""Budgets of the fleet of stewards: what is asked of them here, and what they say. Decided in `quota`."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from .. import interface as api
from .. import quota
from ..config import ControllerConfig
from ..lease.election import LeaderElection, OutgoingMessage
from ..quota.messages import sound
from ..telemetry import Metrics, log
from .action_journal import ActionJournal


def configured_quotas(c: ControllerConfig) -> dict[str, quota.Budget]:
    """What the configuration asks for, as the core knows it."""
    cold = c.rules.cold_ms
    return {
        name: quota.Budget(
            name, b.whole, b.floor, c.stewards_most, 1_000.0 if b.unit == "per_s" else b.span_ms or cold, b.per
        )
        for name, b in c.budget.items()
    }


class QuotaService:
    """Raises OSError if the witness cannot be written."""

    message_types: tuple[type, ...] = (quota.CapacityRequest, quota.CapacityGrant)
    is_valid = staticmethod(sound)

    def __init__(
        self,
        c: ControllerConfig,
        office: LeaderElection,
        say: Callable[[Iterable[OutgoingMessage]], None],
        clock: Callable[[], float],
        metrics: Metrics,
        rate_limited_log: Any,
    ) -> None:
        self.send, self.clock, self.metrics, self.rate_limited_log, self.warm_up_ms = (
            say,
            clock,
            metrics,
            rate_limited_log,
            c.rules.cold_ms,
        )
        b, o = c.budgets, office
        terms = quota.QuotaLimits(office=b.office_ms, drift=b.drift, lease=b.lease_ms, keys_most=b.keys_most)
        self.core = quota.QuotaManager(
            o.me,
            o.others,
            (),
            configured_quotas(c),
            terms,
            o.life,
            clock(),
            random.random,
            words_per_s=b.words_per_s,
            chair=office,
        )
        self.journal = ActionJournal(b.witness)
        self.leader_since: float | None = None  # of the office, as last told

    def on_tick(self, now: float, alive: Iterable[int], wall: float) -> None:
        self.send(self.core.tick(now, alive))
        if self.core.divider.since != self.leader_since:  # it may have changed with a vote, between two ticks
            self.leader_since = self.core.divider.since
            log.info("divides the budgets" if self.leader_since else "divides no more")

    def on_message(self, sender: int, word: quota.CapacityRequest | quota.CapacityGrant) -> None:
        self.send(self.core.heard(self.clock(), sender, word))

    def on_election_change(self, now: float) -> None:
        self.core.office(now)

    def may_begin(self, kind: str, host: int, now: bool) -> bool:
        """Whether one more of `kind` may begin; `now`: it does, in this instant."""
        q, at = self.core, self.clock()
        if kind not in q.budgets:
            return True
        if not now:
            if q.free(at, kind, host) >= 1:
                return True
            q.wish(at, kind, host)
        elif q.take(at, kind, host):
            self.journal.write(ActionJournal.now(), q.budgets[kind].span, kind, host, 1)
            return True
        self.metrics.quota_denied.labels(kind).inc()
        self.rate_limited_log.warn("no right left", budget=kind, host=host)
        return False

    def on_hosts_listed(self, now: float, entries: Iterable[api.HostEntry]) -> None:
        """A cold host will be given slices within a turn or two: its rights are asked for before they are needed."""
        for e in entries if "cold_slices" in self.core.budgets else ():
            if e.state == "up" and now - e.online_since < self.warm_up_ms:
                self.core.wish(now, "cold_slices", e.host)

    @property
    def rejected(self) -> int:
        return self.core.refused + self.core.divider.strangers

    def update_metrics(self) -> None:
        q, now = self.core, self.clock()
        held, used = dict.fromkeys(q.budgets, 0), dict.fromkeys(q.budgets, 0)
        for a in q.holder.accounts.values():
            held[a.budget.name] += q.holder.floor(now, a.budget) + (a.amount if now < a.until else 0)
            used[a.budget.name] += a.count(now, a.uses)
        for name in q.budgets:
            self.metrics.quota_granted.labels(name).set(held[name])
            self.metrics.quota_in_use.labels(name).set(used[name])

    def reload(self, c: ControllerConfig) -> None:
        """Sizes alone may change while it runs."""
        self.core.retune(self.clock(), {name: b.whole for name, b in configured_quotas(c).items()})

    def leave(self, now: float) -> list[OutgoingMessage]:
        return self.core.leave(now)

    def close(self) -> None:
        self.journal.close()
