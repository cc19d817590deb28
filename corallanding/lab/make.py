"""Construction of the proxies and clients of a run from its scenario."""

from __future__ import annotations

import numpy as np

from .clients import OperationSpec
from .forwarder import Proxy, ProxyRules
from .net import Net
from .run_clients import RunClients, RunSpec
from .scenario import Scenario
from .trace import Trace
from .wait_clients import JobSpec, WaitClients

RUNS, WAITS = 1, 2  # optional parts of the protocol that a proxy supports, as bits


def make_proxy(
    s: Scenario,
    number: int,
    share: float,
    stewards: list[tuple[str, int]],
    zones: dict[int, int],
    net: Net,
    trace: Trace,
    seed: int,
) -> Proxy:
    """Return proxy `number`, which gets `share` of the traffic."""
    rules = ProxyRules(
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
    return Proxy(number, number % len(s.zones), rate, stewards, 0, rules, zones, net, trace, seed, parts)


def draw_shares(s: Scenario, chance: np.random.Generator) -> tuple[np.ndarray, np.ndarray]:
    """Draw the shares of the traffic by proxy and by slice; each sums to 1."""
    n = s.fleet.forwarders
    rates = chance.lognormal(0.0, s.fleet.stream_cv, n) if s.fleet.stream_cv else np.ones(n)
    slices = chance.lognormal(0.0, s.fleet.slice_cv, s.fleet.slices)
    return rates / rates.sum(), slices / slices.sum()


def request_classes_of(s: Scenario) -> list[OperationSpec]:
    """Return the request classes with shares that sum to 1.

    Classes with `waits` get the share 0: their jobs are submitted by `WaitClients`.
    """
    request_classes = [
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
    total = sum(o.share for o in request_classes)
    return [OperationSpec(**{**vars(o), "share": o.share / total}) for o in request_classes]


def make_run_clients(
    s: Scenario, forwarders: list[Proxy], operations: list[OperationSpec], trace: Trace, seed: int
) -> RunClients | None:
    """Return the clients of workflow runs, if the scenario has any."""
    if s.runs is None:
        return None
    spec = RunSpec(s.runs.per_s, tuple(list(s.operation).index(n) for n in s.runs.steps), s.runs.gap_ms, s.runs.twice)
    return RunClients(forwarders, operations, spec, s.fleet.slices, trace, seed)


def make_wait_clients(
    s: Scenario, forwarders: list[Proxy], operations: list[OperationSpec], trace: Trace, seed: int
) -> WaitClients | None:
    """Return the clients that submit jobs, if the scenario has any."""
    if s.jobs is None:
        return None
    rows = list(enumerate(s.operation.values()))
    waiting = tuple(n for n, o in rows if o.waits)
    with_idempotency_key = tuple(n for n, o in rows if o.repeat == "fingerprinted")
    spec = JobSpec(s.jobs.per_s, waiting, with_idempotency_key, s.jobs.again, s.jobs.again_ms, s.jobs.runs)
    return WaitClients(forwarders, operations, spec, s.fleet.slices, trace, seed)
