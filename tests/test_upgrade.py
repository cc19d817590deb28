"""Whole stewards handed over on sockets: ten in a row, and a death or a standstill at every step of it."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import pytest
from sockets import CONFIG, until
from typer.testing import CliRunner
from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

from corallanding.cli.main import app
from corallanding.controller import recorder
from corallanding.lab.roster import Roster
from corallanding.lab.trace import Trace
from corallanding.load_reports.envelope import Head, pack
from corallanding.store import SqliteStore
from corallanding.upgrade.state_machine import HandoverCommand
from corallanding.wire import frames

pytestmark = pytest.mark.processes

HOSTS = 6
# A new process that is to stand still somewhere is waited for as long as a start takes; one that is to take over starts
# beside other tests' processes, which on a busy machine took more than three seconds.
WITHIN_HALTED, WITHIN = 3_000, 20_000


class Forwarder:
    """Dials, keeps its tables, acks, beats, dials again. Counts its links and the numbers of what came."""

    def __init__(self, number: int, port: int) -> None:
        self.number, self.port, self.tables = number, port, dict[int, set[int]]()
        self.links = self.orders = 0
        self.seqs: list[int] = []
        self.lives: list[int] = []  # as welcomes said
        self.over = False
        self.later: bytes | None = None
        self.wrong = ""
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        while not self.over:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            self.later = None
            beats = asyncio.create_task(self.beat(writer))
            try:
                writer.write(frames.encode(frames.Hello(frames.VERSION, self.number, f"s{self.number}")))
                frames_in = frames.Reader(frames.to_forwarder, 1 << 24)
                while data := await reader.read(1 << 16):
                    for f in frames_in.feed(data):
                        self.told(f, writer)
            except OSError:
                pass
            except AssertionError as fault:
                self.wrong = str(fault)
                raise
            beats.cancel()
            writer.close()
            await asyncio.sleep(0.02)

    async def beat(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(0.1)
            # A frame in two halves: one may stand in the old process's buffer when it hands over.
            data = frames.encode(frames.Beat(1.0))
            writer.write(data[:5])
            self.later = b""
            await asyncio.sleep(0.01)
            writer.write(data[5:] + self.later)
            self.later = None

    def told(self, f: Any, writer: asyncio.StreamWriter) -> None:
        if isinstance(f, frames.Welcome):
            self.lives.append(f.life)
        elif isinstance(f, frames.Tables):
            self.links += not f.given
            self.tables = {t: {h for h, _ in rows} for t, rows in f.tables}
            self.seqs = [f.seq]
        elif isinstance(f, frames.Orders):
            self.orders += 1
            assert f.seq >= self.seqs[-1], "an order of an older number"
            self.seqs.append(f.seq)
            for t, h, w in f.lines:
                (self.tables.setdefault(t, set()).add if w > 0 else self.tables[t].discard)(h)
            if f.mark >= 0:
                ack = frames.encode(frames.Ack(f.mark))
                if self.later is None:
                    writer.write(ack)
                else:
                    self.later += ack  # not into the middle of a beat

    def told_of(self) -> list[tuple[int, list[int]]]:
        return [(t, sorted(row)) for t, row in sorted(self.tables.items())]

    def names(self, host: int) -> bool:
        return any(host in row for row in self.tables.values())


class Scene:
    """A roster, a steward's process, two forwarders."""

    def __init__(
        self, folder: Path, halt: str = "", more: str = "", peers: tuple[int, int] = (0, 0), count: int = 2
    ) -> None:
        """peers: UDP ports of this steward's own and of number 2, which the test plays. count: of forwarders."""
        self.folder, self.halt, self.more, self.peers, self.count = folder, halt, more, peers, count

    async def __aenter__(self) -> Scene:
        try:
            return await self.begin()
        except BaseException:
            if hasattr(self, "process"):
                await self.__aexit__()
            raise

    async def begin(self) -> Scene:
        self.roster = Roster(Trace())
        await self.roster.start()
        for h in range(HOSTS):
            self.roster.rows[h] = {"host": h, "state": "up", "address": f"127.0.0.1:{22000 + h}", "started": 0.0}
        self.roster.changed()
        text = CONFIG % (self.folder / "s.db")
        text = text.replace('address = "127.0.0.1:1"', f'address = "127.0.0.1:{self.roster.port}"')
        control = f'  control = "{self.folder}/c"\n  upgrade_within_ms = {WITHIN_HALTED if self.halt else WITHIN}\n'
        if self.peers[0]:
            control += f'  stewards = 2\n  peer_listen = "127.0.0.1:{self.peers[0]}"\n'
            control += f'  peers = {{ "2" = "127.0.0.1:{self.peers[1]}" }}\n'
        text = text.replace("steward {\n", "steward {\n" + control).replace("silence_ms = 600", "silence_ms = 3000")
        text = text.replace('level = "error"', 'level = "info"\n  format = "json"')
        text += "probe {\n  allowed = false\n}\n" + self.more
        text = text.replace("most = 8", f"most = {max(8, self.count + 1)}")
        self.path, self.log = self.folder / "s.hcl", self.folder / "log"
        self.path.write_text(text)
        with open(self.log, "wb") as out:
            command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(self.path)]
            command += ["--record", str(self.folder / "s.rec")]
            env = {**os.environ, "CORALLANDING_HALT": self.halt}
            self.process = subprocess.Popen(command, stdout=out, stderr=out, start_new_session=True, env=env)
        await until(lambda: self.words("ready"), 20)
        listen = self.words("ready")[0]["listen"]
        # The ports were chosen by the kernel; its successor is to find the same ones.
        for _, port in listen:
            text = text.replace('listen = "127.0.0.1:0"', f'listen = "127.0.0.1:{port}"', 1)
        self.path.write_text(text)
        self.forwarders = [Forwarder(n, listen[0][1]) for n in range(1, self.count + 1)]
        await until(lambda: all(len(f.tables) == 4 and all(f.tables.values()) for f in self.forwarders), 10)
        return self

    async def __aexit__(self, *why: object) -> None:
        for f in getattr(self, "forwarders", []):
            f.over = True
            f.task.cancel()
        with suppress(ProcessLookupError):
            os.killpg(self.process.pid, signal.SIGKILL)
        self.process.wait()

    def words(self, event: str) -> list[dict[str, Any]]:
        raw = self.log.read_text().splitlines() if self.log.exists() else []
        return [w for x in raw if x.startswith("{") and (w := json.loads(x))["event"] == event]

    def running(self) -> int:
        """Processes of this scene that live and do not stand still."""
        count = 0
        for name in os.listdir("/proc"):
            if name.isdigit():
                try:
                    state, _, group = Path(f"/proc/{name}/stat").read_text().rpartition(")")[2].split()[:3]
                except OSError:
                    continue
                count += int(group) == self.process.pid and state not in "ZTX"
        return count

    async def page(self, path: str) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.words("ready")[-1]["listen"][1][1])
        writer.write(f"GET {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n".encode())
        text = (await reader.read()).decode()
        writer.close()
        return text

    async def well(self) -> bool:
        return " 200 " in (await self.page("/healthz")).splitlines()[0]

    async def upgrade(self, *words: str) -> str:
        try:
            reader, writer = await asyncio.open_unix_connection(f"{self.folder}/c")
            writer.write("\0".join(["upgrade", *words]).encode() + b"\n")
            answer = await asyncio.wait_for(reader.readline(), 8.0 if self.halt else 25.0)
            writer.close()
            return answer.decode().strip()
        except (OSError, TimeoutError) as fault:
            return f"nothing: {fault}"

    async def drains(self, host: int, within: float = 8.0) -> None:
        """A drain told now reaches every forwarder: somebody speaks."""
        self.roster.put(host, state="draining")
        try:
            await until(lambda: not any(f.names(host) for f in self.forwarders), within)
        except TimeoutError:
            raise AssertionError(f"{self.halt}: {[(f.wrong, f.tables, f.seqs) for f in self.forwarders]}") from None


