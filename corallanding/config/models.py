"""The steward's configuration: every setting that the module reads has a key here, a unit and a check."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import Field, model_validator

from .blocks import Block
from .hcl import load
from .quota import BudgetBlock, BudgetsBlock
from .scheduling import JOBS, WaitingBlock
from .scheduling import fault as scheduling_error
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
from .tasks import WHOLE, TaskBlock, TaskGroupBlock, TasksBlock
from .version_pinning import PinsBlock, RecordsBlock, ReleaseBlock
from .version_pinning import fault as pinning_error


class ControllerConfig(Block):
    steward: ControllerBlock
    store: StoreBlock
    roster: HostListBlock = HostListBlock()
    registry: RegistryBlock | None = None
    slices: SlicesBlock
    operation: Annotated[dict[str, OperationBlock], Field(min_length=1, max_length=30)]
    zones: Annotated[list[str], Field(min_length=1, max_length=65535)] = ["all"]
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
    budget: dict[str, BudgetBlock] = {}
    budgets: BudgetsBlock = BudgetsBlock()
    task: dict[str, TaskBlock] = {}
    task_group: dict[str, TaskGroupBlock] = {}
    tasks: TasksBlock = TasksBlock()
    release: dict[str, ReleaseBlock] = {}
    pins: PinsBlock | None = None
    waiting: WaitingBlock = WaitingBlock()
    records: RecordsBlock | None = None

    @model_validator(mode="after")
    def shared(self) -> ControllerConfig:
        me, peers = self.steward.number, {int(n) for n in self.steward.peers if n.isdigit()}
        for name, one in self.budget.items():
            if fault := one.fault(name, self.stewards_most):
                raise ValueError(fault)
        for name, task in [*self.task.items(), *self.task_group.items()]:
            if fault := self.tasks.fault(name, task, self.budgets.drift):
                raise ValueError(fault)
        if twice := sorted(self.task.keys() & self.task_group.keys()):
            raise ValueError(f"task_group.{twice[0]}: there is a task of that name")
        if sum(g.count for g in self.task_group.values()) + len(self.task) > WHOLE:
            raise ValueError(f"task_group: more than {WHOLE} tasks in all")
        groups, lease = self.task_group, self.tasks.lease_ms
        if fault := pinning_error(self.pins, self.release, self.operation, self.task, groups, lease, self.records):
            raise ValueError(fault)
        if self.records and not self.pins and JOBS not in groups:
            raise ValueError(f'records: nothing rests on it: neither pins nor task_group "{JOBS}"')
        waits, w = [n for n, o in self.operation.items() if o.waits], self.waiting
        if fault := scheduling_error(waits, self.budget, groups, bool(self.records), w.stale_ms, w.tell_ms):
            raise ValueError(fault)
        what = "budget" if self.budget else "task" if self.task or self.task_group else ""
        if not what:
            return self
        if self.stewards_most > 1 and not (self.steward.peers and self.steward.peer_listen):
            raise ValueError(f"{what}: with more than one steward it needs steward.peer_listen and steward.peers")
        if self.budgets.office == "registry" and (self.registry is None or self.registry.kind != "etcd"):
            raise ValueError("budgets.office: by the registry it needs a registry block of kind etcd")
        if len(peers) < len(self.steward.peers) or me in peers:
            raise ValueError("steward.peers: keys must be numbers of other stewards")
        if max([me, *peers]) >= self.stewards_most:
            raise ValueError(f"budgets.stewards_most is {self.stewards_most}: all numbers must be below")
        if strange := sorted(set(self.budgets.voters) - {me, *peers}):
            raise ValueError(f"budgets.voters: {strange} are neither this steward nor peers")
        return self

    @property
    def stewards_most(self) -> int:
        return self.budgets.stewards_most or self.steward.stewards

    @model_validator(mode="after")
    def whole(self) -> ControllerConfig:
        if self.steward.zone is not None and self.steward.zone not in self.zones:
            raise ValueError(f"steward.zone {self.steward.zone!r} is not one of zones")
        if self.steward.number >= self.steward.stewards:
            raise ValueError("steward.number must be below steward.stewards")
        if self.store.snapshot_path and self.registry and self.registry.charge:
            raise ValueError("store.snapshot_path: with registry.charge slices move between stewards; not both")
        if (self.roster.address is None) == (self.registry is None):
            raise ValueError("roster.address or a registry block must stand, and not both")
        if self.registry and self.roster.mode != "pushed":
            raise ValueError("roster.mode is pushed where a registry is followed")
        # One message with every slice's two lines must fit for each forwarder, or a start cannot be published.
        least = self.channel.head_lines * 2 + 4
        if self.channel.queue_most_lines < least * self.forwarders.count:
            need = least * self.forwarders.count
            raise ValueError(f"channel.queue_most_lines holds no message for each forwarder ({need:g} needed)")
        return self


def load_controller(path: str | Path) -> ControllerConfig:
    """A steward's configuration file. Raises `ConfigError`."""
    return load(path, ControllerConfig)
