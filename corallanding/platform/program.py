"""The program: configuration, signals, the loop. LB_CONFIG names the configuration.

Exit codes: 0 after SIGTERM or SIGINT, 1 if the listening address cannot be had, 2 for a configuration that cannot be
used (one line on standard error names file and key).
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import Any

import uvloop

from .config import BadConfig, Config, read
from .logs import configure, log
from .service import Service


def failed(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """A callback raised: a defect to mend, that costs what the callback was about and nothing else."""
    log.error("%s", context.get("message", ""), exc_info=context.get("exception"))


async def serve(config: Config, path: str) -> int:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(failed)
    try:
        service = Service(config, path, traced=os.environ.get("CORALLANDING_TRACE", "") not in ("", "0"))
        loop.add_signal_handler(signal.SIGHUP, service.reload)
        for sign in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(sign, service.stop)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        await service.run()
    except OSError as fault:
        log.error("cannot listen on %s:%d: %s", *config.listen, fault)
        return 1
    return 0


def run() -> int:
    configure()
    path = os.environ.get("LB_CONFIG", "")
    if not path:
        print("corallanding: LB_CONFIG names no configuration file", file=sys.stderr)
        return 2
    try:
        config = read(path)
    except BadConfig as fault:
        print(f"corallanding: {fault}", file=sys.stderr)
        return 2
    loop = uvloop.new_event_loop()
    try:
        return loop.run_until_complete(serve(config, path))
    finally:
        loop.close()
