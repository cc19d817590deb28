"""Figures on budgets by fleet size, in simulated time: `corallanding lab budgets`. Hosts and stewards are simulated."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import numpy as np

from ...quota import Budget, BudgetScope, QuotaLimits
from ..uses import most
from .world import World, troubled

SPAN, WHOLE = 1_000.0, 60  # ms, rights: a rate of 60 a second
ENOUGH = 0.8  # of the whole in use


def budgets(stewards: int, floors: float) -> dict[str, Budget]:
    """floors: the share of each whole that is in fixed parts; 0: all is divided by demand, 1: nothing is."""
    found = (
        Budget("moves", max(WHOLE, stewards), 0, stewards, SPAN),
        Budget("cold", max(12, stewards), 0, stewards, 3_000.0, BudgetScope.HOST),
    )
    return {b.name: replace(b, floor=int(b.capacity * floors / stewards)) for b in found}


def uneven(seed: int) -> Callable[[float, int], list[tuple[str, int]]]:
    """Demand that moves about: every five seconds other stewards want much, and the rest little."""
    chance = random.Random(f"demand {seed}")

    def wish(t: float, n: int) -> list[tuple[str, int]]:
        share = random.Random(f"{seed} {int(t // 5_000.0)} {n}").random() ** 3
        wishes = [("moves", 0)] * sum(chance.random() < share for _ in range(2))
        return wishes + [("cold", chance.randrange(3))] * (chance.random() < 0.2)

    return wish


def day(seed: int, stewards: int, floors: float, faults: bool, ms: float = 60_000.0) -> tuple[float, float]:
    """The share of wishes that were granted, and the ms for which more than a whole was in use."""
    own = budgets(stewards, floors)
    w = World(seed, stewards, min(stewards, 5), own, QuotaLimits(), uneven(seed), static=floors == 1.0)
    if faults:
        troubled(w, ms)
    w.run(ms)
    rows = most(w.uses, {name: b.capacity for name, b in own.items()})
    return 1.0 - w.refused / max(1, w.wanted), sum(r["over_ms"] for r in rows)


def greedy(t: float, n: int) -> list[tuple[str, int]]:
    return [("moves", 0)] * 8


def share_in_use(w: World, begin: float, end: float, whole: int) -> float:
    """On the mean of that time."""
    area = sum(max(0.0, min(e, end) - max(b, begin)) * n for b, e, _, _, n in w.uses if e > begin and b < end)
    return area / (end - begin) / whole


def until(w: World, wanted: Callable[[], bool], limit: float = 60_000.0) -> float:
    begun = w.now
    while not wanted():
        if w.now - begun > limit:
            return limit
        w.run(w.now + 25.0)
    return w.now - begun


@dataclass(frozen=True)
class Change:
    """ms from which on ENOUGH of the whole is in use in each second, all stewards wanting more than there is."""

    what: str
    ms: float


def changes(seed: int, stewards: int) -> list[Change]:
    """One that dies, the divider that dies, a split, a newcomer; each in a world of its own that has settled."""
    out = []
    for what in ("a fifth dies", "the divider dies", "two halves", "one comes"):
        own = {"moves": Budget("moves", max(WHOLE, 3 * stewards), 0, stewards + 1, SPAN)}
        w = World(seed, stewards + 1, min(stewards, 5), own, QuotaLimits(), greedy, first=stewards)
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
            out.append(Change("first right of a newcomer", took))
            continue
        begun = w.now
        w.run(begun + 15_000.0)
        w.uses = [u for u in w.uses if u[1] > begun - SPAN]
        low = [
            t
            for t in range(0, 14_000, 100)
            if share_in_use(w, begun + t, begun + t + SPAN, own["moves"].capacity) < ENOUGH
        ]
        out.append(Change(what, low[-1] + 100.0 if low else 0.0))
    return out


def cost(seed: int, stewards: int, ms: float = 10_000.0) -> tuple[float, float]:
    """Words and bytes a second and steward, with uneven demand and no fault: mean, and of the one that sent most."""
    w = World(seed, stewards, min(stewards, 5), budgets(stewards, 0.0), QuotaLimits(), uneven(seed))
    w.weigh = True
    w.run(ms)
    sent = np.array([w.by.get(n, (0, 0)) for n in range(stewards)], dtype=float) / (ms / 1000.0)
    return float(sent[:, 0].mean()), float(sent[:, 1].mean())


def table(seeds: int, sizes: list[int]) -> str:
    """The page's figures as Markdown."""
    out = [
        "| stewards | words/s | bytes/s | a fifth dies, ms p50 / p99 | the divider | two halves | a newcomer |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for n in sizes:
        words, size = cost(1, n)
        found: dict[str, list[float]] = {}
        for seed in range(seeds if n <= 20 else max(1, seeds // 10)):
            for c in changes(seed, n):
                found.setdefault(c.what, []).append(c.ms)
        cells = [f"{np.percentile(v, 50):.0f} / {np.percentile(v, 99):.0f}" for v in found.values()]
        out.append(f"| {n} | {words:.1f} | {size:.0f} | {' | '.join(cells)} |")
    return "\n".join(out)


def compared(seeds: int, stewards: int) -> str:
    """Division by demand, half in floors, and static parts, under the same demands and faults."""
    out = [
        "| day | division | wishes granted, mean | worst day | days with an instant too many |",
        "| --- | --- | --- | --- | --- |",
    ]
    for faults in (False, True):
        for name, floors in (("by demand", 0.0), ("half in floors", 0.5), ("static parts", 1.0)):
            days = [day(seed, stewards, floors, faults) for seed in range(seeds)]
            granted = np.array([d[0] for d in days])
            over = sum(d[1] > 0 for d in days)
            kind = "faults all day" if faults else "calm"
            out.append(f"| {kind} | {name} | {granted.mean():.3f} | {granted.min():.3f} | {over} of {seeds} |")
    return "\n".join(out)