def play(work: Any) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(100):
            await work

    asyncio.run(bounded())


def test_ten_upgrades_in_a_row_keep_every_link(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Scene(tmp_path) as s:
            for n in range(10):
                if n:
                    assert (await s.upgrade()).startswith("ok: handed over")
                else:
                    command = ["-m", "corallanding.cli.main", "upgrade", "--config", str(s.path)]
                    cli = await asyncio.create_subprocess_exec(sys.executable, *command, stdout=subprocess.PIPE)
                    assert (await cli.communicate())[0].startswith(b"ok: handed over to process ")
                await s.drains(n % HOSTS)
                s.roster.put(n % HOSTS, state="up")
            assert [f.links for f in s.forwarders] == [1, 1], "no link was ever joined anew"
            await until(lambda: s.running() == 1)
            assert len(s.words("handed over")) == 10
            assert len(s.words("ready")) == 11
            assert [w["start_number"] for w in s.words("ready")] == list(range(1, 12))
            # Each forwarder knows whose messages it holds, should that one die with a failing store.
            await until(lambda: all(f.lives == list(range(1, 12)) for f in s.forwarders))
            # Eleven processes, one recording: one module runs through it from its beginning.
            os.killpg(s.process.pid, signal.SIGKILL)
            told = CliRunner().invoke(app, ["replay", str(tmp_path / "s.rec")])
            assert told.exit_code == 0 and "no difference" in told.output, told.output
            assert len(recorder.read_recording(tmp_path / "s.rec").steps) > 40

    play(scene())


def test_an_order_that_some_links_have_reaches_the_others_from_the_new_process(tmp_path: Path) -> None:
    """The line is slow: an order is always on its way to sixty links while the steward is handed over. A link that
    lacked it would keep a host that nobody names again: no later order takes it away."""
    slow = "channel {\n  rate_lines_per_s = 4000\n  queue_most_lines = 40000\n}\n"

    async def scene() -> None:
        async with Scene(tmp_path, more=slow, count=60) as s:
            told = 0
            for _ in range(3):
                handing = asyncio.create_task(s.upgrade())
                while not handing.done():
                    s.roster.put(told % HOSTS, state="draining")
                    s.roster.put((told - 3) % HOSTS, state="up")
                    told += 1
                    await asyncio.sleep(0.1)
                assert (await handing).startswith("ok: handed over")
                for _ in range(100):
                    held = {json.dumps(f.told_of()) for f in s.forwarders}
                    if len(held) == 1:
                        break
                    await asyncio.sleep(0.1)
                assert len(held) == 1, held
            assert [f.links for f in s.forwarders] == [1] * 60

    play(scene())


REPORTS = """
load_reports {
  listen = "127.0.0.1:0"
  window_ms = 200
  half_life_ms = 2000
  expiry_ms = 8000
  tick_ms = 10
}
"""


def children(group: int, of: str) -> list[int]:
    """Processes of a scene by a word of their command."""
    found = []
    for name in os.listdir("/proc"):
        if name.isdigit() and int(name) != group:
            try:
                if os.getpgid(int(name)) == group and of in Path(f"/proc/{name}/cmdline").read_text():
                    found.append(int(name))
            except (OSError, ProcessLookupError):
                continue
    return found


def test_intake_of_load_reports_and_peers_go_over(tmp_path: Path) -> None:
    """The intake's process never stops: its senders see ticks of the new steward, what was learnt stands, and a
    handover that fails after the new one may have read of its words begins another."""

    async def scene() -> None:
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peer.bind(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            peer_port = free.getsockname()[1]
        async with Scene(tmp_path, more=REPORTS, peers=(peer_port, peer.getsockname()[1])) as s:
            await until(lambda: s.words("load reports"), 10)
            port = s.words("load reports")[0]["port"]
            echo, ticks = [b"\0" * 8], set[bytes]()
            udp, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: Echo(echo, ticks), remote_addr=("127.0.0.1", port)
            )

            async def report() -> None:
                for seq in range(1_000_000):
                    for h in range(HOSTS):
                        up = time.monotonic() * 1000.0
                        load = OrcaLoadReport(application_utilization=2.0 if h == 4 else 0.6 + 0.01 * (seq % 2))
                        head = Head(h, 0, 0, seq, up, 5.0, echo[0])
                        udp.sendto(pack(head, load.SerializeToString()))
                    await asyncio.sleep(0.05)

            sending = asyncio.create_task(report())
            await until(lambda: any("4" in w["factors"] for w in s.words("load factors")), 20)
            intake = children(s.process.pid, "reports.intake")
            assert len(intake) == 1
            for n in range(2):
                assert (await s.upgrade()).startswith("ok: handed over")
                seen = set(ticks)
                await until(lambda seen=seen: len(ticks - seen) >= 4, 5)
                await s.drains(n)
                s.roster.put(n, state="up")
                peer.sendto(msgspec.msgpack.encode([2, b"word"]), ("127.0.0.1", peer_port))
                peer.sendto(msgspec.msgpack.encode([7, b"a stranger's"]), ("127.0.0.1", peer_port))
            assert children(s.process.pid, "reports.intake") == intake
            assert len(s.words("load reports")) == 1
            assert all("4" in w["factors"] for w in s.words("load factors")[1:]), "what was learnt stands"
            page = await s.page("/metrics")
            assert f"report_senders {HOSTS}.0" in page
            assert "peer_messages_dropped_total 1.0" in page
            s.path.write_text(s.path.read_text().replace("tick_ms = 10", "tick_ms = 11"))
            assert (await s.upgrade()).startswith("ok: handed over")
            await until(lambda: len(s.words("load reports")) == 2, 10)
            assert children(s.process.pid, "reports.intake") != intake, "other settings of it begin another"
            await s.drains(5)
            sending.cancel()
            udp.close()
        peer.close()

    play(scene())


class Echo(asyncio.DatagramProtocol):
    def __init__(self, echo: list[bytes], ticks: set[bytes]) -> None:
        self.echo, self.ticks = echo, ticks

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.echo[0] = data[2:10]
        self.ticks.add(self.echo[0])


@pytest.mark.parametrize("whose", ["new", "both"])
def test_a_full_disk_in_mid_handover_costs_no_voice(tmp_path: Path, whose: str) -> None:
    """Limits on file sizes stand for the disk: every write of that process fails, its log's too. The new one cannot
    open the store; the old one may not be able to open it again, and goes on without."""

    async def scene() -> None:
        async with Scene(tmp_path, more="record {\n}\n") as s:
            words = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(s.path)]
            if whose == "new":
                answer = await s.upgrade("sh", "-c", 'ulimit -f 0; exec "$@"', "sh", *words)
            else:
                most = resource.prlimit(s.process.pid, resource.RLIMIT_FSIZE)
                resource.prlimit(s.process.pid, resource.RLIMIT_FSIZE, (0, most[1]))
                answer = await s.upgrade()
            assert answer.startswith("failed: ") and "s.db" in answer, answer
            await s.drains(1)
            assert s.running() == 1
            assert await s.well() == (whose == "new")
            if whose == "both":
                assert (await s.upgrade()).startswith("failed: ")
                await s.drains(2)
                assert s.running() == 1
                resource.prlimit(s.process.pid, resource.RLIMIT_FSIZE, most)
                await until(lambda: s.words("the store is open again"), 5)
                assert s.words("log lines lost")[0]["lost"] > 0
                await s.drains(3)
                assert await s.well()
            assert (await s.upgrade()).startswith("ok: handed over")
            await s.drains(4)
            await until(lambda: s.running() == 1)
            # What the store holds in the end is what forwarders hold.
            os.killpg(s.process.pid, signal.SIGKILL)
            kept = SqliteStore(tmp_path / "s.db")
            await asyncio.sleep(0.1)
            tables = kept.open().tables
            kept.close()
            assert {t: set(rows) for t, rows in tables.items()} == s.forwarders[0].tables

    play(scene())


