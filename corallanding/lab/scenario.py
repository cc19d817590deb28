"""Scenarios: a fleet, its traffic and its faults, in HCL. Every fault of the vocabulary stands here once."""

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
    hosts: Count
    forwarders: Annotated[int, Field(ge=1, le=4096)]
    slices: Annotated[int, Field(ge=1, le=65_534)]
    slice_cv: Annotated[float, Field(ge=0, le=5)] = 0.5
    stream_cv: Annotated[float, Field(ge=0, le=5)] = 0.8
    transit_ms: NonNegativeMs = 0.0
    sums_late_ms: NonNegativeMs = 0.0


class OperationTraffic(OperationBlock):
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
    notice_ms: NonNegativeMs = 500.0
    add_ms: NonNegativeMs = 200.0


class LoadReportsTraffic(LoadReportsBlock):
    """The steward's block, and how the stand-in hosts report."""

    listen: str = "127.0.0.1:0"
    processes: Annotated[int, Field(ge=1, le=4096)] = 1
    every_ms: PositiveMs = 500.0
    echo: bool = True
    signed: bool = False
    form: Literal["protobuf", "json", "stream"] = "protobuf"


SENDING = ("processes", "every_ms", "echo", "signed", "form")


class RunsTraffic(Block):
    """Clients whose invocations form runs. steps: names of operations."""

    per_s: Annotated[float, Field(gt=0, le=1e4)]
    steps: Annotated[list[str], Field(min_length=1, max_length=20)]
    gap_ms: NonNegativeMs = 300.0
    twice: Ratio = 0.2


class JobsTraffic(Block):
    """Clients whose work may wait: of the operations with `waits`. again: share brought again by another forwarder.
    runs: share of the jobs that belong to a run. drain_s: that the lab waits for those that still wait at the end."""

    per_s: Annotated[float, Field(gt=0, le=1e4)]
    again: Ratio = 0.1
    again_ms: NonNegativeMs = 2000.0
    runs: Ratio = 0.0
    drain_s: Annotated[float, Field(ge=0, le=600)] = 10.0


class Fault(Block):
    """kind is the label. Times in seconds from the first arrival; part: share of what it strikes; size, extra and
    how as the vocabulary in `docs/scenarios.md` says; on: numbers instead of a part; steps: stop and start.

    until: only for faults of load reports. Ends of reports, as the steward's metrics page names them: the fault
    outlasts `for_s`, and the run its `seconds`, until the steward's last life has counted some of each."""

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
    def known(self) -> Fault:
        if self.kind not in KINDS:
            raise ValueError(f"fault {self.kind!r} is not one of {', '.join(KINDS)}")
        if self.until and self.kind not in REPORT_FAULTS:
            raise ValueError(f"until is for {', '.join(REPORT_FAULTS)}, not for {self.kind}")
        if unknown := sorted(set(self.until) - REPORT_ENDS):
            raise ValueError(f"until: {', '.join(unknown)} is not one of {', '.join(sorted(REPORT_ENDS))}")
        return self


class Scenario(Block):
    name: str
    seconds: Annotated[float, Field(gt=0, le=3600)]
    zones: Annotated[list[str], Field(min_length=1)] = ["all"]
    time_scale: Annotated[float, Field(gt=0, le=1)] = 1.0  # told only: by how much times were scaled down
    publisher: str = "corallanding"
    stewards: Annotated[int, Field(ge=1, le=16)] = 1  # more than one share slices through the stand-in registry
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
    budgets: BudgetsBlock = BudgetsBlock()  # stewards_most: how many there may ever be
    task: dict[str, TaskBlock] = {}
    task_group: dict[str, TaskGroupBlock] = {}
    tasks: TasksBlock = TasksBlock()
    release: dict[str, ReleaseBlock] = {}
    pins: PinsBlock | None = None
    waiting: WaitingBlock = WaitingBlock()
    records: RecordsBlock | None = None  # path: each steward has a file of its own, whatever stands here
    runs: RunsTraffic | None = None
    jobs: JobsTraffic | None = None
    fault: list[Fault] = []

    @model_validator(mode="after")
    def peered(self) -> Scenario:
        if self.numbers < self.stewards:
            raise ValueError("budgets.stewards_most is less than stewards")
        for name, one in self.budget.items():
            one.check(name, self.numbers)
        groups, lease = self.task_group, self.tasks.lease_ms
        check_pinning(self.pins, self.release, self.operation, self.task, groups, lease, self.records)
        if self.jobs and not any(o.waits for o in self.operation.values()):
            raise ValueError("jobs: no operation waits")
        if self.runs and (strange := sorted(set(self.runs.steps) - set(self.operation))):
            raise ValueError(f"runs.steps: no operation {strange[0]!r}")
        for f in self.fault:
            if f.kind in PEER_FAULTS and (self.stewards < 2 or not self.peers):
                raise ValueError(f"fault {f.kind!r} needs stewards that know each other: several, and a budget or task")
        return self

    @property
    def peers(self) -> bool:
        """Whether stewards know each other."""
        return bool(self.budget or self.task or self.task_group)

    @property
    def numbers(self) -> int:
        """Stewards that there may be, those that `steward_grow` starts among them."""
        return self.budgets.stewards_most or self.stewards


def load_scenario(path: str | Path) -> Scenario:
    return load(path, Scenario)
