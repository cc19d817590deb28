"""Scenarios in HCL: a fleet, its traffic and its faults, with the kinds of faults that can be injected."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, model_validator

from ..config.blocks import Block, Count, NonNegativeMs, PositiveMs, Ratio
from ..config.hcl import load
from ..config.quota import BudgetBlock, BudgetsBlock
from ..config.scheduling import WaitingBlock
from ..config.site import ChannelBlock, ForwardersBlock, OperationBlock, ReportsBlock, RulesBlock
from ..config.sources import HealthCheckBlock, LoadReportsBlock
from ..config.tasks import TaskBlock, TaskGroupBlock, TasksBlock
from ..config.version_pinning import PinsBlock, RecordsBlock, ReleaseBlock, check_pinning
from ..load_reports.host_load import ReportCounts
from ..load_reports.load_shedding import SheddingCounts

PEER_FAULTS = (
    "peer_cut",
    "peer_loss",
    "peer_slow",
    "peer_repeat",
    "steward_stop",
    "steward_restart",
    "steward_grow",
    "steward_shrink",
)
KINDS = (
    "crash",
    "deploy",
    "drain",
    "preempt",
    "shrink",
    "grow",
    "hang",
    "slow",
    "neighbour",
    "pauses",
    "hot_key",
    "heavy_tail",
    "counter_down",
    "zone_cut",
    "zone_loss",
    "one_sided",
    "slow_link",
    "answer_lost",
    "balancer_roll",
    "balancer_stall",
    "wrong_list",
    "give_up",
    "steward_kill",
    "roster_down",
    "store_down",
    "upgrade",
    "release",
    "upgrade_hosts",
    "report_flood",
    "report_stale",
    "report_silent",
    "report_lying",
    "report_skew",
    "report_loss",
    *PEER_FAULTS,
)
REPORT_FAULTS = tuple(kind for kind in KINDS if kind.startswith("report_"))
REPORT_ENDS = {"forged", *SheddingCounts().by_name(), *ReportCounts().by_name()}


class HostKind(Block):
    share: Annotated[float, Field(gt=0)] = 1.0
    cores: Count = 4
    speed: Annotated[float, Field(gt=0)] = 1.0
    waiting_room: Count = 64
    warm_gain: Annotated[float, Field(ge=0, lt=1)] = 0.0


class Fleet(Block):
    """Sizes of the fleet. `slice_cv` and `stream_cv`: variation of load between slices and between proxies."""

    hosts: Count
    forwarders: Annotated[int, Field(ge=1, le=4096)]
    slices: Annotated[int, Field(ge=1, le=65_534)]
    slice_cv: Annotated[float, Field(ge=0, le=5)] = 0.5
    stream_cv: Annotated[float, Field(ge=0, le=5)] = 0.8
    transit_ms: NonNegativeMs = 0.0
    sums_late_ms: NonNegativeMs = 0.0


class OperationTraffic(OperationBlock):
    """A request class: its settings for the controller, its share of the traffic and its work (mean ms, variation)."""

    share: Annotated[float, Field(gt=0, le=1)]
    work_ms: PositiveMs
    cv: Annotated[float, Field(ge=0, le=5)] = 0.5


class TrafficBlock(Block):
    per_s: Annotated[float, Field(gt=0, le=1e5)]
    retries: Annotated[int, Field(ge=0, le=10)] = 2
    try_share: Annotated[float, Field(gt=0, le=1)] = 0.8
    backoff_ms: PositiveMs = 100.0


class RosterTraffic(Block):
    mode: Literal["pushed", "on_request"] = "pushed"
    notice_ms: NonNegativeMs = 500.0  # delay of removals
    add_ms: NonNegativeMs = 200.0  # delay of additions


class LoadReportsTraffic(LoadReportsBlock):
    """The controller's block, and how the stand-in hosts send load reports."""

    listen: str = "127.0.0.1:0"
    processes: Annotated[int, Field(ge=1, le=4096)] = 1
    every_ms: PositiveMs = 500.0
    echo: bool = True
    signed: bool = False
    form: Literal["protobuf", "json", "stream"] = "protobuf"


HOST_REPORT_FIELDS = ("processes", "every_ms", "echo", "signed", "form")


class RunsTraffic(Block):
    """Clients whose requests form workflow runs. steps: request classes in order; twice: share of repeated steps."""

    per_s: Annotated[float, Field(gt=0, le=1e4)]
    steps: Annotated[list[str], Field(min_length=1, max_length=20)]
    gap_ms: NonNegativeMs = 300.0
    twice: Ratio = 0.2


class JobsTraffic(Block):
    """Clients that submit jobs of the request classes with `waits`.

    again: share submitted a second time through another proxy, after `again_ms`. runs: share of the jobs that belong to
    a workflow run. drain_s: how long the lab waits at the end for jobs that are still queued.
    """

    per_s: Annotated[float, Field(gt=0, le=1e4)]
    again: Ratio = 0.1
    again_ms: NonNegativeMs = 2000.0
    runs: Ratio = 0.0
    drain_s: Annotated[float, Field(ge=0, le=600)] = 10.0


