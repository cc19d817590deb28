"""A steward under load and under attack: late turns, storms of joins, links that abuse it, descriptors that run out."""

from __future__ import annotations

import asyncio
import resource
import socket
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sockets import CONFIG, Peer, Running, Scripted, until

from corallanding import interface as api
from corallanding.controller.acceptor import Listener
from corallanding.controller.join_admission import JoinAdmission
from corallanding.controller.overload import OverloadDetector, OverloadLimits
from corallanding.wire import frames

# ---- joins ---------------------------------------------------------------------------------------------------


def test_a_thousand_joins_go_at_the_pace_and_in_the_order_of_coming() -> None:
    joins = JoinAdmission(rate_per_second=100.0, min_interval_ms=500.0, max_interval_ms=4000.0, now=0.0)
    for f in range(1000):
        joins.request(0.0, f)
    log = [(now, f) for now in range(0, 12_000, 10) for f in joins.admit_due(float(now))]
    assert [f for _, f in log] == list(range(1000))
    assert len([1 for now, _ in log if now == 0]) == 25
    assert 9_700 <= log[-1][0] <= 9_800
    assert joins.next_at(12_000.0) is None


def test_one_that_comes_in_a_loop_waits_longer_and_does_not_hold_up_the_others() -> None:
    joins = JoinAdmission(rate_per_second=10.0, min_interval_ms=500.0, max_interval_ms=4000.0, now=0.0)
    went: dict[int, list[int]] = {1: [], 2: []}
    for now in range(0, 60_000, 10):
        joins.request(float(now), 1)  # joins again at once, for ever
        if now == 30_000:
            joins.request(float(now), 2)
        for f in joins.admit_due(float(now)):
            went[f].append(now)
    gaps = [b - a for a, b in zip(went[1], went[1][1:], strict=False)]
    assert gaps[:5] == [500, 1000, 2000, 4000, 4000]
    assert max(gaps) <= 4010
    assert went[2] == [30_000]
    joins.request(90_000.0, 1)
    assert joins.admit_due(90_000.0) == [1], "after a calm time it is as any other"


def test_a_forwarder_whose_link_broke_while_it_waited_is_passed_over() -> None:
    joins = JoinAdmission(rate_per_second=1.0, min_interval_ms=500.0, max_interval_ms=4000.0, now=0.0)
    for f in (1, 2, 3):
        joins.request(0.0, f)
    joins.cancel(2)
    assert [f for now in range(0, 5000, 100) for f in joins.admit_due(float(now))] == [1, 3]


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(["ask", "forget", "run"]), st.integers(0, 3), st.floats(1, 3000))))
def test_nobody_waits_for_ever_and_nobody_goes_unasked(moves: list[tuple[str, int, float]]) -> None:
    joins = JoinAdmission(rate_per_second=20.0, min_interval_ms=300.0, max_interval_ms=2000.0, now=0.0)
    now, wants = 0.0, set[int]()
    for what, f, ms in moves:
        if what == "ask":
            assert joins.request(now, f) <= now + 2000.0
            wants.add(f)
        elif what == "forget":
            joins.cancel(f)
            wants.discard(f)
        else:
            now += ms
            gone = joins.admit_due(now)
            assert set(gone) <= wants
            assert len(set(gone)) == len(gone)
            wants -= set(gone)
    while wants:
        at = joins.next_at(now)
        assert at is not None
        assert at <= now + 2000.0
        now = max(now + 1.0, at)
        wants -= set(joins.admit_due(now))


# ---- overload ------------------------------------------------------------------------------------------------


def test_a_turn_waits_while_the_steward_is_late_and_no_longer_than_the_settings_say() -> None:
    o = OverloadDetector(OverloadLimits(max_lateness_ms=100.0, max_busy_share=0.5, max_delay_ms=1000.0))
    assert not o.should_delay(0.0, 0)
    o.on_lateness(400.0)
    waits = []
    for now in range(0, 1100, 100):
        o.on_lateness(400.0)
        waits.append(o.should_delay(float(now), 0))
    assert waits == [True] * 10 + [False]
    assert o.delayed_timers == 1
    lags = []
    while o.is_overloaded:
        o.on_lateness(0.0)
        lags.append(o.lateness_ms)
    assert lags == [200.0, 100.0, 50.0, 25.0]
    assert not o.should_delay(1300.0, 0)


