"""The steward as a program: its start, its signals, its exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
from collections.abc import Callable

import uvloop

from .. import interface as api
from ..assignment import Assigner
from ..config import ConfigError, load_controller
from ..store import StoreError
from ..telemetry import configure, log
from ..upgrade.pipe import HandoverPipe
from .crash_loop import STABLE_AFTER_MS, StartHistory, advise_start
from .daemon import Controller
from .event_inbox import Decider
from .handover_receiver import HandoverReceiver


async def serve(
    path: str,
    record: str | None,
    decider: Callable[[api.Settings, int], Decider] = Assigner,
    take_over: int | None = None,
) -> int:
    config = load_controller(path)
    configure(config.log.format, config.log.level)
    controller = Controller(config, decider, record, path)
    starts, loop = StartHistory(f"{config.store.path}.starts"), asyncio.get_running_loop()
    try:
        if take_over is None:
            wall, before = time.time() * 1000.0, starts.read()
            advice = advise_start(before, wall)
            starts.write([*before[-advice.recent_failures :], wall] if advice.recent_failures else [wall])
            controller.trust_snapshot = advice.may_use_snapshot
            if advice.wait_ms:
                log.error(
                    "crash loop: waiting before the next try", deaths=advice.recent_failures, wait_ms=advice.wait_ms
                )
                await asyncio.sleep(advice.wait_ms / 1000.0)
            await controller.start()
        else:
            pipe = HandoverPipe(socket.socket(fileno=take_over))
            within = config.steward.upgrade_within_ms
            if not await HandoverReceiver(pipe, within, config.store.path, controller.can_take, controller.start).run():
                return 6
    except StoreError as fault:
        log.error("cannot start", why=str(fault))
        return 4
    except OSError as fault:
        log.error("cannot start", why=str(fault))
        return 5
    calm = loop.call_later(STABLE_AFTER_MS / 1000.0, starts.write, [])
    retiring = list[asyncio.Task[None]]()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: retiring.append(loop.create_task(controller.retire())))
    loop.add_signal_handler(signal.SIGHUP, controller.reload)
    loop.add_signal_handler(signal.SIGUSR2, lambda: retiring.append(loop.create_task(controller.upgrade())))  # type: ignore[arg-type]
    assert controller.stopped is not None
    code = await controller.stopped
    calm.cancel()
    if code == 0:
        starts.write([])
    await asyncio.sleep(0.05)  # last words of the links
    if controller.handed_over:
        # The sockets are another process's now: nothing here may say goodbye on them.
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)
    return code


def run(
    path: str,
    record: str | None = None,
    decider: Callable[[api.Settings, int], Decider] = Assigner,
    take_over: int | None = None,
) -> int:
    """The daemon until it ends; its exit code: 0 clean, 2 configuration, 3 module, 4 store, 5 address, 6 nothing came
    of a handover. take_over: the descriptor of a pipe to the process that hands over."""
    try:
        return uvloop.run(serve(path, record, decider, take_over))
    except ConfigError as fault:
        print(fault, file=sys.stderr)
        return 2
