"""Search for the worst combination of faults within bounds: random and mutated candidates, then minimization."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from ..scenario import Fault, Scenario
from .runs import Job, Pool, RunResult, Setting

Span = tuple[float, float]

# Ranges of a fault's fields, by kind. A scenario within them is severe, but one that a controller has to handle: no
# kind takes more than a third of the hosts out of service.
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
REDUCIBLE_FIELDS = ("part", "for_s", "size", "extra")


def random_fault(kind: str, seconds: float, rng: np.random.Generator) -> Fault:
    """Return a random fault of a kind within `RANGES`, for a run of so many seconds."""
    values: dict[str, float | str] = {"at_s": round(float(rng.uniform(0.1, 0.75)) * seconds, 1)}
    for name, span in RANGES[kind].items():
        if isinstance(span[0], str):
            values[name] = str(span[int(rng.integers(len(span)))])
        else:
            values[name] = round(float(rng.uniform(*span)), 3)
    if "for_s" in values:
        # The fault ends within the run, so that the results include the recovery.
        values["for_s"] = round(min(float(values["for_s"]), seconds * 0.9 - float(values["at_s"])), 2)
    return Fault.model_validate({"kind": kind, **values})


def with_faults(scenario: Scenario, faults: list[Fault]) -> Scenario:
    """Return the scenario with these faults, in order of time."""
    return scenario.model_copy(update={"fault": sorted(faults, key=lambda fault: (fault.at_s, fault.kind))})


def mutated(
    faults: list[Fault], max_faults: int, kinds: list[str], seconds: float, rng: np.random.Generator
) -> list[Fault]:
    """Return the faults with one added, removed, replaced by a random one of its kind, or moved in time."""
    result, action = list(faults), rng.random()
    index = int(rng.integers(len(result))) if result else 0
    if not result or (action < 0.3 and len(result) < max_faults):
        result.append(random_fault(kinds[int(rng.integers(len(kinds)))], seconds, rng))
    elif action < 0.4 and len(result) > 1:
        del result[index]
    elif action < 0.7:
        result[index] = random_fault(result[index].kind, seconds, rng)
    else:
        at_s = float(np.clip(result[index].at_s + rng.normal(0.0, seconds / 10), 0.05 * seconds, 0.75 * seconds))
        max_for_s = max(0.5, seconds * 0.9 - at_s)
        result[index] = result[index].model_copy(
            update={"at_s": round(at_s, 1), "for_s": round(min(result[index].for_s, max_for_s), 2)}
        )
    return result


def score(results: list[RunResult]) -> float:
    """Return the mean service; lower is worse, and each run that broke a rule costs 1."""
    return sum(result.service - (1.0 if result.broken else 0.0) for result in results) / len(results)


@dataclass(frozen=True)
class SearchResult:
    """The worst scenario found; scores are mean services, lower is worse."""

    scenario: Scenario
    score: float
    baseline: float  # score without any fault
    scores_without_fault: list[tuple[Fault, float]]  # score if only that fault is left out
    runs: int  # emulated runs of the search
    broken: list[str]  # rules that the worst scenario broke


def search(
    base: Setting,
    budget: int,
    pool: Pool,
    seeds: tuple[int, ...] = (1, 2),
    max_faults: int = 4,
    min_harm_share: float = 0.9,
    kinds: list[str] | None = None,
    seed: int = 1,
    on_progress: Callable[[str], None] = lambda _: None,
) -> SearchResult:
    """Search for the worst faults on the base scenario. Raises `RunFailedError`.

    `budget` is the number of runs for candidates; minimization takes about as many again at most. All candidates are
    run with the same `seeds`; `seed` is that of the search itself. The minimized faults keep `min_harm_share` of the
    loss of service.
    """
    rng, scenario = np.random.default_rng([seed, 9]), base.scenario
    kinds = kinds or sorted(RANGES)
    spent = 0

    def evaluate(candidates: list[list[Fault]]) -> list[tuple[float, list[RunResult]]]:
        nonlocal spent
        settings = [Setting(base.label, with_faults(scenario, f), base.config, base.module) for f in candidates]
        by_key = pool.all([Job(setting, run_seed) for setting in settings for run_seed in seeds])
        spent += len(candidates) * len(seeds)
        results = [[by_key[Job(setting, run_seed).key] for run_seed in seeds] for setting in settings]
        return [(score(r), r) for r in results]

    baseline = evaluate([[]])[0][0]
    batch_size = max(4, pool.workers)
    ranked: list[tuple[float, int, list[Fault]]] = []
    while spent + batch_size * len(seeds) <= budget or not ranked:
        if len(ranked) < budget // len(seeds) // 3:
            candidates = [
                [
                    random_fault(kinds[int(rng.integers(len(kinds)))], scenario.seconds, rng)
                    for _ in range(int(rng.integers(1, max_faults + 1)))
                ]
                for _ in range(batch_size)
            ]
        else:
            parents = [f for _, _, f in ranked[:6]]
            candidates = [
                mutated(parents[int(rng.integers(len(parents)))], max_faults, kinds, scenario.seconds, rng)
                for _ in range(batch_size)
            ]
        ranked += [
            (value, len(ranked) + k, faults)
            for k, ((value, _), faults) in enumerate(zip(evaluate(candidates), candidates, strict=True))
        ]
        ranked.sort(key=lambda item: item[:2])
        on_progress(
            f"{spent} runs: worst {ranked[0][0]:.4f}, without faults {baseline:.4f}: "
            f"{', '.join(f.kind for f in ranked[0][2])}"
        )
    worst, _, faults = ranked[0]
    target = baseline - min_harm_share * (baseline - worst)  # minimized faults must keep this share of the harm
    faults = minimized(faults, target, lambda candidates: [value for value, _ in evaluate(candidates)])
    (final, results), *reduced = evaluate([faults, *([g for g in faults if g is not f] for f in faults)])
    on_progress(f"{spent} runs: minimized to {len(faults)} faults, {final:.4f}")
    broken_rules = sorted({b for r in results for b in r.broken})
    minimal = with_faults(scenario, faults).model_copy(update={"name": f"{scenario.name}-worst"})
    return SearchResult(
        minimal,
        final,
        baseline,
        [(f, value) for f, (value, _) in zip(faults, reduced, strict=True)],
        spent,
        broken_rules,
    )


def minimized(faults: list[Fault], target: float, evaluate: Callable[[list[list[Fault]]], list[float]]) -> list[Fault]:
    """Remove faults that are not needed for a score of at most `target`, then reduce the others' fields by halves.

    Each round evaluates all possible steps and takes the one with the lowest score, so that the result does not depend
    on the order of the faults.
    """
    while len(faults) > 1:
        candidates = [[g for g in faults if g is not f] for f in faults]
        found_scores = evaluate(candidates)
        index = int(np.argmin(found_scores))
        if found_scores[index] > target:
            break
        faults = candidates[index]
    for _ in range(4):
        candidates = []
        for index, f in enumerate(faults):
            for name in REDUCIBLE_FIELDS:
                span = RANGES.get(f.kind, {}).get(name)
                if span is None or isinstance(span[0], str):
                    continue
                low = float(span[0])
                current = float(getattr(f, name))
                if current - low > 0.1 * (float(span[1]) - low):
                    halved = round((current + low) / 2, 3)
                    candidates.append([*faults[:index], f.model_copy(update={name: halved}), *faults[index + 1 :]])
        if not candidates:
            break
        found_scores = evaluate(candidates)
        index = int(np.argmin(found_scores))
        if found_scores[index] > target:
            break
        faults = candidates[index]
    return faults
