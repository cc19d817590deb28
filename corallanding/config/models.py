"""The configuration of a controller: every setting has a key here, a unit and a check."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import Field, model_validator

from .blocks import Block
from .hcl import load
from .quota import BudgetBlock, BudgetsBlock
from .scheduling import JOBS, WaitingBlock
from .site import (
    AdminBlock,
    ChannelBlock,
    ControllerBlock,
    ForwardersBlock,
    LogBlock,
    OperationBlock,
    PricesBlock,
    RecordBlock,
    ReportsBlock,
    RulesBlock,
    SlicesBlock,
    StoreBlock,
)
from .sources import HealthCheckBlock, HostListBlock, LoadReportsBlock, RegistryBlock
from .tasks import MAX_TASKS, TaskBlock, TaskGroupBlock, TasksBlock
from .version_pinning import PinsBlock, RecordsBlock, ReleaseBlock, check_pinning

ONLY_ZONE = "all"  # name of the zone if none are configured


class ControllerConfig(Block):
    """A controller's configuration file. The fields are its top-level keys."""

    steward: ControllerBlock
    store: StoreBlock
    roster: HostListBlock = HostListBlock()
    registry: RegistryBlock | None = None
    slices: SlicesBlock
    operation: Annotated[dict[str, OperationBlock], Field(min_length=1, max_length=30)]
    zones: Annotated[list[str], Field(min_length=1, max_length=65535)] = Field(default_factory=lambda: [ONLY_ZONE])
    rules: RulesBlock = RulesBlock()
    channel: ChannelBlock = ChannelBlock()
    reports: ReportsBlock = ReportsBlock()
    forwarders: ForwardersBlock = ForwardersBlock()
    probe: HealthCheckBlock = HealthCheckBlock()
    door: AdminBlock | None = None
    log: LogBlock = LogBlock()
    record: RecordBlock = RecordBlock()
    prices: PricesBlock = PricesBlock()
    load_reports: LoadReportsBlock | None = None
    budget: dict[str, BudgetBlock] = Field(default_factory=dict)
    budgets: BudgetsBlock = BudgetsBlock()
    task: dict[str, TaskBlock] = Field(default_factory=dict)
    task_group: dict[str, TaskGroupBlock] = Field(default_factory=dict)
    tasks: TasksBlock = TasksBlock()
    release: dict[str, ReleaseBlock] = Field(default_factory=dict)
    pins: PinsBlock | None = None
    waiting: WaitingBlock = WaitingBlock()
    records: RecordsBlock | None = None

    @model_validator(mode="after")
    def check_shared_work(self) -> ControllerConfig:
        """Check the blocks of work that controllers share. Raises ValueError with a text that begins with the key."""
        for name, budget in self.budget.items():
            budget.check(name, self.max_controllers)
        self._check_tasks()
        self._check_records()
        queueing = [name for name, operation in self.operation.items() if operation.waits]
        self.waiting.check(queueing, self.budget, self.task_group, has_records=bool(self.records))
        if self.budget or self.task or self.task_group:
            self._check_peers("budget" if self.budget else "task")
        return self

    def _check_tasks(self) -> None:
        for name, task in [*self.task.items(), *self.task_group.items()]:
            self.tasks.check(name, task, self.budgets.drift)
        if duplicates := sorted(self.task.keys() & self.task_group.keys()):
            raise ValueError(f"task_group.{duplicates[0]}: a task has the same name")
        if sum(group.count for group in self.task_group.values()) + len(self.task) > MAX_TASKS:
            raise ValueError(f"task_group: more than {MAX_TASKS} tasks in all")

    def _check_records(self) -> None:
        """Check the settings of pinned runs, and that a records block is used."""
        groups, lease_ms = self.task_group, self.tasks.lease_ms
        check_pinning(self.pins, self.release, self.operation, self.task, groups, lease_ms, self.records)
        if self.records and not self.pins and JOBS not in groups:
            raise ValueError(f'records: the block is unused: there is neither pins nor task_group "{JOBS}"')

    def _check_peers(self, block: str) -> None:
        """Check that controllers can reach and number each other. block: the one that needs it."""
        number = self.steward.number
        peers = {int(peer) for peer in self.steward.peers if peer.isdigit()}
        if self.max_controllers > 1 and not (self.steward.peers and self.steward.peer_listen):
            raise ValueError(f"{block}: with more than one steward it needs steward.peer_listen and steward.peers")
        if self.budgets.office == "registry" and (self.registry is None or self.registry.kind != "etcd"):
            raise ValueError("budgets.office: an election by the registry needs a registry block of kind etcd")
        if len(peers) < len(self.steward.peers) or number in peers:
            raise ValueError("steward.peers: keys must be numbers of other stewards")
        if max([number, *peers]) >= self.max_controllers:
            raise ValueError(f"budgets.stewards_most is {self.max_controllers}: all steward numbers must be below that")
        if unknown := sorted(set(self.budgets.voters) - {number, *peers}):
            raise ValueError(f"budgets.voters: {unknown} are neither this steward nor peers")

    @property
    def max_controllers(self) -> int:
        """Maximum number of controllers."""
        return self.budgets.stewards_most or self.steward.stewards

    @model_validator(mode="after")
    def check_site(self) -> ControllerConfig:
        """Check the blocks of one site against each other. Raises ValueError with a text that begins with the key."""
        if self.steward.zone is not None and self.steward.zone not in self.zones:
            raise ValueError(f"steward.zone {self.steward.zone!r} is not one of zones")
        if self.steward.number >= self.steward.stewards:
            raise ValueError("steward.number must be below steward.stewards")
        if self.store.snapshot_path and self.registry and self.registry.charge:
            raise ValueError(
                "store.snapshot_path: cannot be used with registry.charge, where slices move between stewards"
            )
        if (self.roster.address is None) == (self.registry is None):
            raise ValueError("roster.address or a registry block must be set, but not both")
        if self.registry and self.roster.mode != "pushed":
            raise ValueError("roster.mode must be pushed where a registry block is set")
        # One message with two table entries of every slice must fit for each proxy, or a start cannot be published.
        min_lines = (self.channel.head_lines * 2 + 4) * self.forwarders.count
        if self.channel.queue_most_lines < min_lines:
            need = f"({min_lines:g} needed)"
            raise ValueError(f"channel.queue_most_lines is too low for one message to each forwarder {need}")
        return self


def load_controller(path: str | Path) -> ControllerConfig:
    """Read a controller's configuration file. Raises `ConfigError`."""
    return load(path, ControllerConfig)