KILLS = [
    "old before pause",
    "old before send state",
    "old before close store",
    "old before send commit",
    "old before exit",
    "new before send ready",
    "new before load",
    "new before send checked",
    "new before open store",
    "new before run",
    "new before send taken",
]


def test_a_death_or_a_standstill_at_any_step_leaves_one_voice(tmp_path: Path) -> None:
    """The kill-point table of docs/upgrade.md: every step, both sides, killed and stopped, side by side."""
    rows: dict[str, str] = {}

    async def one(halt: str, gate: asyncio.Semaphore) -> None:
        folder = tmp_path / halt.replace(":", "-").replace(" ", "-")
        folder.mkdir()
        async with gate, Scene(folder, halt) as s:
            answer = await s.upgrade()
            await s.drains(1)
            await s.drains(2)
            await until(lambda: s.running() == 1, 8.0)
            links = max(f.links for f in s.forwarders)
            rows[halt] = f"{answer.split(':')[0] or 'cut off'}; links joined anew: {links - 1}"

    async def all_of_them() -> None:
        gate = asyncio.Semaphore(6)
        await asyncio.gather(*(one(f"{how}:{point}", gate) for how in ("kill", "stop") for point in KILLS))

    play(all_of_them())
    assert len(rows) == 2 * len(KILLS)
    for halt, what in sorted(rows.items()):
        print(f"| {halt} | {what} |")
    # A new process that dies or stands still before it was told to speak costs nothing at all.
    quiet = [p for p in KILLS if p.startswith("new") and p not in ("new before run", "new before send taken")]
    assert all(rows[f"{how}:{p}"] == "failed; links joined anew: 0" for how in ("kill", "stop") for p in quiet)
    assert {p.split(" before ")[1] for p in KILLS} <= {d.value for d in HandoverCommand}


