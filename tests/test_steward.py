"""The steward on real sockets: links that misbehave, numbers used twice, a failing store, probes, reload, the door."""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path
from typing import Any

import msgspec
import pytest
from sockets import CONFIG, Running, until

from corallanding import interface as api
from corallanding.controller.daemon import ORIGIN, Clock
from corallanding.health_check.checker import HealthChecker
from corallanding.telemetry import configure
from corallanding.wire import frames


def play(work: Any) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(30):
            await work

    asyncio.run(bounded())


ROWS = [{"host": h, "address": f"127.0.0.1:{h}", "state": "up"} for h in (10, 11, 12)]


def test_a_line_goes_from_the_module_to_the_forwarder_and_its_ack_back(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            r.steward.roster_rows(True, 1, ROWS)
            one, two = await r.joined(1), await r.joined(2)
            r.do(api.SetWeight(0, 10, 1.0), api.PublishVersion(5))
            for peer in (one, two):
                order = await peer.until(frames.Orders)
                assert order.lines == [(0, 10, 1.0)]
                assert order.mark == 5
                assert order.addresses == {10: "127.0.0.1:10"}
            two.say(frames.Ack(5))
            await until(lambda: any(isinstance(e, api.VersionAcked) for e in r.module.told))
            [acked] = [e for e in r.module.told if isinstance(e, api.VersionAcked)]
            assert (acked.proxy, acked.version) == (2, 5)
            assert acked.latency_ms > 0
            db = sqlite3.connect(tmp_path / "s.db")
            assert db.execute("select * from line").fetchall() == [(0, 10, 1.0)]

    play(scene())


@pytest.mark.parametrize(
    ("said", "code"),
    [
        (b"\xff" * 64, "oversized"),
        (b"\x00\x00\x00\x05hello", "malformed"),
        (frames.encode(frames.Beat()), "out-of-place"),
        (frames.encode(frames.Hello(77, 1, "x")), "unknown-version"),
        (frames.encode(frames.Hello(1, 1, "x", zone=9)), "malformed"),
        (frames.encode(frames.Hello(1, 60000, "x")), "full"),
        (frames.encode(frames.Hello(1, 1, "x")) + frames.encode(frames.Ack(3)), "out-of-place"),
        (frames.encode(frames.Hello(1, 1, "x")) + frames.encode(frames.Held(1, 1, [])), "out-of-place"),
        (b"", "no-hello"),
    ],
)
def test_a_link_that_breaks_the_protocol_ends_alone_with_a_reason(tmp_path: Path, said: bytes, code: str) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            other = await r.joined(2)
            peer = await r.peer()
            peer.writer.write(said)
            keep = asyncio.create_task(beating(other))
            assert await peer.ended() == code
            r.do(api.SetWeight(1, 10, 1.0))
            assert (await other.until(frames.Orders)).lines == [(1, 10, 1.0)]
            keep.cancel()
            page = r.steward.metrics.exposition().decode()
            assert f'corallanding_links_closed_total{{reason="{code}"}} 1.0' in page

    play(scene())


async def beating(*peers: Any) -> None:
    while True:
        for peer in peers:
            peer.say(frames.Beat(1.0))
        await asyncio.sleep(0.05)


def test_a_number_in_use_stays_with_the_process_that_has_it(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            first = await r.joined(1, session="old")
            keep = asyncio.create_task(beating(first))
            second = await r.peer()
            second.hello(1, session="new")
            assert await second.ended() == "number-in-use"
            keep.cancel()  # the old process hangs: silence frees its number
            await first.ended()
            again = await r.joined(1, session="new")
            assert not again.closed

    play(scene())


def test_acks_of_a_former_connection_count_for_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            old = await r.joined(1)
            r.do(api.SetWeight(0, 10, 1.0), api.PublishVersion(5))
            await old.until(frames.Orders)
            new = await r.joined(1)  # the same process on a new connection: the old one is over
            old.say(frames.Ack(5))
            assert await old.ended() == "superseded"
            new.say(frames.Beat(1.0))
            await asyncio.sleep(0.05)
            assert not [e for e in r.module.told if isinstance(e, api.VersionAcked)]
            new.say(frames.Ack(5))  # and the mark of the old connection is not out on the new one
            assert await new.ended() == "out-of-place"
            kinds = [type(e).__name__ for e in r.module.told if isinstance(e, api.ProxyJoined | api.ProxyLeft)]
            assert kinds[:3] == ["ProxyJoined", "ProxyLeft", "ProxyJoined"]

    play(scene())


def test_a_forwarder_that_does_not_read_is_cut_off_and_the_others_go_on(tmp_path: Path) -> None:
    async def scene() -> None:
        big = "channel {\n  queue_most_lines = 1e8\n  rate_lines_per_s = 1e9\n}\n"
        async with Running(tmp_path, big) as r:
            slow, good = await r.joined(1), await r.joined(2)
            keep = asyncio.create_task(beating(slow, good))

            async def drain() -> None:
                while True:
                    await good.reader.read(1 << 20)

            reading = asyncio.create_task(drain())
            for _ in range(400):
                r.do(*[api.SetWeight(k % 4, h, 1.0) for k in range(4) for h in range(100, 600)])
                await asyncio.sleep(0.004)
                if 1 not in r.steward.forwarders:
                    break
            assert 1 not in r.steward.forwarders
            assert 2 in r.steward.forwarders
            assert 'reason="not-reading"} 1.0' in r.steward.metrics.exposition().decode()
            keep.cancel()
            reading.cancel()
            back = await r.joined(1)
            tables = next(f for f in back.got if isinstance(f, frames.Tables))
            assert len(tables.tables[0][1]) == 500, "it has all from the store"

    play(scene())


def test_a_channel_without_room_cuts_off_instead_of_growing(tmp_path: Path) -> None:
    async def scene() -> None:
        slow = "channel {\n  queue_most_lines = 60\n  rate_lines_per_s = 10\n}\n"
        async with Running(tmp_path, slow) as r:
            one = await r.joined(1)
            for k in range(6):
                r.do(*[api.SetWeight(k % 4, h, 1.0) for h in range(20)])
                await asyncio.sleep(0.02)
            assert await one.ended() == "overrun"
            assert r.steward.channel.most <= 60
            assert r.steward.channel.waiting == 0

    play(scene())


def test_a_store_that_cannot_write_stops_no_order_and_a_restart_gets_it_back(tmp_path: Path) -> None:
    async def scene() -> None:
        lock = sqlite3.connect(tmp_path / "s.db", isolation_level=None)
        async with Running(tmp_path) as r:
            r.steward.roster_rows(True, 1, ROWS)
            one = await r.joined(1)
            keep = asyncio.create_task(beating(one))
            r.do(api.SetWeight(0, 10, 1.0))
            await one.until(frames.Orders)
            await asyncio.sleep(0.1)
            r.steward.keep_roster()
            lock.execute("begin immediate")
            r.do(api.SetWeight(0, 11, 1.0), api.SetWeight(0, 10, 0.0))
            order = await one.until(frames.Orders, lambda f: f.seq == 2)
            assert order.lines == [(0, 11, 1.0), (0, 10, 0.0)], "a drain does not wait for a disk"
            status, body = await r.get("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            assert status == 503
            assert b"locked" in body
            # The steward dies before the store is well again: only the forwarder knows the newest table.
            r.steward.engine.unsaved_tables.clear()
            r.steward.roster_dirty = False
            keep.cancel()
        lock.execute("rollback")
        async with Running(tmp_path) as r:
            peer = await r.peer()
            peer.hello(1, fresh=False, life=1, seq=2)
            await peer.until(frames.Recall)
            peer.say(frames.Held(1, 2, [(0, [(11, 1.0)])]))
            tables = await peer.until(frames.Tables)
            assert tables.tables[0] == (0, [(11, 1.0)])
            await until(
                lambda: sqlite3.connect(tmp_path / "s.db").execute("select * from line").fetchall() == [(0, 11, 1.0)]
            )

    play(scene())


def test_the_store_gets_all_when_it_is_well_again(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            await r.joined(1)
            lock = sqlite3.connect(tmp_path / "s.db", isolation_level=None)
            lock.execute("begin immediate")
            for host in (10, 11, 12):
                r.do(api.SetWeight(0, host, 1.0))
                await asyncio.sleep(0.03)
            assert r.steward.store_faults > 0
            lock.execute("rollback")
            await until(lambda: r.steward.store_faults == 0)
            rows = lock.execute("select host from line order by host").fetchall()
            assert rows == [(10,), (11,), (12,)]
            assert r.steward.engine.unsaved_tables == {}

    play(scene())


def test_every_way_that_a_probe_can_end(tmp_path: Path) -> None:
    answers = {
        api.HealthCheckOutcome.OK: b"HTTP/1.1 200 OK\r\nX-Load: rif=3 q=1.5 x=?\r\nContent-Length: 0\r\n\r\n",
        api.HealthCheckOutcome.FULL: b"HTTP/1.1 503 Draining\r\nContent-Length: 0\r\n\r\n",
        api.HealthCheckOutcome.ERROR: b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n",
        api.HealthCheckOutcome.OTHER: b"SSH-2.0-something else\r\n",
        api.HealthCheckOutcome.RESET: b"",
        api.HealthCheckOutcome.TIMEOUT: None,
    }

    async def scene() -> None:
        ends: dict[int, api.HealthCheckResult] = {}
        prober = HealthChecker(
            lambda e: ends.update({e.host: e}), Clock(), timeout_ms=2_000.0, max_in_flight=3, max_waiting=5
        )
        wanted, servers = {}, []
        for number, (end, answer) in enumerate(answers.items()):

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: bytes | None = answer
            ) -> None:
                await reader.readline()
                if answer is not None:
                    writer.write(answer)
                    await writer.drain()
                    writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            servers.append(server)
            wanted[number] = end
            prober.check(number, f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        prober.check(90, "127.0.0.1:1")
        wanted[90] = api.HealthCheckOutcome.UNREACHABLE
        await until(lambda: len(ends) == len(wanted) and not prober.running)
        assert {h: e.outcome for h, e in ends.items()} == wanted
        assert ends[0].load == {"rif": 3.0, "q": 1.5}
        assert prober.most_in_flight_seen == 3
        for k in range(20):
            prober.check(100 + k, "127.0.0.1:1")
        assert sum(e.outcome is api.HealthCheckOutcome.OTHER for h, e in ends.items() if h >= 100) == 12, (
            "beyond the bound"
        )
        await until(lambda: len(ends) == len(wanted) + 20)

    play(scene())


def test_the_door_is_bounded_and_says_no_by_name(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            r.do(api.SetWeight(0, 10, 1.0))
            await asyncio.sleep(0.05)
            status, body = await r.get("GET /tables HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            assert status == 200
            assert msgspec.json.decode(body.split(b"\r\n\r\n")[1])["tables"]["0"] == {"10": 1.0}
            assert (await r.get("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))[0] == 200
            assert (await r.get("GET /nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))[0] == 404
            assert (await r.get("POST /tables HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))[0] == 405
            assert (await r.get("no http at all\r\n\r\n"))[0] == 400
            assert (await r.get("GET / HTTP/1.1\r\nHost: x\r\nHost: x\r\nX: " + "y" * 2000))[0] == 431
            assert (await r.get("GET /tables HTTP/1.1\r\nHost: x\r\nX-Slow"))[0] == 408
            held = [await asyncio.open_connection("127.0.0.1", r.door) for _ in range(4)]
            assert (await r.get("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 503
            for _, writer in held:
                writer.close()

    play(scene())


def test_a_reload_takes_what_it_can_and_names_the_rest(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            configure("json", "info")
            r.path.write_text("steward {")
            r.steward.reload()
            text = CONFIG % (tmp_path / "s.db") + "reports {\n  every_ms = 7\n}\n"
            r.path.write_text(
                text.replace("frame_most_bytes = 4096", "frame_most_bytes = 9999").replace(
                    'level = "error"', 'level = "info"'
                )
            )
            r.steward.reload()
            r.path.write_text(text.replace("frame_most_bytes = 4096", "frame_most_bytes = 9999").split("door {")[0])
            r.steward.reload()  # the door is gone from the file: that needs a restart, and harms nothing
            assert r.steward.config.door is not None
            assert r.steward.limits.frame_most == 9999
            assert r.steward.settings.report_interval_ms == 1000.0
        said = capsys.readouterr().err
        assert "reload refused; the old configuration stands" in said
        assert '"taken": ["forwarders.frame_most_bytes", "log.level"]' in said
        assert '"needs_restart": ["reports.every_ms"]' in said

    play(scene())


def test_joins_are_let_in_at_their_pace(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path, config=CONFIG.replace("most = 8", "most = 60\n  reads_per_s = 40")) as r:
            peers = [await r.peer() for _ in range(40)]
            for f, peer in enumerate(peers):
                peer.hello(f)
            await asyncio.sleep(0.1)
            early = len(r.steward.engine.proxy_zones)
            keep = asyncio.create_task(beating(*peers))
            await until(lambda: len(r.steward.engine.proxy_zones) == 40)
            keep.cancel()
            assert 10 <= early < 30

    play(scene())


def test_a_module_that_fails_ends_the_steward_with_its_own_code(tmp_path: Path) -> None:
    class Broken:
        def __init__(self, settings: api.Settings, seed: int) -> None: ...

        def step(self, now: float, events: Any) -> list[api.Action]:
            raise ZeroDivisionError("by a module")

    async def scene() -> None:
        async with Running(tmp_path, decider=Broken) as r:
            assert r.steward.stopped is not None
            assert await r.steward.stopped == 3

    play(scene())


def test_the_clock_never_goes_back() -> None:
    times = iter([5.0, 5.5, 5.2, 6.0])
    clock = Clock(lambda: next(times))
    assert [clock() - ORIGIN for _ in range(3)] == [500.0, 500.0, 1000.0]


def test_peers_hear_each_other_and_nobody_else(tmp_path: Path) -> None:
    async def scene() -> None:
        ports = []
        for _ in range(2):
            t, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
            )
            ports.append(t.get_extra_info("sockname")[1])
            t.close()
        stewards = []
        for me in (0, 1):
            (tmp_path / str(me)).mkdir()
            peers = f'peers = {{ "{1 - me}" = "127.0.0.1:{ports[1 - me]}" }}'
            mine = f'number = {me}\n  stewards = 2\n  peer_listen = "127.0.0.1:{ports[me]}"\n  {peers}'
            text = CONFIG.replace("steward {", f"steward {{\n  {mine}")
            stewards.append(Running(tmp_path / str(me), config=text))
        async with stewards[0] as a, stewards[1] as b:
            assert a.steward.peers
            a.steward.peers.socket.sendto(b"\xc1 rubbish", ("127.0.0.1", ports[1]))
            a.steward.peers.socket.sendto(msgspec.msgpack.encode([7, b"x"]), ("127.0.0.1", ports[1]))
            a.do(api.SendToPeer(None, b"hi"), api.SendToPeer(1, b"there"), api.SendToPeer(5, b"nobody"))
            await until(lambda: sum(isinstance(e, api.PeerMessage) for e in b.module.told) == 2)
            got = [e for e in b.module.told if isinstance(e, api.PeerMessage)]
            assert got == [api.PeerMessage(0, b"hi"), api.PeerMessage(0, b"there")]
            assert "peer_messages_dropped_total 2.0" in b.steward.metrics.exposition().decode()

    play(scene())
