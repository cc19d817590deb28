"""Runs one scenario in simulated time: the lab's stand-ins and the daemon on `loop.SimLoop`, with the lab's audit."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING, Any

import numpy as np

from ... import interface as api
from ...assignment import Assigner
from ...config import ConfigError, ControllerConfig, load_controller
from ...controller.event_inbox import Decider
from ...telemetry import configure
from .. import trace
from ..clients import OperationSpec, Traffic
from ..publishers import PUBLISHERS
from ..reporter import Reporter, flooding
from ..runner import Lab
from ..scenario import LoadReportsTraffic, Scenario
from ..scenario_text import steward_hcl
from .loop import DEFAULT_LATENCY_S, SimLoop, run
from .machine import Machine
from .recorded import RecordedDay, generate_arrivals
from .steward import InMemoryStore, SimController

if TYPE_CHECKING:
    from .registry import LocalRegistry

# Kinds of fault that cannot be emulated, with the reason.
NOT_EMULATED = {"upgrade": "two processes share sockets"}


class NotEmulatedError(Exception):
    """A scenario needs a feature that the emulator lacks."""


def check_emulated(scenario: Scenario) -> None:
    """Raise `NotEmulatedError` if the scenario cannot be emulated."""
    if scenario.task or scenario.task_group:
        raise NotEmulatedError("tasks of the fleet")
    for fault in scenario.fault:
        if fault.kind in NOT_EMULATED:
            raise NotEmulatedError(f"fault {fault.kind!r}: {NOT_EMULATED[fault.kind]}")


@lru_cache(maxsize=64)
def controller_config_for(scenario_json: str) -> ControllerConfig:
    """Return the configuration that the lab would write for the scenario, which is given as JSON.

    Cached, because parsing takes as long as the emulation of a short scenario.
    """
    scenario = Scenario.model_validate_json(scenario_json)
    with TemporaryDirectory() as folder:
        path = Path(folder) / "steward.hcl"
        listen, door, roster, load_reports = [f"127.0.0.1:{n}" for n in (1, 2, 3, 4)]
        path.write_text(steward_hcl(scenario, listen, door, roster, f"{folder}/store.db", 1, False, load_reports))
        return load_controller(path)


class FleetLab(Lab):
    """The lab with simulated controllers in place of processes.

    `config` replaces the configuration that the lab would write; its addresses are not used.
    """

    def __init__(
        self,
        loop: SimLoop,
        scenario: Scenario,
        seed: int,
        config: ControllerConfig | None = None,
        decider: Callable[[api.Settings, int], Decider] = Assigner,
        record: str | None = None,
        recorded: RecordedDay | None = None,
        out: Path = Path("."),
    ) -> None:
        """`recorded` replaces the scenario's hosts, arrivals and faults; `out` is the folder of the reports' key."""
        if scenario.budget or scenario.pins:
            raise ConfigError(f"{scenario.name}: budgets and runs are not emulated; use `lab run`")
        self.loop, self.recorded = loop, recorded
        super().__init__(scenario, out, seed)
        self.base_config = config or controller_config_for(scenario.model_dump_json())
        self.decider = decider
        self.record = record
        self.stores = [InMemoryStore() for _ in range(scenario.stewards)]
        self.machines = [Machine() for _ in range(scenario.stewards)]
        self.stewards: dict[int, SimController] = {}
        self.configs: list[ControllerConfig] = []
        self.local_registry: LocalRegistry | None = None
        if scenario.stewards > 1:
            from .registry import LocalRoster

            shared = LocalRoster(self.trace, loop)
            self.roster, self.local_registry = shared, shared.local

    async def first_hosts(self) -> None:
        """Start the hosts of the recording, or of the scenario."""
        if self.recorded is None:
            await super().first_hosts()
            return
        for entry in self.recorded.initial_hosts:
            host = await self.add_host(entry.zone, self.spec(self.host_kind(entry.kind)), cold=False, number=entry.host)
            if entry.state == "draining":
                self.registry(host, "draining", 0.0)

    def host_kind(self, number: int) -> int:
        """Return the index of a recorded host kind in the scenario, limited to the kinds that it has."""
        return min(number, len(self.scenario.host) - 1)

    def arrivals(self, rates: np.ndarray, slices: np.ndarray, operations: list[OperationSpec]) -> Traffic:
        """Return the arrivals of the recording, or of the scenario."""
        if self.recorded is None:
            return super().arrivals(rates, slices, operations)
        return generate_arrivals(self.recorded, self.seed, operations)

    def begin_faults(self) -> list[asyncio.Task[Any]]:
        """Start the scenario's faults and the recorded changes of hosts."""
        awaited = super().begin_faults()
        if self.recorded:
            self.spawn(self.replay_host_changes(self.recorded))
        return awaited

    async def replay_host_changes(self, day: RecordedDay) -> None:
        """Apply the recorded changes of hosts at their times."""
        for change in day.host_changes:
            await asyncio.sleep(max(0.0, self.begun + change.at_ms - trace.clock()) / 1000.0)
            host = self.hosts.get(change.host)
            match change.what:
                case "up" if host is None:
                    await self.add_host(change.zone, self.spec(self.host_kind(change.kind)), number=change.host)
                case "up" if host:
                    await self.bring_up(host)
                case "draining" if host:
                    self.registry(host, "draining")
                case "gone" if host:
                    host.draining = True
                    host.kill()
                    self.registry(host, "removed", 0.0)
                case "dead" if host:
                    host.kill()
                    self.registry(host, "removed")
                case "slow" if host:
                    host.slowness = change.slowness

    def new_port(self) -> int:
        """Return an unused port number of the simulated network."""
        return self.loop.new_port()

    def prepare(self) -> None:
        """Do nothing: the emulator writes no files."""

    def configure(self, reports_key: str) -> None:
        """Build each controller's configuration; `reports_key` is the file of the load reports' key, or empty."""
        self.configs = [self.config_for(me, reports_key) for me in range(self.scenario.stewards)]

    def config_for(self, number: int, reports_key: str) -> ControllerConfig:
        """Return the configuration of one controller."""
        scenario, base = self.scenario, self.base_config
        steward = {
            "listen": f"127.0.0.1:{self.ports[number]}",
            "seed": self.seed,
            "zone": scenario.zones[0],
            "control": None,
            "peer_listen": None,
            "number": number,
            "stewards": scenario.stewards,
        }
        roster, registry, load_reports = base.roster, None, None
        if scenario.stewards > 1:
            registry = base.registry
        else:
            address = f"127.0.0.1:{self.roster.port}"
            roster = roster.model_copy(update={"address": address, "mode": scenario.roster.mode})
        if scenario.load_reports and base.load_reports:
            listen = f"127.0.0.1:{self.reports_port}"
            load_reports = base.load_reports.model_copy(update={"listen": listen, "key_file": reports_key or None})
        return base.model_copy(
            update={
                "steward": base.steward.model_copy(update=steward),
                "roster": roster,
                "registry": registry,
                "store": base.store.model_copy(update={"snapshot_path": None}),
                "door": None,
                "load_reports": load_reports,
                "zones": scenario.zones,
            }
        )

    def make_reporter(self, conf: LoadReportsTraffic, key: bytes) -> Reporter:
        """Return a reporter that sends over the simulated network."""
        return SimReporter(self, conf, self.reports_port, key)

    async def start_steward(self, me: int = 0) -> None:
        """Start a controller and wait until it is ready. Raises `RuntimeError` if it exits before."""
        self.lives += 1
        self.life[me] = self.life.get(me, 0) + 1
        self.machines[me] = machine = Machine()
        record = None
        if self.record:
            record = f"{self.record}{me if self.scenario.stewards > 1 else ''}-{self.life[me]}.rec"
        steward = SimController(self.loop, self.configs[me], self.decider, self.stores[me], record, self.local_registry)
        self.stewards[me] = steward
        task = machine.start(self.loop, steward.run_until_stopped())
        while not steward.context.lifecycle.is_ready:
            await asyncio.sleep(0.01)
            if task.done():
                raise RuntimeError(f"the controller did not start: {task.exception()!r}")

    async def kill_steward(self, me: int = 0) -> bool:
        """Kill a controller; return whether it was running."""
        alive = self.machines[me].alive
        self.machines[me].kill()
        return alive

    async def freeze_steward(self, seconds: float, me: int = 0) -> None:
        """Suspend a running controller for some seconds."""
        if (machine := self.machines[me]).alive:
            machine.freeze(True)
            await asyncio.sleep(seconds)
            machine.freeze(False)

    async def hold_store(self, seconds: float) -> None:
        """Let writes to the first controller's store fail for some seconds."""
        self.stores[0].is_down = True
        await asyncio.sleep(seconds)
        self.stores[0].is_down = False

    async def poll(self) -> None:
        """Sample the first controller every 250 ms."""
        while True:
            await asyncio.sleep(0.25)
            if self.machines[0].alive:
                steward = self.stewards[0]
                sample = {"t": (trace.clock() - self.begun) / 1000.0, "waiting": float(steward.channel.queued_lines)}
                sample["life"] = self.polled_life()
                if feed := steward.load_weights.feed:
                    sample |= {**feed.intake_counts, **feed.estimator.counts.by_name()}
                    sample["load_factors_below_one"] = float(len(steward.load_weights.factors))
                self.polls.append(sample)

    async def laid(self) -> dict[int, set[int]]:
        """Return the hosts of each slice, as its owner published them."""
        hosts_by_slice: dict[int, set[int]] = {}
        for me, steward in self.stewards.items():
            if self.machines[me].alive:
                tables = steward.engine.published.tables
                hosts_by_slice |= {slice_id: set(tables.get(slice_id, {})) for slice_id in steward.engine.owned_slices}
        return hosts_by_slice

    async def end_stewards(self) -> None:
        """Kill all controllers."""
        for machine in self.machines:
            machine.kill()

    def keep(self, result: dict[str, Any]) -> None:
        """Do nothing: the caller gets the result from `emulate`."""


