"""The platform controller as a program, on loopback against stand-in peers."""

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
from platform_standins import TEST_TIMEOUT_SECONDS, Agent, Hosts, Process, Relay, free, until

from corallanding.resp import encode


class Day:
    """A controller process and its stand-in peers. `dial` is the address of all hosts."""

    def __init__(self, relay: Relay, agent: Agent, hosts: Hosts, dial: str, steward: Process) -> None:
        self.relay, self.agent, self.hosts, self.dial, self.steward = relay, agent, hosts, dial, steward

    async def check_heartbeat(self) -> None:
        """Assert that the controller answers a heartbeat."""
        reader, writer = await self.steward.connect()
        writer.write(encode(["hb"]))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            assert await reader.readexactly(len(encode(["hb_ok"]))) == encode(["hb_ok"])
        writer.close()

    def sound(self) -> bool:
        """Return whether every slice has a host, and only hosts in service."""
        in_service = {host for host, entry in self.agent.hosts.items() if entry["health"] == "in_service"}
        return all(rows and set(rows) <= in_service for rows in self.relay.tables.values())

    def row(self, host: str, health: str = "in_service") -> dict[str, Any]:
        """Return the host list entry of a host."""
        return list_entry(host, health, dial=self.dial)


def day(tmp_path: Path, scenario: Callable[[Day], Awaitable[None]], command: list[str] | None = None) -> None:
    """Run a scenario against a controller that is started with `command` or as the platform does.

    The controller must end with exit code 0 and without a traceback, with at most one call outstanding at any time.
    """

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
        fixture = Day(relay, agent, hosts, dial, Process(config, tmp_path / "config.json"))
        fixture.steward.command = command or fixture.steward.command
        await fixture.steward.start()
        try:
            await fixture.check_heartbeat()
            await scenario(fixture)
            fixture.steward.signal(signal.SIGTERM)
            code, log = await fixture.steward.end()
            assert code == 0, log
            assert "Traceback" not in log, log
            assert relay.outstanding_most == 1
        finally:
            if fixture.steward.process.returncode is None:
                fixture.steward.process.kill()
            for server in (relay, agent, hosts):
                server.close()

    asyncio.run(play())


def test_drains_when_calls_fail_in_any_way_then_they_are_carried_out(tmp_path: Path) -> None:
    async def scenario(fixture: Day) -> None:
        await until(lambda: fixture.relay.calls, "the first call")
        for n, faults in enumerate((["broken", "silent"], ["lost", "spoilt"], ["throttled", "lost", "broken"])):
            fixture.relay.faults.extend(faults)
            fixture.agent.change(fixture.row(f"s-{n}", "terminating"))
            await until(lambda: fixture.sound() and not fixture.relay.faults, f"a drain with the faults {faults}")
        # Slices of hosts that are not drained keep the owners that the relay reported at the start.
        assert all(fixture.relay.tables[n] == {f"s-{n % 6}": 1.0} for n in range(12) if n % 6 > 2)

    day(tmp_path, scenario)


def test_events_when_watch_and_discovery_stall_then_nothing_is_lost(tmp_path: Path) -> None:
    async def scenario(fixture: Day) -> None:
        for _ in range(3):
            watched = fixture.relay.watched
            fixture.relay.break_news()
            await until(lambda w=watched: fixture.relay.watched > w and fixture.relay.watchers, "a new watch")
        fixture.relay.tables[12] = {}
        fixture.relay.give(12)
        await until(fixture.sound, "a host for a slice assigned without table rows")
        fixture.agent.garble = 2
        fixture.agent.change(fixture.row("s-9"))
        fixture.agent.mute = True
        polls = fixture.agent.polls
        await until(lambda: fixture.agent.polls > polls + 1, "another poll after one without an answer")
        fixture.agent.change(fixture.row("s-5", "terminating"))
        fixture.agent.mute = False
        await until(fixture.sound, "a drain once discovery answers again")

    day(tmp_path, scenario)


