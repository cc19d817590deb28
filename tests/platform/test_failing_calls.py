"""System calls that fail for a moment, in ways that Linux documents: no rule is broken, and the program never ends."""

from __future__ import annotations

import asyncio
import errno
import signal
from pathlib import Path

import pytest
from forced_order import run_async
from platform_samples import CONFIG_FILE
from platform_standins import ControllerProcess, StandInDiscovery, free_address, until

from corallanding.platform.service import MAX_LISTEN_SECONDS
from tests.failing_calls import environment
from tests.platform.setup import running_platform

READY_SECONDS = 10.0


@pytest.mark.parametrize(
    ("call", "number"),
    [
        ("socket", errno.ENFILE),
        ("socket", errno.ENOBUFS),
        ("bind", errno.EADDRINUSE),
        ("bind", errno.EADDRNOTAVAIL),
        ("listen", errno.EADDRINUSE),
        ("epoll_create1", errno.EMFILE),
        ("read_file", errno.EIO),
        ("connect", errno.ENETUNREACH),
        ("connect", errno.EADDRNOTAVAIL),
        ("accept", errno.ECONNABORTED),
        ("accept", errno.EPROTO),
        ("accept", errno.ENETDOWN),
        ("accept", errno.ENFILE),
    ],
)
def test_run_when_a_call_fails_for_a_moment_at_the_start_then_it_is_ready(
    tmp_path: Path, call: str, number: int
) -> None:
    """Guards against a program that one refused call at its start ends."""

    async def scenario() -> None:
        count = 1 if call == "read_file" else 3
        failing = environment(FAILING_CALLS=f"{call}:{number}:{count}")
        async with asyncio.timeout(READY_SECONDS), running_platform(tmp_path, environment=failing) as setup:
            await setup.check_heartbeat()
            assert setup.controller.process.returncode is None

    run_async(scenario)


async def start_at_address_in_use(folder: Path) -> tuple[str, asyncio.Server, ControllerProcess]:
    """Start a controller whose address a server of the test uses; return address, server and controller."""
    address = free_address()
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(lambda _reader, _writer: None, host, int(port))
    process = ControllerProcess({**CONFIG_FILE, "listen": address}, folder / "config.json")
    await process.start()
    return address, server, process


def test_run_when_its_address_is_in_use_then_it_ends_with_code_1_in_the_end(tmp_path: Path) -> None:
    async def scenario() -> None:
        address, server, process = await start_at_address_in_use(tmp_path)
        code, log = await process.wait_exit()
        server.close()
        assert code == 1
        assert f"cannot listen on {address}" in log

    run_async(scenario)


def test_run_when_it_is_stopped_while_its_address_is_in_use_then_it_ends_at_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        _, server, process = await start_at_address_in_use(tmp_path)
        assert process.process.stderr
        assert b"listening is refused for now" in await process.process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(MAX_LISTEN_SECONDS / 2.0):
            code, log = await process.wait_exit()
        server.close()
        assert code == 0, log

    run_async(scenario)


def test_reload_when_the_file_cannot_be_read_for_a_moment_then_the_new_addresses_are_used(tmp_path: Path) -> None:
    """Guards against a reload that is given up, so that the addresses of before stay in use for good."""

    async def scenario() -> None:
        async with running_platform(tmp_path) as setup:
            controller = setup.controller
            new_agent = StandInDiscovery(list(setup.agent.hosts.values()))
            controller.write_config(discovery=await new_agent.open())
            content = controller.path.read_bytes()
            controller.path.unlink()
            controller.path.mkdir()  # reading it fails: EISDIR
            controller.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            controller.path.rmdir()
            controller.path.write_bytes(content)
            await until(lambda: new_agent.poll_count, "a poll at the new address")
            new_agent.close()

    run_async(scenario)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_run_when_calls_fail_and_transfers_are_short_all_day_then_tables_follow_the_list(
    tmp_path: Path, seed: int
) -> None:
    async def scenario() -> None:
        failing = environment(FAILING_SHARE="20", FAILING_SEED=str(seed), SHORT_BYTES="7")
        async with running_platform(tmp_path, environment=failing) as setup:
            for host in ("s-0", "s-1", "s-2"):
                setup.agent.update_hosts(setup.host_entry(host, "terminating"))
                await until(setup.has_valid_tables, "tables that follow the list")
                await setup.check_heartbeat()
            setup.controller.send_signal(signal.SIGTERM)
            code, log = await setup.controller.wait_exit()
            assert code == 0, log
            assert "Traceback" not in log, log

    run_async(scenario)
