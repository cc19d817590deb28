"""The program: configuration, signals, the event loop. LB_CONFIG names the configuration file.

Exit codes: 0 after SIGTERM or SIGINT, 1 if the listening address cannot be used, 2 if the configuration cannot be used
(one line on standard error names file and key).
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from enum import IntEnum
from typing import Any

import uvloop

from ..transient_errors import retry_transient_blocking
from .config import Config, InvalidConfigError, read
from .logs import configure, log
from .service import PlatformController

MAX_RETRY_SECONDS = 5.0  # for which reading the configuration and creating the event loop are repeated


class ExitCode(IntEnum):
    """Exit codes of the program."""

    STOPPED = 0
    ADDRESS_UNUSABLE = 1
    CONFIGURATION_UNUSABLE = 2


def on_callback_error(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception of a callback: a defect to fix, which affects only the work of that callback."""
    log.error("%s", context.get("message", ""), exc_info=context.get("exception"))


async def serve(config: Config, path: str) -> int:
    """Run the controller until a signal stops it; return the exit code."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(on_callback_error)
    is_traced = os.environ.get("CORALLANDING_TRACE", "") not in ("", "0")
    try:
        controller = PlatformController(config, path, is_traced)
        loop.add_signal_handler(signal.SIGHUP, controller.reload)
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(stop_signal, controller.stop)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        await controller.run()
    except OSError as error:
        log.error("cannot listen on %s:%d: %s", *config.listen, error)
        return ExitCode.ADDRESS_UNUSABLE
    return ExitCode.STOPPED


def run() -> int:
    """Read the configuration and serve; return the exit code."""
    configure()
    path = os.environ.get("LB_CONFIG", "")
    if not path:
        print("corallanding: LB_CONFIG does not name a configuration file", file=sys.stderr)
        return ExitCode.CONFIGURATION_UNUSABLE
    try:
        config = read(path, MAX_RETRY_SECONDS)
    except InvalidConfigError as error:
        print(f"corallanding: {error}", file=sys.stderr)
        return ExitCode.CONFIGURATION_UNUSABLE
    loop = retry_transient_blocking(uvloop.new_event_loop, MAX_RETRY_SECONDS)
    try:
        return loop.run_until_complete(serve(config, path))
    finally:
        loop.close()
