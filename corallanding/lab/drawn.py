"""Selection of the targets of a fault: the numbers it names, or a share drawn by the run's seed."""

from __future__ import annotations

import numpy as np

from .scenario import Fault
from .stage import Stage


class FaultTargets:
    """Base of the classes that inject faults."""

    lab: Stage
    draws_by_fault: dict[int, int]  # number of draws, by the fault's index in the scenario

    def draw_order(self, f: Fault, count: int) -> list[int]:
        """Return the numbers below `count` in random order.

        The order depends only on the run's seed, the fault's index and its number of draws. So two compared runs
        do not differ by the draws of other faults or by the state of the fleet.
        """
        index = next(k for k, other in enumerate(self.lab.scenario.fault) if other is f)
        draws = self.draws_by_fault[index] = self.draws_by_fault.get(index, 0) + 1
        return [int(k) for k in np.random.default_rng([self.lab.seed, 2, index, draws]).permutation(count)]

    def numbers(self, f: Fault, count: int) -> list[int]:
        """Return the fault's targets among the numbers below `count`."""
        if f.on:
            return [k for k in f.on if k < count]
        return self.draw_order(f, count)[: max(1, round(count * f.part))]