def test_a_control_path_that_is_a_file_is_refused_and_the_file_stands(tmp_path: Path) -> None:
    (tmp_path / "c").write_text("precious")
    text = (CONFIG % (tmp_path / "s.db")).replace("steward {\n", f'steward {{\n  control = "{tmp_path}/c"\n')
    (tmp_path / "s.hcl").write_text(text)
    command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(tmp_path / "s.hcl")]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 5
    assert "is no socket" in done.stdout + done.stderr
    assert (tmp_path / "c").read_text() == "precious"


def test_several_go_one_after_the_other_and_stop_at_the_first_that_is_not_well(tmp_path: Path) -> None:
    async def scene() -> None:
        for name in ("a", "b", "c"):
            (tmp_path / name).mkdir()
        async with Scene(tmp_path / "a") as a, Scene(tmp_path / "b") as b, Scene(tmp_path / "c") as c:
            base = [sys.executable, "-m", "corallanding.cli.main", "upgrade"]

            async def cli(*scenes: Scene) -> tuple[int, str]:
                words = [w for s in scenes for w in ("--config", str(s.path))]
                p = await asyncio.create_subprocess_exec(
                    *base, *words, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
                )
                out = (await p.communicate())[0].decode()
                return p.returncode or 0, out

            code, out = await cli(a, b)
            assert code == 0 and out.count("ok: handed over") == 2, out
            (b.folder / "c").unlink()  # there is no way to b any more
            code, out = await cli(a, b, c)
            assert code == 1 and out.count("ok: handed over") == 1 and f"not touched: {c.path}" in out, out
            assert len(c.words("ready")) == 1
            assert len(a.words("ready")) == 3

    play(scene())


