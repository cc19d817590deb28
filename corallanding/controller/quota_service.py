"""Budgets of the fleet of stewards: what is asked of them here, and what they say. Decided in `quota`."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from .. import interface as api
from .. import quota
from ..config import ControllerConfig
from ..lease.election import Desk, Send
from ..quota.messages import sound
from ..telemetry import Metrics, log
from .action_journal import Witness


def budgets_of(c: ControllerConfig) -> dict[str, quota.Budget]:
    """What the configuration asks for, as the core knows it."""
    cold = c.rules.cold_ms
    return {
        name: quota.Budget(
            name, b.whole, b.floor, c.stewards_most, 1_000.0 if b.unit == "per_s" else b.span_ms or cold, b.per
        )
        for name, b in c.budget.items()
    }


class Budgets:
    """Raises OSError if the witness cannot be written."""

    kinds: tuple[type, ...] = (quota.Want, quota.Give)
    sound = staticmethod(sound)

    def __init__(
        self,
        c: ControllerConfig,
        office: Desk,
        say: Callable[[Iterable[Send]], None],
        clock: Callable[[], float],
        metrics: Metrics,
        gate: Any,
    ) -> None:
        self.say, self.clock, self.metrics, self.gate, self.cold = say, clock, metrics, gate, c.rules.cold_ms
        b, o = c.budgets, office
        terms = quota.Terms(office=b.office_ms, drift=b.drift, lease=b.lease_ms, keys_most=b.keys_most)
        self.core = quota.Quota(
            o.me,
            o.others,
            (),
            budgets_of(c),
            terms,
            o.life,
            clock(),
            random.random,
            words_per_s=b.words_per_s,
            chair=office,
        )
        self.witness = Witness(b.witness)
        self.since: float | None = None  # of the office, as last told

    def tick(self, now: float, alive: Iterable[int], wall: float) -> None:
        self.say(self.core.tick(now, alive))
        if self.core.divider.since != self.since:  # it may have changed with a vote, between two ticks
            self.since = self.core.divider.since
            log.info("divides the budgets" if self.since else "divides no more")

    def heard(self, sender: int, word: quota.Want | quota.Give) -> None:
        self.say(self.core.heard(self.clock(), sender, word))

    def voted(self, now: float) -> None:
        self.core.office(now)

    def may(self, kind: str, host: int, now: bool) -> bool:
        """Whether one more of `kind` may begin; `now`: it does, in this instant."""
        q, at = self.core, self.clock()
        if kind not in q.budgets:
            return True
        if not now:
            if q.free(at, kind, host) >= 1:
                return True
            q.wish(at, kind, host)
        elif q.take(at, kind, host):
            self.witness.write(Witness.now(), q.budgets[kind].span, kind, host, 1)
            return True
        self.metrics.budget_refused.labels(kind).inc()
        self.gate.warn("no right left", budget=kind, host=host)
        return False

    def newly_listed(self, now: float, entries: Iterable[api.HostEntry]) -> None:
        """A cold host will be given slices within a turn or two: its rights are asked for before they are needed."""
        for e in entries if "cold_slices" in self.core.budgets else ():
            if e.state == "up" and now - e.online_since < self.cold:
                self.core.wish(now, "cold_slices", e.host)

    @property
    def refused(self) -> int:
        return self.core.refused + self.core.divider.strangers

    def figures(self) -> None:
        q, now = self.core, self.clock()
        held, used = dict.fromkeys(q.budgets, 0), dict.fromkeys(q.budgets, 0)
        for a in q.holder.accounts.values():
            held[a.budget.name] += q.holder.floor(now, a.budget) + (a.amount if now < a.until else 0)
            used[a.budget.name] += a.count(now, a.uses)
        for name in q.budgets:
            self.metrics.budget_held.labels(name).set(held[name])
            self.metrics.budget_used.labels(name).set(used[name])

    def reload(self, c: ControllerConfig) -> None:
        """Sizes alone may change while it runs."""
        self.core.retune(self.clock(), {name: b.whole for name, b in budgets_of(c).items()})

    def leave(self, now: float) -> list[Send]:
        return self.core.leave(now)

    def close(self) -> None:
        self.witness.close()
