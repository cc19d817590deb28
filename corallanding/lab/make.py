"""Forwarders and clients of a run, as the scenario asks for them."""

from __future__ import annotations

import numpy as np

from .clients import OperationSpec
from .forwarder import Forwarder, Rules
from .net import Net
from .run_clients import RunClients, RunSpec
from .scenario import Scenario
from .trace import Trace
from .wait_clients import JobSpec, WaitClients

RUNS, WAITS = 1, 2  # parts of the link that a forwarder speaks


def forwarder_of(
    s: Scenario,
    number: int,
    share: float,
    stewards: list[tuple[str, int]],
    zones: dict[int, int],
    net: Net,
    trace: Trace,
    seed: int,
) -> Forwarder:
    """share: of the traffic."""
    rules = Rules(
        s.forwarders.pick,
        s.forwarders.usual_retry,
        s.forwarders.try_aims,
        s.forwarders.ejects,
        transit=s.fleet.transit_ms,
        report_late=s.fleet.sums_late_ms,
        aims=tuple(o.latency_objective_ms for o in s.operation.values()),
    )
    parts = (RUNS if s.pins else 0) | (WAITS if s.jobs else 0)
    rate = share * s.traffic.per_s
    return Forwarder(number, number % len(s.zones), rate, stewards, 0, rules, zones, net, trace, seed, parts)


def shares_of(s: Scenario, chance: np.random.Generator) -> tuple[np.ndarray, np.ndarray]:
    """Of the traffic, by forwarder and by slice."""
    n = s.fleet.forwarders
    rates = chance.lognormal(0.0, s.fleet.stream_cv, n) if s.fleet.stream_cv else np.ones(n)
    slices = chance.lognormal(0.0, s.fleet.slice_cv, s.fleet.slices)
    return rates / rates.sum(), slices / slices.sum()


def operations_of(s: Scenario) -> list[OperationSpec]:
    """Those that wait come by clients of their own."""
    found = [
        OperationSpec(
            name,
            0.0 if o.waits else o.share,
            o.work_ms,
            o.cv,
            o.latency_objective_ms,
            o.integration_timeout_ms,
            o.billed_value,
            o.late_value,
            o.repeat == "idempotent",
        )
        for name, o in s.operation.items()
    ]
    total = sum(o.share for o in found)
    return [OperationSpec(**{**vars(o), "share": o.share / total}) for o in found]


def run_clients(
    s: Scenario, forwarders: list[Forwarder], operations: list[OperationSpec], trace: Trace, seed: int
) -> RunClients | None:
    if s.runs is None:
        return None
    spec = RunSpec(s.runs.per_s, tuple(list(s.operation).index(n) for n in s.runs.steps), s.runs.gap_ms, s.runs.twice)
    return RunClients(forwarders, operations, spec, s.fleet.slices, trace, seed)


def wait_clients(
    s: Scenario, forwarders: list[Forwarder], operations: list[OperationSpec], trace: Trace, seed: int
) -> WaitClients | None:
    if s.jobs is None:
        return None
    rows = list(enumerate(s.operation.values()))
    waiting = tuple(n for n, o in rows if o.waits)
    marked = tuple(n for n, o in rows if o.repeat == "fingerprinted")
    spec = JobSpec(s.jobs.per_s, waiting, marked, s.jobs.again, s.jobs.again_ms, s.jobs.runs)
    return WaitClients(forwarders, operations, spec, s.fleet.slices, trace, seed)
