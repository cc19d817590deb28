"""The interface of a running lab for faults and load reports, which therefore do not import the runner."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any, Protocol

from .clients import Clients
from .forwarder import Proxy
from .host import Host, HostSpec
from .hosts import Hosts
from .net import Net
from .processes import AdoptedProcess
from .roster import RegistryRoster, Roster
from .scenario import Scenario
from .trace import Trace
from .ways import PeerRelay


class Reports(Protocol):
    """The sender of load reports. report_modes: by host, how it reports while a fault applies."""

    report_modes: dict[int, Any]

    async def flood(self, hosts: list[int], times: float, seconds: float) -> None:
        """Send `times` the usual volume of reports, in the name of those hosts and of unknown ones."""


class Stage(ABC):
    """A running lab, as faults see it. A controller is given by its number `me`."""

    scenario: Scenario
    seed: int
    trace: Trace
    net: Net
    hosts: dict[int, Host]
    roster: Roster | RegistryRoster
    forwarders: list[Proxy]
    clients: Clients
    peer_relay: PeerRelay | None
    host_fleet: Hosts

    @abstractmethod
    def set_current_release(self, number: int) -> None:
        """Make release `number` current in the configuration of all controllers."""

    @property
    @abstractmethod
    def reports(self) -> Reports | None:
        """Return the sender of load reports, if the scenario has one."""

    @property
    @abstractmethod
    def running(self) -> Mapping[int, asyncio.subprocess.Process | AdoptedProcess]:
        """Return the controller processes started so far, by number."""

    @abstractmethod
    async def add_host(self, zone: int, spec: HostSpec, cold: bool = True, number: int | None = None) -> Host:
        """Start a new host and list it."""

    @abstractmethod
    async def bring_up(self, h: Host, cold: bool = True) -> None:
        """Start a host and list it as up."""

    @abstractmethod
    def registry(self, h: Host, state: str, late: float | None = None) -> None:
        """Change a host's state in the host list, `late` ms from now; None: after the scenario's delay."""

    @abstractmethod
    async def start_steward(self, me: int = 0) -> None:
        """Start a controller and wait until it is ready."""

    @abstractmethod
    async def kill_steward(self, me: int = 0) -> bool:
        """Kill a controller; return False if it was not running."""

    @abstractmethod
    async def end_steward(self, me: int) -> None:
        """Shut a controller down gracefully."""

    @abstractmethod
    async def freeze_steward(self, seconds: float, me: int = 0) -> None:
        """Suspend a controller for some seconds."""

    @abstractmethod
    async def upgrade_steward(self) -> None:
        """Hand the controller over to a new process."""

    @abstractmethod
    async def hold_store(self, seconds: float) -> None:
        """Make writes to the store fail for some seconds."""

    @abstractmethod
    def reports_counted(self, ends: list[str]) -> bool:
        """Return whether the present incarnation of the controller has counted load reports of each outcome."""

    @abstractmethod
    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine as a task of the run."""
