"""Cost and recovery time of budgets by fleet size, in simulated time, for `corallanding lab budgets`."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import numpy as np

from ...quota import Budget, BudgetScope, QuotaLimits
from ..uses import most
from .world import World, troubled

HOLD_MS = 1_000.0
RIGHTS_PER_HOLD = 60  # a rate of 60 a second
RECOVERED_SHARE = 0.8  # share of a capacity in use that counts as recovered


def budgets(stewards: int, floors: float) -> dict[str, Budget]:
    """Return the simulated budgets. floors: share of each capacity in fixed parts; the rest is divided by demand."""
    found = (
        Budget("moves", max(RIGHTS_PER_HOLD, stewards), 0, stewards, HOLD_MS),
        Budget("cold", max(12, stewards), 0, stewards, 3_000.0, BudgetScope.HOST),
    )
    return {b.name: replace(b, floor=int(b.capacity * floors / stewards)) for b in found}


def uneven_demand(seed: int) -> Callable[[float, int], list[tuple[str, int]]]:
    """Return a demand that is high at a few controllers, which change every five seconds, and low at the rest."""
    chance = random.Random(f"demand {seed}")

    def demand(t: float, n: int) -> list[tuple[str, int]]:
        share = random.Random(f"{seed} {int(t // 5_000.0)} {n}").random() ** 3
        requests = [("moves", 0)] * sum(chance.random() < share for _ in range(2))
        return requests + [("cold", chance.randrange(3))] * (chance.random() < 0.2)

    return demand


def day(seed: int, stewards: int, floors: float, faults: bool, ms: float = 60_000.0) -> tuple[float, float]:
    """Simulate `ms`; return the share of granted requests and the ms for which a capacity was exceeded."""
    own_budgets = budgets(stewards, floors)
    w = World(seed, stewards, min(stewards, 5), own_budgets, QuotaLimits(), uneven_demand(seed), static=floors == 1.0)
    if faults:
        troubled(w, ms)
    w.run(ms)
    rows = most(w.uses, {name: b.capacity for name, b in own_budgets.items()})
    return 1.0 - w.refused / max(1, w.wanted), sum(r["over_ms"] for r in rows)


def excessive_demand(t: float, n: int) -> list[tuple[str, int]]:
    """Return more requests than the capacity allows."""
    return [("moves", 0)] * 8


def share_in_use(w: World, begin: float, end: float, whole: int) -> float:
    """Return the mean share of the capacity `whole` in use between two instants."""
    area = sum(max(0.0, min(e, end) - max(b, begin)) * n for b, e, _, _, n in w.uses if e > begin and b < end)
    return area / (end - begin) / whole


def until(w: World, wanted: Callable[[], bool], limit: float = 60_000.0) -> float:
    """Run the world until a condition holds; return the ms, `limit` at most."""
    begun = w.now
    while not wanted():
        if w.now - begun > limit:
            return limit
        w.run(w.now + 25.0)
    return w.now - begun


@dataclass(frozen=True)
class Change:
    """A change of the fleet and the ms until `RECOVERED_SHARE` of the capacity is in use again, under excess demand."""

    what: str
    ms: float


def changes(seed: int, stewards: int) -> list[Change]:
    """Measure the recovery from failures, a partition and a new controller, each in a settled world of its own."""
    found = []
    for what in ("a fifth dies", "the divider dies", "two halves", "one comes"):
        own_budgets = {"moves": Budget("moves", max(RIGHTS_PER_HOLD, 3 * stewards), 0, stewards + 1, HOLD_MS)}
        w = World(seed, stewards + 1, min(stewards, 5), own_budgets, QuotaLimits(), excessive_demand, first=stewards)
        w.run(15_000.0)
        divider = next((n for n, p in w.processes.items() if p.quota.is_allocating(p.clock(w.now))), 0)
        if what == "a fifth dies":
            others = [n for n in w.processes if n != divider]
            for n in others[-max(1, stewards // 5) :]:
                w.kill(n)
        elif what == "the divider dies":
            w.kill(divider)
        elif what == "two halves":
            w.part({n for n in w.processes if n % 2 and n != divider})
        else:
            w.start(stewards)
            held = w.processes[stewards].quota.client
            took = until(w, lambda: any(a.uses.buckets for a in held.accounts.values()))  # noqa: B023
            found.append(Change("first right of a newcomer", took))
            continue
        begun = w.now
        w.run(begun + 15_000.0)
        w.uses = [u for u in w.uses if u[1] > begun - HOLD_MS]
        below = [
            t
            for t in range(0, 14_000, 100)
            if share_in_use(w, begun + t, begun + t + HOLD_MS, own_budgets["moves"].capacity) < RECOVERED_SHARE
        ]
        found.append(Change(what, below[-1] + 100.0 if below else 0.0))
    return found


def cost(seed: int, stewards: int, ms: float = 10_000.0) -> tuple[float, float]:
    """Return the mean messages and bytes a second per controller, with uneven demand and without faults."""
    w = World(seed, stewards, min(stewards, 5), budgets(stewards, 0.0), QuotaLimits(), uneven_demand(seed))
    w.weigh = True
    w.run(ms)
    sent = np.array([w.by.get(n, (0, 0)) for n in range(stewards)], dtype=float) / (ms / 1000.0)
    return float(sent[:, 0].mean()), float(sent[:, 1].mean())


def table(seeds: int, sizes: list[int]) -> str:
    """Return cost and recovery times by fleet size as Markdown."""
    lines = [
        "| stewards | words/s | bytes/s | a fifth dies, ms p50 / p99 | the divider | two halves | a newcomer |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for n in sizes:
        messages, size = cost(1, n)
        recovery_ms: dict[str, list[float]] = {}
        for seed in range(seeds if n <= 20 else max(1, seeds // 10)):
            for change in changes(seed, n):
                recovery_ms.setdefault(change.what, []).append(change.ms)
        cells = [f"{np.percentile(v, 50):.0f} / {np.percentile(v, 99):.0f}" for v in recovery_ms.values()]
        lines.append(f"| {n} | {messages:.1f} | {size:.0f} | {' | '.join(cells)} |")
    return "\n".join(lines)


def compared(seeds: int, stewards: int) -> str:
    """Compare division by demand, half in floors and static parts under the same demand and faults, as Markdown."""
    lines = [
        "| day | division | wishes granted, mean | worst day | days with an instant too many |",
        "| --- | --- | --- | --- | --- |",
    ]
    for faults in (False, True):
        for name, floors in (("by demand", 0.0), ("half in floors", 0.5), ("static parts", 1.0)):
            days = [day(seed, stewards, floors, faults) for seed in range(seeds)]
            granted = np.array([d[0] for d in days])
            over = sum(d[1] > 0 for d in days)
            kind = "faults all day" if faults else "calm"
            lines.append(f"| {kind} | {name} | {granted.mean():.3f} | {granted.min():.3f} | {over} of {seeds} |")
    return "\n".join(lines)
