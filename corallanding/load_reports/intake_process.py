"""Starts the intake process."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from typing import Any

INTAKE_MODULE = "corallanding.load_reports.intake"


async def spawn_intake(settings: dict[str, Any]) -> tuple[asyncio.subprocess.Process, socket.socket]:
    """Start an intake with these settings; return its process and the controller's end of its socket."""
    controller_socket, intake_socket = socket.socketpair()
    intake_socket.set_inheritable(True)
    command = ["-m", INTAKE_MODULE, str(intake_socket.fileno()), json.dumps(settings)]
    env = {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in sys.path if path)}
    process = await asyncio.create_subprocess_exec(sys.executable, *command, pass_fds=[intake_socket.fileno()], env=env)
    intake_socket.close()
    controller_socket.setblocking(False)
    return process, controller_socket