class Fault(Block):
    """One injected fault; the label of the block is its kind.

    Times are seconds from the first request. part: share of the possible targets; on: numbers of the targets, in place
    of a share. The meaning of size, extra and how depends on the kind: see `docs/scenarios.md`.

    until: only for faults of load reports; outcomes of reports as the controller's metrics page names them. The fault
    continues beyond `for_s`, and the run beyond its `seconds`, until the present incarnation of the controller has
    counted reports of each outcome.
    """

    kind: str
    at_s: Annotated[float, Field(ge=0, le=3600)]
    for_s: Annotated[float, Field(ge=0, le=3600)] = 5.0
    part: Ratio = 0.2
    size: Annotated[float, Field(ge=0, le=1e6)] = 2.0
    extra: Annotated[float, Field(ge=0, le=1e6)] = 1.0
    how: str = ""
    on: list[int] = []
    until: list[str] = []

    @model_validator(mode="after")
    def check_names(self) -> Fault:
        if self.kind not in KINDS:
            raise ValueError(f"fault {self.kind!r} is not one of {', '.join(KINDS)}")
        if self.until and self.kind not in REPORT_FAULTS:
            raise ValueError(f"until is for {', '.join(REPORT_FAULTS)}, not for {self.kind}")
        if unknown := sorted(set(self.until) - REPORT_ENDS):
            raise ValueError(f"until: {', '.join(unknown)} is not one of {', '.join(sorted(REPORT_ENDS))}")
        return self


class Scenario(Block):
    """A fleet, its traffic, the settings of its controllers and proxies, and the faults to inject."""

    name: str
    seconds: Annotated[float, Field(gt=0, le=3600)]
    zones: Annotated[list[str], Field(min_length=1)] = ["all"]
    time_scale: Annotated[float, Field(gt=0, le=1)] = (
        1.0  # information only: the factor by which times were scaled down
    )
    publisher: str = "corallanding"
    stewards: Annotated[int, Field(ge=1, le=16)] = (
        1  # several controllers share the slices through the stand-in registry
    )
    lease_ms: Annotated[float, Field(ge=1000, le=600_000)] = 2000.0
    fleet: Fleet
    host: Annotated[dict[str, HostKind], Field(min_length=1)]
    operation: Annotated[dict[str, OperationTraffic], Field(min_length=1)]
    traffic: TrafficBlock
    roster: RosterTraffic = RosterTraffic()
    rules: RulesBlock = RulesBlock()
    channel: ChannelBlock = ChannelBlock()
    reports: ReportsBlock = ReportsBlock()
    forwarders: ForwardersBlock = ForwardersBlock()
    probe: HealthCheckBlock = HealthCheckBlock()
    load_reports: LoadReportsTraffic | None = None
    budget: dict[str, BudgetBlock] = {}
    budgets: BudgetsBlock = BudgetsBlock()  # stewards_most: the largest number of controllers during the run
    task: dict[str, TaskBlock] = {}
    task_group: dict[str, TaskGroupBlock] = {}
    tasks: TasksBlock = TasksBlock()
    release: dict[str, ReleaseBlock] = {}
    pins: PinsBlock | None = None
    waiting: WaitingBlock = WaitingBlock()
    records: RecordsBlock | None = None  # path is ignored: each controller has its own file
    runs: RunsTraffic | None = None
    jobs: JobsTraffic | None = None
    fault: list[Fault] = []

    @model_validator(mode="after")
    def check_references(self) -> Scenario:
        if self.numbers < self.stewards:
            raise ValueError("budgets.stewards_most is less than stewards")
        for name, budget in self.budget.items():
            budget.check(name, self.numbers)
        groups, lease_ms = self.task_group, self.tasks.lease_ms
        check_pinning(self.pins, self.release, self.operation, self.task, groups, lease_ms, self.records)
        if self.jobs and not any(o.waits for o in self.operation.values()):
            raise ValueError("jobs: no operation has waits")
        if self.runs and (unknown := sorted(set(self.runs.steps) - set(self.operation))):
            raise ValueError(f"runs.steps: no operation {unknown[0]!r}")
        for f in self.fault:
            if f.kind in PEER_FAULTS and (self.stewards < 2 or not self.peers):
                raise ValueError(f"fault {f.kind!r} needs several stewards and a budget or a task")
        return self

    @property
    def peers(self) -> bool:
        """Whether controllers exchange messages with each other."""
        return bool(self.budget or self.task or self.task_group)

    @property
    def numbers(self) -> int:
        """Return the largest number of controllers, including those that the fault `steward_grow` starts."""
        return self.budgets.stewards_most or self.stewards


def load_scenario(path: str | Path) -> Scenario:
    """Load a scenario file. Raises `ConfigError` if it is invalid."""
    return load(path, Scenario)
