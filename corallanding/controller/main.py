"""The controller program: start, signals, exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

import uvloop

from .. import interface as api
from ..assignment import Assigner
from ..config import ConfigError, ControllerConfig, load_controller
from ..store import StoreError
from ..telemetry import configure, log
from ..transient_errors import RETRY_INTERVAL_SECONDS, is_transient, retry_transient_blocking
from ..upgrade.pipe import HandoverPipe
from .context import ExitCode, ProcessState
from .crash_loop import STABLE_AFTER_MS, StartHistory, advise_start
from .daemon import Controller
from .event_inbox import Decider
from .handover_receiver import HandoverReceiver

MAX_START_SECONDS = 30.0  # for which a start that fails is repeated
LINGER_S = 0.05  # lets the last writes on links be sent before the exit


async def serve(
    path: str,
    recording_path: str | None,
    decider: Callable[[api.Settings, int], Decider] = Assigner,
    handover_fd: int | None = None,
) -> int:
    """Run a controller until it stops; return the exit code. Raises ConfigError."""
    config = load_controller(path)
    configure(config.log.format, config.log.level)
    controller = Controller(config, decider, recording_path, path)
    starts = StartHistory(f"{config.store.path}.starts")
    try:
        if handover_fd is None:
            await start_from_store(controller, starts)
        elif not await take_over(controller, config, handover_fd):
            return ExitCode.HANDOVER_FAILED
    except StoreError as error:
        log.error("cannot start", why=str(error))
        return ExitCode.STORE
    except OSError as error:
        log.error("cannot start", why=str(error))
        return ExitCode.ADDRESS
    stable_timer = asyncio.get_running_loop().call_later(STABLE_AFTER_MS / 1000.0, starts.write, [])
    signal_tasks: set[asyncio.Task[Any]] = set()
    handle_signals(controller, signal_tasks)
    exit_code = await controller.wait_stopped()
    stable_timer.cancel()
    if exit_code == ExitCode.CLEAN:
        starts.write([])
    await asyncio.sleep(LINGER_S)
    if controller.context.lifecycle.state is ProcessState.SUPERSEDED:
        exit_silently(exit_code)
    return exit_code


async def start_from_store(controller: Controller, starts: StartHistory) -> None:
    """Start from the store, after a backoff in a crash loop. Raises StoreError or OSError."""
    wall_ms = time.time() * 1000.0
    earlier_starts = starts.read()
    advice = advise_start(earlier_starts, wall_ms)
    starts.write([*earlier_starts[-advice.recent_failures :], wall_ms] if advice.recent_failures else [wall_ms])
    controller.is_snapshot_trusted = advice.may_use_snapshot
    if advice.wait_ms:
        log.error("crash loop: waiting before the next attempt", deaths=advice.recent_failures, wait_ms=advice.wait_ms)
        await asyncio.sleep(advice.wait_ms / 1000.0)
    await start_persistently(controller)


async def start_persistently(controller: Controller) -> None:
    """Start, and repeat that while it fails for a reason that may pass, as a full disk or an address in use."""
    deadline_s = time.monotonic() + MAX_START_SECONDS
    attempts = 0
    while True:
        attempts += 1
        try:
            await controller.start()
        except (StoreError, OSError) as error:
            is_passing = error.is_transient if isinstance(error, StoreError) else is_transient(error)
            if not is_passing or time.monotonic() >= deadline_s:
                raise
            if attempts == 1:
                log.warning("start fails for now; it is repeated", why=str(error))
        else:
            return
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)


async def take_over(controller: Controller, config: ControllerConfig, handover_fd: int) -> bool:
    """Take over from the process at the other end of a pipe; return false if the handover failed."""
    pipe = HandoverPipe(socket.socket(fileno=handover_fd))
    timeout_ms = config.steward.upgrade_within_ms
    receiver = HandoverReceiver(pipe, timeout_ms, config.store.path, controller.check_handover, controller.start)
    return await receiver.run()


def handle_signals(controller: Controller, tasks: set[asyncio.Task[Any]]) -> None:
    """Retire, reload and upgrade on signals. tasks: holds references to the tasks that signals start."""
    loop = asyncio.get_running_loop()

    def retire() -> None:
        tasks.add(loop.create_task(controller.retire()))

    def upgrade() -> None:
        tasks.add(loop.create_task(controller.upgrade()))

    loop.add_signal_handler(signal.SIGTERM, retire)
    loop.add_signal_handler(signal.SIGINT, retire)
    loop.add_signal_handler(signal.SIGHUP, controller.reload)
    loop.add_signal_handler(signal.SIGUSR2, upgrade)


def exit_silently(exit_code: int) -> None:
    """Exit at once: the successor process uses the sockets, and nothing may be sent on them."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(exit_code)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop, for which descriptors may lack for a moment."""
    return retry_transient_blocking(uvloop.new_event_loop, MAX_START_SECONDS)


def run(
    path: str,
    record: str | None = None,
    decider: Callable[[api.Settings, int], Decider] = Assigner,
    take_over: int | None = None,
) -> int:
    """Run the controller until it stops; return its exit code, an `ExitCode`.

    record: the file to record every step in. take_over: the descriptor of the pipe to the process that hands over.
    """
    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            return runner.run(serve(path, record, decider, take_over))
    except ConfigError as error:
        print(error, file=sys.stderr)
        return ExitCode.CONFIGURATION