def test_reload_when_under_load_then_new_addresses_are_used_and_invalid_files_are_not(tmp_path: Path) -> None:
    async def scenario(fixture: Day) -> None:
        await until(lambda: fixture.relay.calls, "the first call")
        relay, agent = Relay(), Agent(list(fixture.agent.hosts.values()))
        relay.tables, relay.proxies = fixture.relay.tables, fixture.relay.proxies
        fixture.steward.path.write_bytes(b'{"listen":')
        fixture.steward.signal(signal.SIGHUP)
        fixture.agent.change(fixture.row("s-0", "terminating"))
        await until(fixture.sound, "a drain with the old configuration")
        old = (fixture.relay, fixture.agent)
        fixture.relay, fixture.agent = relay, agent
        agent.change(fixture.row("s-0", "terminating"))
        fixture.steward.write(store={"address": await relay.open()}, discovery=await agent.open())
        fixture.steward.signal(signal.SIGHUP)
        fixture.steward.signal(signal.SIGHUP)
        await until(lambda: relay.watchers and agent.polls and not old[0].watchers, "the new addresses")
        for server in old:
            server.close()
        agent.change(fixture.row("s-1", "terminating"))
        await until(fixture.sound, "a drain at the new addresses")
        fixture.steward.process.kill()
        await fixture.steward.end()
        agent.change(fixture.row("s-2", "terminating"))
        await fixture.steward.start()
        await fixture.check_heartbeat()
        await until(fixture.sound, "a drain that was listed while the controller was down")
        for server in (relay, agent):
            server.close()

    day(tmp_path, scenario)


def test_drains_when_listed_during_a_switch_to_a_new_relay_then_they_are_carried_out(tmp_path: Path) -> None:
    """Slices are moved after the new relay sent its initial state and before the switch to it.

    The initial state does not contain these moves, yet a drain of one of their new hosts must move the slices again.
    """

    async def scenario(fixture: Day) -> None:
        await until(lambda: fixture.relay.calls, "the first call")
        relay, old = Relay(), fixture.relay
        relay.tables, relay.proxies, relay.ping_after, fixture.relay = old.tables, old.proxies, 0.12, relay
        fixture.steward.write(store={"address": await relay.open()})
        fixture.steward.signal(signal.SIGHUP)
        await until(lambda: relay.watchers, "the initial state of the new relay")
        fixture.agent.change(fixture.row("s-0", "terminating"), fixture.row("s-1", "terminating"))
        await until(lambda: fixture.sound() and not old.watchers, "the drains and the switch to the new relay")
        fixture.agent.change(fixture.row(next(iter(relay.tables[0])), "terminating"))
        await until(fixture.sound, "the drain of a new host")
        weights = [(o["table"], o["endpoint"], o["w"]) for call in relay.calls for o in call if o["op"] == "SET"]
        assert len(weights) == len(set(weights)), "no move is ordered twice"
        old.close()

    day(tmp_path, scenario)


def test_collector_when_hundreds_of_connections_are_unidentified_then_it_stays_connected(tmp_path: Path) -> None:
    async def scenario(fixture: Day) -> None:
        messages = [
            b"",
            encode(["hb"])[:9],
            b"GET / HTTP/1.1\r\n\r\n",
            encode(["telemetry", "locality", "z"]),
            encode(slice_report()),
            b"*1\r\n$999999999\r\n",
            encode(["hb"]),
        ]
        reader, writer = await fixture.steward.connect()
        writer.write(encode(["telemetry", "locality", "a"]) + encode(slice_report(route="lookup")))
        unidentified = []
        for n in range(300):
            unidentified.append(await fixture.steward.connect())
            unidentified[-1][1].write(messages[n % len(messages)])
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            for unidentified_reader, _ in unidentified:
                with contextlib.suppress(ConnectionError):
                    await unidentified_reader.read()  # returns when the controller has closed the connection
        writer.write(encode(slice_report(route="lookup")) + encode(["hb"]))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            assert await reader.readexactly(len(encode(["hb_ok"]))) == encode(["hb_ok"])
        await fixture.check_heartbeat()
        for _, open_writer in [*unidentified, (reader, writer)]:
            open_writer.close()

    day(tmp_path, scenario)


@pytest.mark.parametrize(
    ("content", "expected_error"), [(None, "No such file"), (b"{}", "settings: missing"), (b"{", "invalid JSON")]
)
def test_program_when_the_configuration_is_invalid_then_one_line_and_exit_code_2(
    tmp_path: Path, content: bytes | None, expected_error: str
) -> None:
    path = tmp_path / "config.json"
    if content is not None:
        path.write_bytes(content)
    result = subprocess.run(
        [sys.executable, "-m", "corallanding.platform"],
        env={**os.environ, "LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_SECONDS,
    )
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1
    assert str(path) in result.stderr
    assert expected_error in result.stderr
