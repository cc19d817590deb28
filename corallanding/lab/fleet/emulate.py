"""One day in simulated time: the lab's stand-ins around the daemon, on `loop.SimLoop`, judged by the same audit."""

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
from .loop import LATENCY, Machine, SimLoop, run
from .recorded import RecordedDay, generate_arrivals
from .steward import InMemoryStore, SimController

if TYPE_CHECKING:
    from .registry import LocalRegistry

NOT_EMULATED = {"upgrade": "two processes share sockets there"}


class NotEmulatedError(Exception):
    """What a scenario asks for and the emulator does not have."""


def check_emulated(s: Scenario) -> None:
    """Raises `NotEmulated`."""
    if s.task or s.task_group:
        raise NotEmulatedError("tasks of the fleet")
    for f in s.fault:
        if f.kind in NOT_EMULATED:
            raise NotEmulatedError(f"fault {f.kind!r}: {NOT_EMULATED[f.kind]}")


@lru_cache(maxsize=64)
def controller_config_for(scenario: str) -> ControllerConfig:
    """The configuration that the lab would write for the scenario (as JSON). Parsing takes as long as a short day."""
    s = Scenario.model_validate_json(scenario)
    with TemporaryDirectory() as folder:
        path = Path(folder) / "steward.hcl"
        listen, door, roster, reports = [f"127.0.0.1:{n}" for n in (1, 2, 3, 4)]
        path.write_text(steward_hcl(s, listen, door, roster, f"{folder}/store.db", 1, False, reports))
        return load_controller(path)


