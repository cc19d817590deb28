"""Execution of a scenario on loopback: real controller processes with stand-ins around them, then the audit."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

from . import report
from .clients import Clients, ClientSpec, OperationSpec, Traffic, draw
from .faults import Faults, planned_load_changes
from .forwarder import Proxy
from .host import Host, HostSpec
from .hosts import Hosts
from .laid import count_table_differences, wait_for_tables
from .make import draw_shares, make_proxy, make_run_clients, make_wait_clients, request_classes_of
from .net import Net
from .polling import hold_write_lock, poll
from .processes import AdoptedProcess, free_port
from .reporter import Reporter
from .roster import RegistryRoster, Roster
from .run_clients import RunClients
from .scenario import LoadReportsTraffic, Scenario
from .scenario_text import steward_hcl
from .stage import Stage
from .steward_processes import StewardProcesses
from .trace import Trace, clock
from .verdict import audit_files, clear, verdict
from .wait_clients import WaitClients
from .ways import PeerRelay

POLL_FIELDS_NOT_OF_REPORTS = ("t", "life", "waiting", "ack_ms")


class Lab(Stage):
    """One run of a scenario. lift_limits: configure controllers without the channel's limits."""

    def __init__(self, scenario: Scenario, out: Path, seed: int, lift_limits: bool = False) -> None:
        self.scenario, self.out, self.seed, self.lift_limits = scenario, out, seed, lift_limits
        self.trace = Trace()
        self.chance = np.random.default_rng([seed, 1])
        self.net = Net(seed)
        self.roster = Roster(self.trace) if scenario.stewards == 1 else RegistryRoster(self.trace)
        self.host_fleet = Hosts(scenario, self.trace, lambda: self.roster)
        self.hosts = self.host_fleet.hosts
        self.forwarders: list[Proxy] = []
        self.control = ""
        self.upgrades: list[float] = []  # duration of each in ms
        self.lives = 0
        self.life: dict[int, int] = {}
        self.ports = [self.new_port() for _ in range(scenario.numbers)]
        self.http_ports = [self.new_port() for _ in range(scenario.numbers)]
        self.processes = StewardProcesses(self.http_ports, scenario.publisher, self.file_of)
        self.peer_ports = [self.new_port() for _ in range(scenario.numbers)] if scenario.peers else []
        self.peer_relay: PeerRelay | None = None
        self.polls: list[dict[str, float]] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.begun, self.lost = 0.0, 0
        self.reporter: Reporter | None = None
        self.run_clients: RunClients | None = None
        self.wait_clients: WaitClients | None = None
        self.reports_port = self.new_port()

    def new_port(self) -> int:
        """Return a free port."""
        return free_port()

    @property
    def reports(self) -> Reporter | None:
        return self.reporter

    @property
    def running(self) -> Mapping[int, asyncio.subprocess.Process | AdoptedProcess]:
        return self.processes.running

    def spec(self, kind: int) -> HostSpec:
        """Return the capacity of a kind of host."""
        return self.host_fleet.spec(kind)

    async def add_host(self, zone: int, spec: HostSpec, cold: bool = True, number: int | None = None) -> Host:
        return await self.host_fleet.add(zone, spec, cold, number)

    async def bring_up(self, h: Host, cold: bool = True) -> None:
        await self.host_fleet.bring_up(h, cold)

    def registry(self, h: Host, state: str, late: float | None = None) -> None:
        self.host_fleet.tell(h, state, late)

    def file_of(self, stem: str, me: int, ending: str) -> Path:
        """Return the path of a controller's file; its name has no number if there is only one controller."""
        return self.out / (f"{stem}{ending}" if self.scenario.stewards == 1 else f"{stem}{me}{ending}")

    async def start_steward(self, me: int = 0) -> None:
        self.lives += 1
        self.life[me] = self.life.get(me, 0) + 1
        await self.processes.start(me, self.life[me])

    async def kill_steward(self, me: int = 0) -> bool:
        return await self.processes.kill(me)

    async def upgrade_steward(self) -> None:
        self.upgrades.append(await self.processes.upgrade(self.control))
        self.lives += 1

    async def freeze_steward(self, seconds: float, me: int = 0) -> None:
        await self.processes.freeze(seconds, me)

    async def end_steward(self, me: int) -> None:
        await self.processes.end(me)

    async def end_stewards(self) -> None:
        """Shut all controllers down."""
        await self.processes.end_all(5.0 if self.scenario.stewards == 1 else 0.5)

    def set_current_release(self, number: int) -> None:
        self.processes.set_current_release(number, self.scenario.numbers)

    async def hold_store(self, seconds: float) -> None:
        await hold_write_lock(self.out / "store.db", seconds)

    async def poll(self) -> None:
        """Poll the metrics of controller 0 until cancelled."""
        await poll(self.http_ports[0], self.begun, self.polls, self.polled_life)

    def polled_life(self) -> int:
        """Return the incarnation number of the polled controller."""
        return self.life.get(0, 0)

    def reports_counted(self, ends: list[str]) -> bool:
        newest = self.polls[-1] if self.polls else {}
        return newest.get("life") == self.polled_life() and all(newest.get(end, 0.0) > 0.0 for end in ends)

    async def laid(self) -> dict[int, set[int]]:
        """Return the published hosts by slice. Raises OSError if a controller does not respond."""
        return await self.processes.laid()

    async def first_hosts(self) -> None:
        """Start the initial hosts."""
        await self.host_fleet.first()

    def arrivals(self, rates: np.ndarray, slices: np.ndarray, operations: list[OperationSpec]) -> Traffic:
        """Draw the arrivals. rates, slices: shares of the proxies and of the slices."""
        s = self.scenario
        order = [int(k) for k in self.chance.permutation(s.fleet.slices)]
        return draw(
            self.seed, s.seconds * 1000.0, s.traffic.per_s, rates, slices, operations, planned_load_changes(s, order)
        )

    async def build(self) -> None:
        """Create hosts, host list, proxies and clients."""
        s = self.scenario
        await self.first_hosts()
        await self.roster.start()
        rates, slices = draw_shares(s, self.chance)
        stewards = [("127.0.0.1", p) for p in self.ports]
        shared = (self.host_fleet.zones, self.net, self.trace, self.seed)
        self.forwarders += [make_proxy(s, k, float(rates[k]), stewards, *shared) for k in range(s.fleet.forwarders)]
        operations = request_classes_of(s)
        traffic = self.arrivals(rates, slices, operations)
        spec = ClientSpec(s.traffic.retries, s.traffic.try_share, s.traffic.backoff_ms)
        self.clients = Clients(self.forwarders, operations, spec, traffic, self.trace)
        more = (self.forwarders, operations, self.trace, self.seed)
        self.run_clients, self.wait_clients = make_run_clients(s, *more), make_wait_clients(s, *more)

    def prepare(self) -> None:
        """Create and clear the folder of the run."""
        clear(self.out)

    def configure(self, reports_key: str) -> None:
        """Write the configuration of each controller."""
        s = self.scenario
        if any(f.kind == "upgrade" for f in s.fault):
            self.control = str(Path(tempfile.mkdtemp(prefix="corallanding-")) / "control")
        if self.peer_ports and s.stewards > 1:
            self.peer_relay = PeerRelay(self.seed, dict(enumerate(self.peer_ports)))
            self.peer_relay.open()
        reports = f"127.0.0.1:{self.reports_port}"
        for me in range(s.numbers):
            listen, http_address, roster = (
                f"127.0.0.1:{p}" for p in (self.ports[me], self.http_ports[me], self.roster.port)
            )
            store = str(self.file_of("store", me, ".db").resolve())
            text = steward_hcl(
                s,
                listen,
                http_address,
                roster,
                store,
                self.seed,
                self.lift_limits,
                reports,
                reports_key,
                me,
                self.control,
                f"127.0.0.1:{self.peer_ports[me]}" if self.peer_relay else "",
                self.peer_relay.peers(me) if self.peer_relay else None,
                *audit_files(s, self.file_of, me),
            )
            self.file_of("steward", me, ".hcl").write_text(text)

    async def run(self) -> dict[str, Any]:
        """Run the scenario and return its result. Raises RuntimeError if a stand-in failed."""
        s = self.scenario
        self.prepare()
        await self.build()
        key = b""
        if s.load_reports:
            key = b"a key of the lab's own" if s.load_reports.signed else b""
            (self.out / "reports.key").write_bytes(key)
            self.reporter = self.make_reporter(s.load_reports, key)
        self.configure(str((self.out / "reports.key").resolve()) if key else "")
        try:
            for me in range(s.stewards):
                await self.start_steward(me)
            for f in self.forwarders:
                for work in (f.links.run(), f.links.report()):
                    self.spawn(work)
            await wait_for_tables(self.forwarders, s.fleet.slices)
            self.begun = clock() + 100.0
            self.spawn(self.poll())
            if self.reporter:
                self.spawn(self.reporter.run())
            awaited = self.begin_faults()
            client_runs = [self.clients.run(self.begun)]
            if self.run_clients:
                client_runs.append(self.run_clients.run(self.begun, s.seconds))
            if self.wait_clients and s.jobs:
                client_runs.append(self.wait_clients.run(self.begun, s.seconds, s.jobs.drain_s))
            await asyncio.gather(*client_runs, *awaited)
            self.lost = await count_table_differences(self.forwarders, self.laid)
        finally:
            for f in self.forwarders:
                f.stopped = True
            for task in self.tasks:
                task.cancel()
            if self.reporter:
                self.reporter.stop()
            await self.end_stewards()
            if self.peer_relay:
                self.peer_relay.close()
            await self.roster.stop()
            for h in self.hosts.values():
                h.kill()
        failed = [t for t in self.tasks if t.done() and not t.cancelled() and t.exception()]
        if failed:
            raise RuntimeError(f"a stand-in failed: {failed[0].exception()!r}") from failed[0].exception()
        self.trace.end()
        return self.judged()

    def make_reporter(self, conf: LoadReportsTraffic, key: bytes) -> Reporter:
        """Return the sender of load reports."""
        return Reporter(self, conf, self.reports_port, key)

    def begin_faults(self) -> list[asyncio.Task[Any]]:
        """Start all faults; return the tasks that the run waits for."""
        faults = Faults(self)
        tasks = [(fault, self.spawn(faults.play(fault, self.begun))) for fault in self.scenario.fault]
        return [task for fault, task in tasks if fault.until]

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        return task

    def judged(self) -> dict[str, Any]:
        """Audit the run and return its result."""
        s, records = self.scenario, self.trace.records
        result = verdict(s, records, self.begun, self.seed, self.file_of)
        result["publisher"], result["lives"], result["lines_lost"] = s.publisher, self.lives, self.lost
        if s.load_reports and self.polls:
            result["load_reports"] = {k: v for k, v in self.polls[-1].items() if k not in POLL_FIELDS_NOT_OF_REPORTS}
        self.keep(result)
        return result

    def keep(self, result: dict[str, Any]) -> None:
        """Write the result, the charts and the trace."""
        s, records = self.scenario, self.trace.records
        report.write(self.out, result, [f"{f.kind} at {f.at_s:g} s" for f in s.fault])
        report.charts(self.out, records, self.begun, self.polls, [(f.kind, f.at_s, f.for_s) for f in s.fault])
        self.trace.save(self.out / "trace.jsonl.gz")


def play(scenario: Scenario, out: Path, seed: int, lift_limits: bool = False) -> dict[str, Any]:
    """Run the scenario; return the content of `result.json`."""
    return uvloop.run(Lab(scenario, out, seed, lift_limits).run())