def test_without_a_control_socket_the_command_says_so(tmp_path: Path) -> None:
    (tmp_path / "s.hcl").write_text(CONFIG % (tmp_path / "s.db"))
    command = [sys.executable, "-m", "corallanding.cli.main", "upgrade", "--config", str(tmp_path / "s.hcl")]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2
    assert "steward.control is not set" in done.stderr


@pytest.mark.parametrize("fault", ["configuration", "program", "settings"])
def test_a_new_process_that_cannot_be_leaves_the_old_one_at_work(tmp_path: Path, fault: str) -> None:
    async def scene() -> None:
        async with Scene(tmp_path) as s:
            good = s.path.read_text()
            if fault == "configuration":
                s.path.write_text(good + "nonsense {\n}\n")
                answer = await s.upgrade()
            elif fault == "program":
                answer = await s.upgrade(sys.executable, "-c", "import sys; sys.exit(9)")
            else:
                # Not a fault: other settings share no state. The listeners go over, forwarders join anew.
                s.path.write_text(good.replace("every_ms", "every_ms") + "reports {\n  every_ms = 700\n}\n")
                answer = await s.upgrade()
            if fault == "settings":
                assert answer.startswith("ok: handed over")
                assert s.words("state not used; forwarders will join anew")
                await until(lambda: all(f.links == 2 for f in s.forwarders))
            else:
                assert answer.startswith("failed: the new process ended")
                assert [f.links for f in s.forwarders] == [1, 1]
            await s.drains(1)
            s.path.write_text(good)
            if fault != "settings":
                assert (await s.upgrade()).startswith("ok: handed over")
                await s.drains(2)
                assert [f.links for f in s.forwarders] == [1, 1]

    play(scene())


def test_upgrades_wait_for_their_turn_and_say_how_long(tmp_path: Path) -> None:
    """Where `task "upgrade"` stands, a handover needs the fleet's lease for it; the process before lets it run out."""
    more = 'task "upgrade" {\n  work_most_ms = 600\n}\ntasks {\n  lease_ms = 1500\n}\nbudgets {\n  office_ms = 200\n}\n'

    async def scene() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(("127.0.0.1", 0))
            port = other.getsockname()[1]
        async with Scene(tmp_path, more=more) as s:
            text = s.path.read_text().replace("steward {\n", f'steward {{\n  peer_listen = "127.0.0.1:{port}"\n', 1)
            s.path.write_text(text)
            assert (await s.upgrade()).startswith("ok after "), "the first one elects itself, then asks"
            await until(lambda: len(s.words("ready")) == 2, 10)
            begun = time.monotonic()
            again = await s.upgrade()
            assert again.startswith("ok after ") and float(again.split()[2]) >= 0.3, again
            assert time.monotonic() - begun >= 0.3
            for _ in range(100):
                with suppress(OSError):  # the old process may still have been the one that took the connection
                    page = json.loads((await s.page("/stewards")).split("\r\n\r\n")[1])
                    if page["tasks"]["dealer"] == 0:
                        break
                await asyncio.sleep(0.05)
            assert page["tasks"]["dealer"] == 0
            assert page["stewards"] == {"0": "alive"}
            assert [w["change"] for w in s.words("task") if w["task"] == "upgrade"].count("taken up") == 2
            await s.drains(2)

    play(scene())
