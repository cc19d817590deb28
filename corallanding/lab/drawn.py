"""Whom a fault strikes: numbers that it names, or a part of them drawn by the run's seed."""

from __future__ import annotations

import numpy as np

from .scenario import Fault
from .stage import Stage


class Drawn:
    lab: Stage
    draws: dict[int, int]  # by the fault's place

    def order(self, f: Fault, count: int) -> list[int]:
        """An order drawn by the run's seed, the fault's place and how often it drew: what other faults draw, and what
        the fleet is like by then, changes nothing for two runs that are compared."""
        place = next(k for k, x in enumerate(self.lab.scenario.fault) if x is f)
        drawn = self.draws[place] = self.draws.get(place, 0) + 1
        return [int(k) for k in np.random.default_rng([self.lab.seed, 2, place, drawn]).permutation(count)]

    def numbers(self, f: Fault, count: int) -> list[int]:
        """Of so many."""
        if f.on:
            return [k for k in f.on if k < count]
        return self.order(f, count)[: max(1, round(count * f.part))]
