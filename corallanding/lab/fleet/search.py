"""The worst day within bounds: drawn, bred from the worst so far, cut down to what matters, kept as a scenario."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from ..scenario import Fault, Scenario
from .runs import Job, Pool, RunResult, Setting

Span = tuple[float, float]

# What one fault may come to, by kind. A day within these is bad, and still one that a steward is there for: no
# kind takes more than a third of the hosts.
RANGES: dict[str, dict[str, Span | tuple[str, ...]]] = {
    "crash": {"part": (0.04, 0.2), "for_s": (2.0, 8.0)},
    "drain": {"part": (0.05, 0.3), "for_s": (3.0, 8.0)},
    "deploy": {"part": (0.2, 0.5), "for_s": (8.0, 20.0), "size": (0.1, 0.34), "extra": (1.0, 3.0)},
    "preempt": {"part": (0.04, 0.2), "extra": (0.5, 2.0)},
    "slow": {"part": (0.05, 0.2), "for_s": (4.0, 12.0), "size": (2.0, 5.0)},
    "hang": {"part": (0.04, 0.12), "for_s": (2.0, 8.0)},
    "neighbour": {"part": (0.1, 0.3), "for_s": (5.0, 15.0), "size": (0.2, 0.6), "extra": (0.5, 2.0)},
    "pauses": {"part": (0.1, 0.3), "for_s": (4.0, 10.0), "size": (200.0, 900.0), "extra": (0.3, 2.0)},
    "hot_key": {"for_s": (4.0, 15.0), "size": (0.05, 0.3), "extra": (1.0, 4.0)},
    "heavy_tail": {"for_s": (4.0, 12.0), "size": (3.0, 10.0), "extra": (0.01, 0.05)},
    "answer_lost": {"part": (0.04, 0.15), "for_s": (3.0, 8.0), "size": (0.2, 0.9)},
    "zone_loss": {"for_s": (3.0, 10.0), "size": (0.0, 0.4)},
    "slow_link": {"for_s": (4.0, 12.0), "size": (0.5, 4.0), "extra": (0.0, 0.1)},
    "counter_down": {"part": (0.1, 0.5), "for_s": (3.0, 8.0)},
    "balancer_roll": {"part": (0.2, 0.8), "for_s": (4.0, 10.0), "size": (0.1, 0.3), "extra": (0.3, 1.0)},
    "balancer_stall": {"part": (0.1, 0.5), "for_s": (3.0, 8.0), "size": (0.3, 1.5), "extra": (0.5, 2.0)},
    "wrong_list": {"part": (0.1, 0.4), "for_s": (3.0, 10.0), "how": ("stale", "ghost", "empty", "blink")},
    "steward_kill": {"for_s": (0.5, 4.0), "how": ("", "mid-move")},
    "roster_down": {"for_s": (3.0, 12.0)},
    "store_down": {"for_s": (2.0, 8.0)},
    "grow": {"for_s": (1.0, 1.0), "size": (1.05, 1.3)},
}
EVERY_NAME = ("part", "for_s", "size", "extra")


def drawn(kind: str, seconds: float, chance: np.random.Generator) -> Fault:
    values: dict[str, float | str] = {"at_s": round(float(chance.uniform(0.1, 0.75)) * seconds, 1)}
    for name, span in RANGES[kind].items():
        if isinstance(span[0], str):
            values[name] = str(span[int(chance.integers(len(span)))])
        else:
            values[name] = round(float(chance.uniform(*span)), 3)
    if "for_s" in values:
        # It ends within the day, so that its end is in the figures too.
        values["for_s"] = round(min(float(values["for_s"]), seconds * 0.9 - float(values["at_s"])), 2)
    return Fault.model_validate({"kind": kind, **values})


def day(s: Scenario, faults: list[Fault]) -> Scenario:
    return s.model_copy(update={"fault": sorted(faults, key=lambda f: (f.at_s, f.kind))})


def bred(faults: list[Fault], most: int, kinds: list[str], seconds: float, chance: np.random.Generator) -> list[Fault]:
    """One fault more, less, drawn anew, or at another time."""
    out, act = list(faults), chance.random()
    k = int(chance.integers(len(out))) if out else 0
    if not out or (act < 0.3 and len(out) < most):
        out.append(drawn(kinds[int(chance.integers(len(kinds)))], seconds, chance))
    elif act < 0.4 and len(out) > 1:
        del out[k]
    elif act < 0.7:
        out[k] = drawn(out[k].kind, seconds, chance)
    else:
        at = float(np.clip(out[k].at_s + chance.normal(0.0, seconds / 10), 0.05 * seconds, 0.75 * seconds))
        left = max(0.5, seconds * 0.9 - at)
        out[k] = out[k].model_copy(update={"at_s": round(at, 1), "for_s": round(min(out[k].for_s, left), 2)})
    return out


def score(rows: list[RunResult]) -> float:
    """Lower is worse; a broken rule is worse than anything else."""
    return sum(r.service - (1.0 if r.broken else 0.0) for r in rows) / len(rows)


@dataclass(frozen=True)
class Worst:
    scenario: Scenario
    score: float
    quiet: float  # the same without any fault
    without: list[tuple[Fault, float]]  # the score if that fault alone were not
    runs: int
    broken: list[str]


def search(
    base: Setting,
    budget: int,
    pool: Pool,
    seeds: tuple[int, ...] = (1, 2),
    most: int = 4,
    keep: float = 0.9,
    kinds: list[str] | None = None,
    seed: int = 1,
    told: Callable[[str], None] = lambda _: None,
) -> Worst:
    """budget: runs for drawing and breeding; cutting down takes about as many again at most. Days are tried on the
    same seeds. The chances of the search itself go by `seed`. Raises `RunFault`."""
    chance, s = np.random.default_rng([seed, 9]), base.scenario
    kinds = kinds or sorted(RANGES)
    spent = 0

    def tried(days: list[list[Fault]]) -> list[tuple[float, list[RunResult]]]:
        nonlocal spent
        settings = [Setting(base.label, day(s, f), base.config, base.module) for f in days]
        done = pool.all([Job(x, n) for x in settings for n in seeds])
        spent += len(days) * len(seeds)
        rows = [[done[Job(x, n).key] for n in seeds] for x in settings]
        return [(score(r), r) for r in rows]

    quiet = tried([[]])[0][0]
    wave = max(4, pool.workers)
    known: list[tuple[float, int, list[Fault]]] = []
    while spent + wave * len(seeds) <= budget or not known:
        if len(known) < budget // len(seeds) // 3:
            days = [
                [
                    drawn(kinds[int(chance.integers(len(kinds)))], s.seconds, chance)
                    for _ in range(int(chance.integers(1, most + 1)))
                ]
                for _ in range(wave)
            ]
        else:
            best = [f for _, _, f in known[:6]]
            days = [bred(best[int(chance.integers(len(best)))], most, kinds, s.seconds, chance) for _ in range(wave)]
        known += [(x, len(known) + k, f) for k, ((x, _), f) in enumerate(zip(tried(days), days, strict=True))]
        known.sort(key=lambda item: item[:2])
        told(f"{spent} runs: worst {known[0][0]:.4f}, quiet {quiet:.4f}: {', '.join(f.kind for f in known[0][2])}")
    worst, _, faults = known[0]
    target = quiet - keep * (quiet - worst)  # what is left out or made less must leave this much of the harm
    faults = cut(faults, target, lambda days: [x for x, _ in tried(days)])
    (final, rows), *less = tried([faults, *([g for g in faults if g is not f] for f in faults)])
    told(f"{spent} runs: cut down to {len(faults)} faults, {final:.4f}")
    broken = sorted({b for r in rows for b in r.broken})
    kept = day(s, faults).model_copy(update={"name": f"{s.name}-worst"})
    return Worst(kept, final, quiet, [(f, x) for f, (x, _) in zip(faults, less, strict=True)], spent, broken)


def cut(faults: list[Fault], target: float, scores: Callable[[list[list[Fault]]], list[float]]) -> list[Fault]:
    """Drop what is not needed to stay at or under `target`, then halve what need not be so long or so large. Each
    round tries all of its steps at once and takes the one that stays lowest, so that none hides another."""
    while len(faults) > 1:
        days = [[g for g in faults if g is not f] for f in faults]
        found = scores(days)
        k = int(np.argmin(found))
        if found[k] > target:
            break
        faults = days[k]
    for _ in range(4):
        days = []
        for k, f in enumerate(faults):
            for name in EVERY_NAME:
                span = RANGES.get(f.kind, {}).get(name)
                if span is None or isinstance(span[0], str):
                    continue
                low = float(span[0])
                now = float(getattr(f, name))
                if now - low > 0.1 * (float(span[1]) - low):
                    half = round((now + low) / 2, 3)
                    days.append([*faults[:k], f.model_copy(update={name: half}), *faults[k + 1 :]])
        if not days:
            break
        found = scores(days)
        k = int(np.argmin(found))
        if found[k] > target:
            break
        faults = days[k]
    return faults
