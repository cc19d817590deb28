"""What a running lab shows to those that act on it: faults, and reports of load. So that neither knows the runner."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any, Protocol

from .clients import Clients
from .forwarder import Forwarder
from .host import Host, HostSpec
from .hosts import Hosts
from .net import Net
from .processes import Successor
from .roster import RegistryRoster, Roster
from .scenario import Scenario
from .trace import Trace
from .ways import Ways


class Reports(Protocol):
    ways: dict[int, Any]

    async def flood(self, hosts: list[int], times: float, seconds: float) -> None: ...


class Stage(ABC):
    scenario: Scenario
    seed: int
    trace: Trace
    net: Net
    hosts: dict[int, Host]
    roster: Roster | RegistryRoster
    forwarders: list[Forwarder]
    clients: Clients
    ways: Ways | None
    kept: Hosts

    @abstractmethod
    def want(self, number: int) -> None:
        """That set is to be current at all stewards."""

    @property
    @abstractmethod
    def reports(self) -> Reports | None: ...

    @property
    @abstractmethod
    def running(self) -> Mapping[int, asyncio.subprocess.Process | Successor]: ...

    @abstractmethod
    async def add_host(self, zone: int, spec: HostSpec, cold: bool = True, number: int | None = None) -> Host: ...

    @abstractmethod
    async def bring_up(self, h: Host, cold: bool = True) -> None: ...

    @abstractmethod
    def registry(self, h: Host, state: str, late: float | None = None) -> None: ...

    @abstractmethod
    async def start_steward(self, me: int = 0) -> None: ...

    @abstractmethod
    async def kill_steward(self, me: int = 0) -> bool: ...

    @abstractmethod
    async def end_steward(self, me: int) -> None: ...

    @abstractmethod
    async def freeze_steward(self, seconds: float, me: int = 0) -> None: ...

    @abstractmethod
    async def upgrade_steward(self) -> None: ...

    @abstractmethod
    async def hold_store(self, seconds: float) -> None: ...

    @abstractmethod
    def reports_counted(self, ends: list[str]) -> bool:
        """Whether the steward's present life has counted some load reports of each end."""

    @abstractmethod
    def spawn(self, work: Any) -> asyncio.Task[Any]: ...