class SimReporter(Reporter):
    """Sends load reports over simulated datagrams."""

    async def flood(self, hosts: list[int], times: float, seconds: float) -> None:
        """Send the flood in batches every two milliseconds, as the separate process does on sockets."""
        packets_per_s = len(self.lab.hosts) * self.conf.processes * 1000.0 / self.conf.every_ms * times
        packets = flooding({number: round(self.lab.hosts[number].started) for number in hosts}, self.key)
        next(packets)
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=self.where
        )
        begun_ms, sent = trace.clock(), 0
        while (spent_ms := trace.clock() - begun_ms) < seconds * 1000.0:
            for _ in range(int(packets_per_s * spent_ms / 1000.0) - sent):
                transport.sendto(packets.send((spent_ms, trace.wall())))
                sent += 1
            await asyncio.sleep(0.002)
        transport.close()


@dataclass
class EmulationResult:
    """Outcome of one emulated run."""

    result: dict[str, Any]  # as `result.json` of the lab
    records: list[tuple[Any, ...]]  # as `trace.jsonl.gz`
    begun_ms: float  # start of the traffic on the lab's clock
    polls: list[dict[str, float]]  # samples of the first controller
    events: int  # callbacks that the loop ran
    elapsed_s: float  # real time
    simulated_s: float  # simulated time


def emulate(
    scenario: Scenario,
    seed: int,
    config: ControllerConfig | None = None,
    decider: Callable[[api.Settings, int], Decider] | None = None,
    record: str | None = None,
    latency_s: float = DEFAULT_LATENCY_S,
    recorded: RecordedDay | None = None,
) -> EmulationResult:
    """Run the scenario; the same arguments give the same result and records. Raises `NotEmulatedError`.

    `record` is a path prefix for the controllers' recordings; `latency_s` is one way of every stream.
    """
    check_emulated(scenario)
    configure("json", "critical")

    async def work(loop: SimLoop) -> EmulationResult:
        trace.use(loop.time, loop.time)
        decider_type = decider or PUBLISHERS[scenario.publisher]
        lab = FleetLab(loop, scenario, seed, config, decider_type, record, recorded, Path(folder.name))
        simulated_start = loop.now
        result = await lab.run()
        elapsed_s = time.perf_counter() - started
        return EmulationResult(
            result, lab.trace.records, lab.begun, lab.polls, loop.events, elapsed_s, loop.now - simulated_start
        )

    started = time.perf_counter()
    folder = TemporaryDirectory(prefix="corallanding-")
    try:
        return run(work, latency_s)
    finally:
        trace.use()
        folder.cleanup()
