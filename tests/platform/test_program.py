"""A day of the steward as the platform starts it, on loopback against stand-ins; what they saw is asserted."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from platform_samples import CONFIG_FILE, list_entry, slice_report
from platform_standins import LONG, Agent, Hosts, Process, Relay, free, until

from corallanding.resp import encode


class Day:
    """A program on the platform with its stand-ins."""

    def __init__(self, relay: Relay, agent: Agent, hosts: Hosts, dial: str, steward: Process) -> None:
        self.relay, self.agent, self.hosts, self.dial, self.steward = relay, agent, hosts, dial, steward

    async def alive(self) -> None:
        reader, writer = await self.steward.connect()
        writer.write(encode(["hb"]))
        async with asyncio.timeout(LONG):
            assert await reader.readexactly(len(encode(["hb_ok"]))) == encode(["hb_ok"])
        writer.close()

    def sound(self) -> bool:
        """Every slice has a host, and none that is leaving."""
        up = {h for h, e in self.agent.hosts.items() if e["health"] == "in_service"}
        return all(lines and set(lines) <= up for lines in self.relay.tables.values())

    def row(self, host: str, health: str = "in_service") -> dict[str, Any]:
        return list_entry(host, health, dial=self.dial)


def day(tmp_path: Path, scene: Callable[[Day], Awaitable[None]], command: list[str] | None = None) -> None:
    """command: how the steward is started, if not as the platform does."""

    async def play() -> None:
        relay, hosts = Relay(), Hosts()
        dial = await hosts.open()
        rows = [list_entry(f"s-{n}", dial=dial) for n in range(6)]
        agent = Agent(rows)
        relay.tables = {n: {f"s-{n % 6}": 1.0} for n in range(12)}
        relay.proxies = {0, 1}
        config = {
            **CONFIG_FILE,
            "listen": free(),
            "discovery": await agent.open(),
            "store": {"address": await relay.open()},
            "known": {"seq": 1, "whole": True, "hosts": rows},
        }
        d = Day(relay, agent, hosts, dial, Process(config, tmp_path / "config.json"))
        d.steward.command = command or d.steward.command
        await d.steward.start()
        try:
            await d.alive()
            await scene(d)
            d.steward.signal(signal.SIGTERM)
            code, log = await d.steward.end()
            assert code == 0, log
            assert "Traceback" not in log, log
            assert relay.outstanding_most == 1
        finally:
            if d.steward.process.returncode is None:
                d.steward.process.kill()
            for server in (relay, agent, hosts):
                server.close()

    asyncio.run(play())


def test_drains_when_calls_fail_in_any_way_then_they_reach_the_relay(tmp_path: Path) -> None:
    async def scene(d: Day) -> None:
        await until(lambda: d.relay.calls, "the first call")
        for n, faults in enumerate((["broken", "silent"], ["lost", "spoilt"], ["throttled", "lost", "broken"])):
            d.relay.faults.extend(faults)
            d.agent.change(d.row(f"s-{n}", "terminating"))
            await until(lambda: d.sound() and not d.relay.faults, f"drain under {faults}")
        # Owners sat where the store had them: but for the drains nothing had to move.
        assert all(d.relay.tables[n] == {f"s-{n % 6}": 1.0} for n in range(12) if n % 6 > 2)

    day(tmp_path, scene)


def test_events_when_watch_and_discovery_stall_then_nothing_is_lost(tmp_path: Path) -> None:
    async def scene(d: Day) -> None:
        for _ in range(3):
            watched = d.relay.watched
            d.relay.break_news()
            await until(lambda w=watched: d.relay.watched > w and d.relay.watchers, "a new watch")
        d.relay.tables[12] = {}
        d.relay.give(12)
        await until(d.sound, "a slice given without lines gets a host")
        d.agent.garble = 2
        d.agent.change(d.row("s-9"))
        d.agent.mute = True
        polls = d.agent.polls
        await until(lambda: d.agent.polls > polls + 1, "a silent agent is asked anew")
        d.agent.change(d.row("s-5", "terminating"))
        d.agent.mute = False
        await until(d.sound, "the drain is kept once the agent speaks")

    day(tmp_path, scene)


def test_reload_when_under_load_then_new_addresses_are_used_and_invalid_files_are_not(tmp_path: Path) -> None:
    async def scene(d: Day) -> None:
        await until(lambda: d.relay.calls, "the first call")
        relay, agent = Relay(), Agent(list(d.agent.hosts.values()))
        relay.tables, relay.proxies = d.relay.tables, d.relay.proxies
        d.steward.path.write_bytes(b'{"listen":')
        d.steward.signal(signal.SIGHUP)
        d.agent.change(d.row("s-0", "terminating"))
        await until(d.sound, "the old configuration stays")
        old = (d.relay, d.agent)
        d.relay, d.agent = relay, agent
        agent.change(d.row("s-0", "terminating"))
        d.steward.write(store={"address": await relay.open()}, discovery=await agent.open())
        d.steward.signal(signal.SIGHUP)
        d.steward.signal(signal.SIGHUP)
        await until(lambda: relay.watchers and agent.polls and not old[0].watchers, "the new addresses")
        for server in old:
            server.close()
        agent.change(d.row("s-1", "terminating"))
        await until(d.sound, "a drain at the new addresses")
        d.steward.process.kill()
        await d.steward.end()
        agent.change(d.row("s-2", "terminating"))
        await d.steward.start()
        await d.alive()
        await until(d.sound, "a drain while it was dead")
        for server in (relay, agent):
            server.close()

    day(tmp_path, scene)


def test_drains_when_a_new_relay_gives_its_initial_state_then_they_are_carried_out(tmp_path: Path) -> None:
    """Moves made meanwhile are not in what it said: their new hosts must be known when those drain in turn."""

    async def scene(d: Day) -> None:
        await until(lambda: d.relay.calls, "the first call")
        relay, old = Relay(), d.relay
        relay.tables, relay.proxies, relay.ping_after, d.relay = old.tables, old.proxies, 0.12, relay
        d.steward.write(store={"address": await relay.open()})
        d.steward.signal(signal.SIGHUP)
        await until(lambda: relay.watchers, "what stands was said")
        d.agent.change(d.row("s-0", "terminating"), d.row("s-1", "terminating"))
        await until(lambda: d.sound() and not old.watchers, "the drains are kept and the new relay is followed")
        d.agent.change(d.row(next(iter(relay.tables[0])), "terminating"))
        await until(d.sound, "so is the drain of a host that took over")
        lines = [(o["table"], o["endpoint"], o["w"]) for c in relay.calls for o in c if o["op"] == "SET"]
        assert len(lines) == len(set(lines)), "what was moved is known to be moved"
        old.close()

    day(tmp_path, scene)


def test_collectors_when_hundreds_are_unidentified_then_they_stay_connected(tmp_path: Path) -> None:
    async def scene(d: Day) -> None:
        said = [
            b"",
            encode(["hb"])[:9],
            b"GET / HTTP/1.1\r\n\r\n",
            encode(["telemetry", "locality", "z"]),
            encode(slice_report()),
            b"*1\r\n$999999999\r\n",
            encode(["hb"]),
        ]
        reader, writer = await d.steward.connect()
        writer.write(encode(["telemetry", "locality", "a"]) + encode(slice_report(route="lookup")))
        strangers = []
        for n in range(300):
            strangers.append(await d.steward.connect())
            strangers[-1][1].write(said[n % len(said)])
        async with asyncio.timeout(LONG):
            for r, _ in strangers:
                with contextlib.suppress(ConnectionError):
                    await r.read()  # to the end: each is closed
        writer.write(encode(slice_report(route="lookup")) + encode(["hb"]))
        async with asyncio.timeout(LONG):
            assert await reader.readexactly(len(encode(["hb_ok"]))) == encode(["hb_ok"])
        await d.alive()
        for _, w in [*strangers, (reader, writer)]:
            w.close()

    day(tmp_path, scene)


@pytest.mark.parametrize(
    ("content", "says"), [(None, "No such file"), (b"{}", "settings: missing"), (b"{", "invalid JSON")]
)
def test_program_when_the_configuration_is_invalid_then_one_line_and_exit_code_2(
    tmp_path: Path, content: bytes | None, says: str
) -> None:
    path = tmp_path / "config.json"
    if content is not None:
        path.write_bytes(content)
    done = subprocess.run(
        [sys.executable, "-m", "corallanding.platform"],
        env={**os.environ, "LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=LONG,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert str(path) in done.stderr
    assert says in done.stderr
