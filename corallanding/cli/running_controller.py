"""Requests of the commands to a running controller: a handover, and its health."""

from __future__ import annotations

import http.client
import shlex
import socket
import time
from http import HTTPStatus

from ..config import ControllerConfig
from ..endpoints.endpoint_list import parse_loopback_address
from ..errors import HandoverError

HANDOVER_PHASES = 6  # each takes at most steward.upgrade_within_ms
UPGRADE_TASK = "upgrade"  # if this task is configured, controllers hand over one at a time
HEALTH_TIMEOUT_S = 1.0
HEALTH_POLL_S = 0.05
MAX_SHOWN_BODY = 200  # characters of a health page in an error


class UpgradeError(HandoverError):
    """The handover failed, or the new process is not healthy; the text gives the reason."""


def hand_over(config: ControllerConfig, control: str, command: str | None) -> str:
    """Request a handover over the socket `control`, and return the controller's answer. Raises `UpgradeError`.

    command: the new program and its arguments; None for the program that is running.
    """
    request = "\0".join(["upgrade", *shlex.split(command or "")])
    turn_timeout_ms = config.tasks.wait_most_ms if UPGRADE_TASK in config.task else 0.0
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout((config.steward.upgrade_within_ms * HANDOVER_PHASES + turn_timeout_ms) / 1000.0)
        try:
            connection.connect(control)
            connection.sendall(request.encode() + b"\n")
            answer = connection.makefile().readline().strip()
        except OSError as error:
            raise UpgradeError(f"{control}: {error}") from None
    if not answer.startswith("ok"):
        raise UpgradeError(answer or "the steward closed the connection without an answer")
    return answer


def wait_until_healthy(config: ControllerConfig) -> None:
    """Poll the health page until it reports no fault, for at most one phase of a handover. Raises `UpgradeError`.

    Returns at once if no admin server is configured.
    """
    if config.door is None:
        return
    deadline = time.monotonic() + config.steward.upgrade_within_ms / 1000.0
    problem = ""
    while time.monotonic() < deadline:
        problem = health_problem(config.door.listen)
        if not problem:
            return
        time.sleep(HEALTH_POLL_S)
    raise UpgradeError(f"handed over, but the new process is not healthy: {problem}")


def health_problem(address: str) -> str:
    """Return the fault that the health page at `address` reports; "" if the controller is healthy."""
    host, port = parse_loopback_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=HEALTH_TIMEOUT_S)
    try:
        connection.request("GET", "/healthz")
        response = connection.getresponse()
        body = response.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as error:
        return str(error) or type(error).__name__
    finally:
        connection.close()
    if response.status == HTTPStatus.OK:
        return ""
    return body[:MAX_SHOWN_BODY] or f"status {response.status}"
