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

import pytest
from platform_samples import slice_report
from platform_standins import (
    TEST_TIMEOUT_SECONDS,
    StandInDiscovery,
    StandInRelay,
    until,
)

from corallanding.resp import encode
from tests.platform.setup import PlatformSetup, running_platform


def run_scenario(
    tmp_path: Path, scenario: Callable[[PlatformSetup], Awaitable[None]], command: list[str] | None = None
) -> None:
    """Run a scenario against a controller that is started with `command` or as the platform does.

    The controller must end with exit code 0 and without a traceback, with at most one call outstanding at any time.
    """

    async def run() -> None:
        async with running_platform(tmp_path, command) as setup:
            await scenario(setup)
            setup.controller.send_signal(signal.SIGTERM)
            code, log = await setup.controller.wait_exit()
            assert code == 0, log
            assert "Traceback" not in log, log
            assert setup.relay.max_outstanding_calls == 1

    asyncio.run(run())


def test_drains_when_calls_fail_in_any_way_then_they_are_carried_out(tmp_path: Path) -> None:
    async def scenario(fixture: PlatformSetup) -> None:
        await until(lambda: fixture.relay.executed_calls, "the first call")
        for n, faults in enumerate(
            (["disconnect", "no_answer"], ["lost", "truncated"], ["throttled", "lost", "disconnect"])
        ):
            fixture.relay.faults.extend(faults)
            fixture.agent.update_hosts(fixture.host_entry(f"s-{n}", "terminating"))
            await until(
                lambda: fixture.has_valid_tables() and not fixture.relay.faults, f"a drain with the faults {faults}"
            )
        # Slices of hosts that are not drained keep the owners that the relay reported at the start.
        assert all(fixture.relay.tables[n] == {f"s-{n % 6}": 1.0} for n in range(12) if n % 6 > 2)

    run_scenario(tmp_path, scenario)


def test_events_when_watch_and_discovery_stall_then_nothing_is_lost(tmp_path: Path) -> None:
    async def scenario(fixture: PlatformSetup) -> None:
        for _ in range(3):
            watch_count = fixture.relay.watch_count
            fixture.relay.break_watches()
            await until(lambda w=watch_count: fixture.relay.watch_count > w and fixture.relay.watchers, "a new watch")
        fixture.relay.tables[12] = {}
        fixture.relay.assign_slice(12)
        await until(fixture.has_valid_tables, "a host for a slice assigned without table rows")
        fixture.agent.invalid_answers = 2
        fixture.agent.update_hosts(fixture.host_entry("s-9"))
        fixture.agent.is_silent = True
        poll_count = fixture.agent.poll_count
        await until(lambda: fixture.agent.poll_count > poll_count + 1, "another poll after one without an answer")
        fixture.agent.update_hosts(fixture.host_entry("s-5", "terminating"))
        fixture.agent.is_silent = False
        await until(fixture.has_valid_tables, "a drain once discovery answers again")

    run_scenario(tmp_path, scenario)


def test_reload_when_under_load_then_new_addresses_are_used_and_invalid_files_are_not(tmp_path: Path) -> None:
    async def scenario(fixture: PlatformSetup) -> None:
        await until(lambda: fixture.relay.executed_calls, "the first call")
        relay, agent = StandInRelay(), StandInDiscovery(list(fixture.agent.hosts.values()))
        relay.tables, relay.proxies = fixture.relay.tables, fixture.relay.proxies
        fixture.controller.path.write_bytes(b'{"listen":')
        fixture.controller.send_signal(signal.SIGHUP)
        fixture.agent.update_hosts(fixture.host_entry("s-0", "terminating"))
        await until(fixture.has_valid_tables, "a drain with the old configuration")
        old = (fixture.relay, fixture.agent)
        fixture.relay, fixture.agent = relay, agent
        agent.update_hosts(fixture.host_entry("s-0", "terminating"))
        fixture.controller.write_config(store={"address": await relay.open()}, discovery=await agent.open())
        fixture.controller.send_signal(signal.SIGHUP)
        fixture.controller.send_signal(signal.SIGHUP)
        await until(lambda: relay.watchers and agent.poll_count and not old[0].watchers, "the new addresses")
        for server in old:
            server.close()
        agent.update_hosts(fixture.host_entry("s-1", "terminating"))
        await until(fixture.has_valid_tables, "a drain at the new addresses")
        fixture.controller.process.kill()
        await fixture.controller.wait_exit()
        agent.update_hosts(fixture.host_entry("s-2", "terminating"))
        await fixture.controller.start()
        await fixture.check_heartbeat()
        await until(fixture.has_valid_tables, "a drain that was listed while the controller was down")
        for server in (relay, agent):
            server.close()

    run_scenario(tmp_path, scenario)


def test_drains_when_listed_during_a_switch_to_a_new_relay_then_they_are_carried_out(tmp_path: Path) -> None:
    """Slices are moved after the new relay sent its initial state and before the switch to it.

    The initial state does not contain these moves, yet a drain of one of their new hosts must move the slices again.
    """

    async def scenario(fixture: PlatformSetup) -> None:
        await until(lambda: fixture.relay.executed_calls, "the first call")
        relay, old = StandInRelay(), fixture.relay
        relay.tables = old.tables
        relay.proxies = old.proxies
        relay.first_ping_delay_seconds = 0.12
        fixture.relay = relay
        fixture.controller.write_config(store={"address": await relay.open()})
        fixture.controller.send_signal(signal.SIGHUP)
        await until(lambda: relay.watchers, "the initial state of the new relay")
        fixture.agent.update_hosts(fixture.host_entry("s-0", "terminating"), fixture.host_entry("s-1", "terminating"))
        await until(
            lambda: fixture.has_valid_tables() and not old.watchers, "the drains and the switch to the new relay"
        )
        fixture.agent.update_hosts(fixture.host_entry(next(iter(relay.tables[0])), "terminating"))
        await until(fixture.has_valid_tables, "the drain of a new host")
        weights = [
            (o["table"], o["endpoint"], o["w"]) for call in relay.executed_calls for o in call if o["op"] == "SET"
        ]
        assert len(weights) == len(set(weights)), "no move is ordered twice"
        old.close()

    run_scenario(tmp_path, scenario)


def test_collector_when_hundreds_of_connections_are_unidentified_then_it_stays_connected(tmp_path: Path) -> None:
    async def scenario(fixture: PlatformSetup) -> None:
        messages = [
            b"",
            encode(["hb"])[:9],
            b"GET / HTTP/1.1\r\n\r\n",
            encode(["telemetry", "locality", "z"]),
            encode(slice_report()),
            b"*1\r\n$999999999\r\n",
            encode(["hb"]),
        ]
        reader, writer = await fixture.controller.connect()
        writer.write(encode(["telemetry", "locality", "a"]) + encode(slice_report(route="lookup")))
        unidentified = []
        for n in range(300):
            unidentified.append(await fixture.controller.connect())
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

    run_scenario(tmp_path, scenario)


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