class FleetLab(Lab):
    """config: the steward's, where it is not what the lab would write; addresses in it do not matter."""

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
        """recorded: a day in place of the scenario's hosts, arrivals and faults. out: a folder for the key of load
        reports, if there are any."""
        if scenario.budget or scenario.pins:
            raise ConfigError(f"{scenario.name}: budgets and runs are played by processes: `lab run`")
        self.loop, self.recorded = loop, recorded
        super().__init__(scenario, out, seed)
        self.base, self.decider, self.record = (
            config or controller_config_for(scenario.model_dump_json()),
            decider,
            record,
        )
        self.memories = [InMemoryStore() for _ in range(scenario.stewards)]
        self.machines = [Machine() for _ in range(scenario.stewards)]
        self.stewards: dict[int, SimController] = {}
        self.configs: list[ControllerConfig] = []
        self.registered: LocalRegistry | None = None
        if scenario.stewards > 1:
            from .registry import LocalRoster

            shared = LocalRoster(self.trace, loop)
            self.roster, self.registered = shared, shared.local

    async def first_hosts(self) -> None:
        if self.recorded is None:
            await super().first_hosts()
            return
        for e in self.recorded.initial_hosts:
            h = await self.add_host(e.zone, self.spec(self.kind(e.kind)), cold=False, number=e.host)
            if e.state == "draining":
                self.registry(h, "draining", 0.0)

    def kind(self, k: int) -> int:
        return min(k, len(self.scenario.host) - 1)

    def arrivals(self, rates: np.ndarray, slices: np.ndarray, operations: list[OperationSpec]) -> Traffic:
        if self.recorded is None:
            return super().arrivals(rates, slices, operations)
        return generate_arrivals(self.recorded, self.seed, operations)

    def begin_faults(self) -> list[asyncio.Task[Any]]:
        awaited = super().begin_faults()
        if self.recorded:
            self.spawn(self.again(self.recorded))
        return awaited

    async def again(self, day: RecordedDay) -> None:
        """What was seen of the hosts, at its times."""
        for x in day.host_changes:
            await asyncio.sleep(max(0.0, self.begun + x.at_ms - trace.clock()) / 1000.0)
            h = self.hosts.get(x.host)
            match x.what:
                case "up" if h is None:
                    await self.add_host(x.zone, self.spec(self.kind(x.kind)), number=x.host)
                case "up" if h:
                    await self.bring_up(h)
                case "draining" if h:
                    self.registry(h, "draining")
                case "gone" if h:
                    h.draining = True
                    h.kill()
                    self.registry(h, "removed", 0.0)
                case "dead" if h:
                    h.kill()
                    self.registry(h, "removed")
                case "slow" if h:
                    h.slowness = x.slowness

    def new_port(self) -> int:
        return self.loop.new_port()

    def prepare(self) -> None:
        """Nothing is written."""

    def configure(self, reports_key: str) -> None:
        self.configs = [self.config_of(me, reports_key) for me in range(self.scenario.stewards)]

    def config_of(self, me: int, reports_key: str) -> ControllerConfig:
        s, base = self.scenario, self.base
        own = {
            "listen": f"127.0.0.1:{self.ports[me]}",
            "seed": self.seed,
            "zone": s.zones[0],
            "control": None,
            "peer_listen": None,
            "number": me,
            "stewards": s.stewards,
        }
        roster, registry, loads = base.roster, None, None
        if s.stewards > 1:
            registry = base.registry
        else:
            address = f"127.0.0.1:{self.roster.port}"
            roster = roster.model_copy(update={"address": address, "mode": s.roster.mode})
        if s.load_reports and base.load_reports:
            listen = f"127.0.0.1:{self.reports_port}"
            loads = base.load_reports.model_copy(update={"listen": listen, "key_file": reports_key or None})
        return base.model_copy(
            update={
                "steward": base.steward.model_copy(update=own),
                "roster": roster,
                "registry": registry,
                "store": base.store.model_copy(update={"snapshot_path": None}),
                "door": None,
                "load_reports": loads,
                "zones": s.zones,
            }
        )

    def make_reporter(self, conf: LoadReportsTraffic, key: bytes) -> Reporter:
        return SimReporter(self, conf, self.reports_port, key)

    async def start_steward(self, me: int = 0) -> None:
        self.lives += 1
        self.life[me] = self.life.get(me, 0) + 1
        self.machines[me] = machine = Machine()
        record = None
        if self.record:
            record = f"{self.record}{me if self.scenario.stewards > 1 else ''}-{self.life[me]}.rec"
        steward = SimController(self.loop, self.configs[me], self.decider, self.memories[me], record, self.registered)
        self.stewards[me] = steward
        task = machine.start(self.loop, steward.live())
        while not steward.context.lifecycle.is_ready:
            await asyncio.sleep(0.01)
            if task.done():
                raise RuntimeError(f"the steward did not start: {task.exception()!r}")

    async def kill_steward(self, me: int = 0) -> bool:
        alive = self.machines[me].alive
        self.machines[me].kill()
        return alive

    async def freeze_steward(self, seconds: float, me: int = 0) -> None:
        if (machine := self.machines[me]).alive:
            machine.freeze(True)
            await asyncio.sleep(seconds)
            machine.freeze(False)

    async def hold_store(self, seconds: float) -> None:
        self.memories[0].down = True
        await asyncio.sleep(seconds)
        self.memories[0].down = False

    async def poll(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            if self.machines[0].alive:
                steward = self.stewards[0]
                point = {"t": (trace.clock() - self.begun) / 1000.0, "waiting": float(steward.channel.queued_lines)}
                point["life"] = self.polled_life()
                if feed := steward.load_weights.feed:
                    point |= {**feed.intake_counts, **feed.estimator.counts.by_name()}
                    point["load_factors_below_one"] = float(len(steward.load_weights.factors))
                self.polls.append(point)

    async def laid(self) -> dict[int, set[int]]:
        found: dict[int, set[int]] = {}
        for me, steward in self.stewards.items():
            if self.machines[me].alive:
                tables = steward.engine.published.tables
                found |= {t: set(tables.get(t, {})) for t in steward.engine.owned_slices}
        return found

    async def end_stewards(self) -> None:
        for machine in self.machines:
            machine.kill()

    def keep(self, result: dict[str, Any]) -> None:
        """The caller has it."""


class SimReporter(Reporter):
    async def flood(self, hosts: list[int], times: float, seconds: float) -> None:
        """As the process of its own does on sockets, every two milliseconds."""
        per_s = len(self.lab.hosts) * self.conf.processes * 1000.0 / self.conf.every_ms * times
        packets = flooding({n: round(self.lab.hosts[n].started) for n in hosts}, self.key)
        next(packets)
        out, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=self.where
        )
        begun, sent = trace.clock(), 0
        while (spent := trace.clock() - begun) < seconds * 1000.0:
            for _ in range(int(per_s * spent / 1000.0) - sent):
                out.sendto(packets.send((spent, trace.wall())))
                sent += 1
            await asyncio.sleep(0.002)
        out.close()


@dataclass
class EmulationResult:
    result: dict[str, Any]  # as `result.json` of the lab
    records: list[tuple[Any, ...]]  # as `trace.jsonl.gz`
    begun: float
    polls: list[dict[str, float]]
    events: int  # callbacks of the loop
    took: float  # s of real time
    simulated: float  # s


def emulate(
    scenario: Scenario,
    seed: int,
    config: ControllerConfig | None = None,
    decider: Callable[[api.Settings, int], Decider] | None = None,
    record: str | None = None,
    latency: float = LATENCY,
    recorded: RecordedDay | None = None,
) -> EmulationResult:
    """Plays the scenario; the same arguments give the same result and records. Raises `NotEmulated`."""
    check_emulated(scenario)
    configure("json", "critical")

    async def work(loop: SimLoop) -> EmulationResult:
        trace.use(loop.time, loop.time)
        by = decider or PUBLISHERS[scenario.publisher]
        lab = FleetLab(loop, scenario, seed, config, by, record, recorded, Path(folder.name))
        began = loop.now
        result = await lab.run()
        took = time.perf_counter() - begun
        return EmulationResult(result, lab.trace.records, lab.begun, lab.polls, loop.events, took, loop.now - began)

    begun = time.perf_counter()
    folder = TemporaryDirectory(prefix="corallanding-")
    try:
        return run(work, latency)
    finally:
        trace.use()
        folder.cleanup()