def test_steps_that_fill_the_time_strain_it_and_a_single_long_one_does_not() -> None:
    o = OverloadDetector(OverloadLimits(max_lateness_ms=1e9, max_busy_share=0.5))
    now = 0.0
    for _ in range(20):
        now += 100.0
        o.on_step(now, 80.0 if now == 700.0 else 5.0)
        assert not o.is_overloaded
    for _ in range(20):
        now += 100.0
        o.on_step(now, 90.0)
    assert o.is_overloaded
    for _ in range(20):
        now += 100.0
        o.on_step(now, 5.0)
    assert not o.is_overloaded


class Slow(Scripted):
    """A module whose ordinary turns cost more than the time that there is."""

    deferrable_timer = 0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.turns: list[float] = []
        self.begun = False

    def step(self, now: float, events: Any) -> list[api.Action]:
        out = super().step(now, events)
        if not self.begun or any(isinstance(e, api.TimerFired) and e.timer == 0 for e in events):
            self.begun = True
            self.turns.append(now)
            time.sleep(0.08)
            out.append(api.StartTimer(10.0, 0))
        return out


def test_a_late_steward_puts_off_turns_and_not_drains(tmp_path: Path) -> None:
    async def scene() -> None:
        config = CONFIG.replace("steward {\n", "steward {\n  late_ms = 50\n  put_off_most_ms = 1000\n")
        async with Running(tmp_path, decider=Slow, config=config) as r, asyncio.timeout(20):
            peer = await r.joined(1)
            await until(lambda: r.steward.engine.overload.is_overloaded)
            module = r.module
            assert isinstance(module, Slow)
            before, begun = len(module.turns), time.monotonic()
            for k in range(10):
                peer.say(frames.Beat())
                r.do(api.SetWeight(0, 10 + k, 1.0), api.Cordon(k, True), api.PublishVersion(k + 1))
                order = await peer.until(frames.Orders, lambda f, k=k: f.mark == k + 1)
                assert order.cordons == [(k, True)]
                peer.say(frames.Ack(k + 1))
            took = time.monotonic() - begun
            assert len(module.turns) - before <= took / 0.1 + 2, "turns went on at their pace"
            assert r.steward.engine.overload.delayed_timers > 0

    asyncio.run(scene())


# ---- links that abuse the steward ------------------------------------------------------------------------------


def test_silent_strangers_lose_their_place_to_those_that_come(tmp_path: Path) -> None:
    async def scene() -> None:
        config = CONFIG.replace("hello_within_ms = 300", "hello_within_ms = 5000\n  strangers_most = 5")
        async with Running(tmp_path, config=config) as r, asyncio.timeout(20):
            silent = [await r.peer() for _ in range(40)]
            one = await r.joined(1)
            assert len(r.steward.connections.strangers) <= 5
            assert len(r.steward.connections.links) <= 6
            r.do(api.SetWeight(0, 10, 1.0))
            assert (await one.until(frames.Orders)).lines == [(0, 10, 1.0)]
            assert await silent[0].ended() == "no-hello"

    asyncio.run(scene())


def test_a_forwarder_that_beats_and_never_acks_is_cut_off(tmp_path: Path) -> None:
    async def scene() -> None:
        config = CONFIG.replace("silence_ms = 600", "silence_ms = 5000\n  ack_within_ms = 300")
        async with Running(tmp_path, config=config) as r, asyncio.timeout(20):
            good, bad = await r.joined(1), await r.joined(2)
            r.do(api.SetWeight(0, 10, 1.0), api.PublishVersion(1))
            for peer in (good, bad):
                await peer.until(frames.Orders)
            good.say(frames.Ack(1))
            assert await bad.ended() == "no-acks"
            assert 1 in r.steward.connections.forwarders
            assert 2 not in r.steward.connections.forwarders

    asyncio.run(scene())


def test_a_flood_of_bytes_ends_that_link_alone(tmp_path: Path) -> None:
    async def scene() -> None:
        config = CONFIG.replace("frame_most_bytes = 4096", "frame_most_bytes = 4096\n  bytes_per_s = 20000")
        async with Running(tmp_path, config=config) as r, asyncio.timeout(20):
            good, bad = await r.joined(1), await r.joined(2)
            sums = frames.encode(frames.Sums(1000.0, [(10, 5, 0, 200.0)] * 200))
            for _ in range(30):
                bad.writer.write(sums)
            assert await bad.ended() == "protocol"
            r.do(api.SetWeight(0, 10, 1.0))
            assert (await good.until(frames.Orders)).lines == [(0, 10, 1.0)]

    asyncio.run(scene())


def test_reads_in_a_loop_are_answered_ever_more_seldom(tmp_path: Path) -> None:
    async def scene() -> None:
        config = CONFIG.replace("beat_ms = 100", "beat_ms = 100\n  again_ms = 100\n  again_most_ms = 400")
        async with Running(tmp_path, config=config) as r, asyncio.timeout(20):
            bad = await r.joined(2)
            begun = time.monotonic()
            for n in range(2, 5):
                while sum(isinstance(f, frames.Tables) for f in bad.got) < n:
                    bad.say(frames.Read())
                    data = await bad.reader.read(65536)
                    assert data, "closed"
                    bad.got += bad.frames.feed(data)
            assert time.monotonic() - begun >= 0.1 + 0.2 + 0.4 - 0.02

    asyncio.run(scene())


def test_a_forwarder_that_reads_a_byte_at_a_time_delays_nobody(tmp_path: Path) -> None:
    """Its orders wait in the channel, not in its socket's buffer, until its share is full; then it is cut off."""

    async def scene() -> None:
        config = CONFIG.replace("silence_ms = 600", "silence_ms = 10000")
        config += "channel {\n  queue_most_lines = 60000\n  rate_lines_per_s = 10000000\n}\n"
        async with Running(tmp_path, config=config) as r:
            async with asyncio.timeout(25):
                good = await r.joined(1)
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", r.port))
                bad = Peer(*await asyncio.open_connection(sock=sock, limit=16))
                bad.hello(2)
                await until(lambda: 2 in r.steward.engine.proxy_zones)
                bad.reader._transport.pause_reading()  # type: ignore[attr-defined]
                n = 0
                while 2 in r.steward.engine.proxy_zones:
                    n += 1
                    r.do(
                        *(api.SetWeight(s, 1000 + h, 1.0) for s in range(4) for h in range(2500)), api.PublishVersion(n)
                    )
                    order = await good.until(frames.Orders, lambda f, n=n: f.mark == n)
                    good.say(frames.Ack(order.mark))
                    good.got.clear()
                assert n > 3
                r.do(api.SetWeight(0, 9, 1.0), api.PublishVersion(n + 1))
                await good.until(frames.Orders, lambda f: f.mark == n + 1)

    asyncio.run(scene())


def test_connections_are_taken_at_a_pace_and_in_spite_of_missing_descriptors() -> None:
    async def scene() -> None:
        words: list[str] = []
        made: list[float] = []

        class One(asyncio.Protocol):
            def connection_made(self, transport: Any) -> None:
                made.append(asyncio.get_running_loop().time())

        server = Listener("127.0.0.1", 0, 200, 100.0, One, words.append)
        port = server.socket.getsockname()[1]
        socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(30)]
        await until(lambda: len(made) == 30)
        assert made[-1] - made[0] >= 0.2, "thirty at a hundred a second, five of them at once"
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        more = [socket.socket() for _ in range(10)]
        lowest = max(s.fileno() for s in more) + 40
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
        filler = []
        try:
            while True:
                filler.append(socket.socket())
        except OSError:
            pass
        try:
            for s in more[:5]:
                s.connect(("127.0.0.1", port))
            await until(lambda: any("descriptor" in w for w in words))
            assert len(made) == 30
            while filler:
                filler.pop().close()
            await until(lambda: len(made) == 35)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            server.close()
            for s in (*socks, *more, *filler):
                s.close()

    asyncio.run(scene())


@pytest.mark.parametrize("loop", range(2))
def test_a_connection_loop_leaves_the_others_in_time(tmp_path: Path, loop: int) -> None:
    """One that connects, says hello under its number and hangs up, over and over, and one that hangs up unheard."""

    async def scene() -> None:
        config = CONFIG.replace("beat_ms = 100", "beat_ms = 100\n  accepts_per_s = 200\n  strangers_most = 4")
        async with Running(tmp_path, config=config) as r, asyncio.timeout(25):
            good = await r.joined(1)
            over = False

            async def hostile(k: int) -> None:
                while not over:
                    peer = await r.peer()
                    if loop:
                        peer.hello(2 + k % 3)
                    peer.writer.close()

            tasks = [asyncio.create_task(hostile(k)) for k in range(8)]
            for n in range(1, 30):
                r.do(api.SetWeight(0, n, 1.0), api.PublishVersion(n))
                await good.until(frames.Orders, lambda f, n=n: f.mark == n)
                good.say(frames.Ack(n))
                await asyncio.sleep(0.03)
            over = True
            for t in tasks:
                t.cancel()
            assert 1 in r.steward.connections.forwarders
            assert r.steward.network.listener.accepted_count < 29 * 0.5 * 200 + 200

    asyncio.run(scene())
