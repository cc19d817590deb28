"""What the commands request of a running controller: a handover, and whether it is healthy."""

from __future__ import annotations

import http.client
import shlex
import socket
import time
from http import HTTPStatus

from ..config import ControllerConfig
from ..endpoints.endpoint_list import parse_loopback_address
from ..errors import HandoverError

HANDOVER_PHASES = 6  # each lasts at most steward.upgrade_within_ms
UPGRADE_TASK = "upgrade"  # where it is configured, controllers hand over one at a time
HEALTH_TIMEOUT_S = 1.0
HEALTH_POLL_S = 0.05
MAX_SHOWN_BODY = 200  # characters of a health page that an error shows


class UpgradeError(HandoverError):
    """The controller did not hand over, or its successor is not healthy; the text says why."""


def hand_over(config: ControllerConfig, control: str, command: str | None) -> str:
    """Request a handover over the socket `control`, and return the controller's answer. Raises `UpgradeError`.

    command: the new program and its arguments; without it the program that runs now.
    """
    request = "\0".join(["upgrade", *shlex.split(command or "")])
    turn_ms = config.tasks.wait_most_ms if UPGRADE_TASK in config.task else 0.0
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout((config.steward.upgrade_within_ms * HANDOVER_PHASES + turn_ms) / 1000.0)
        try:
            connection.connect(control)
            connection.sendall(request.encode() + b"\n")
            answer = connection.makefile().readline().strip()
        except OSError as error:
            raise UpgradeError(f"{control}: {error}") from None
    if not answer.startswith("ok"):
        raise UpgradeError(answer or "the steward ended without an answer")
    return answer


def wait_until_healthy(config: ControllerConfig) -> None:
    """Poll the health page for as long as a phase of a handover may last. Raises `UpgradeError`.

    Returns at once where no admin server is configured.
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
    raise UpgradeError(f"handed over, and not well: {problem}")


def health_problem(address: str) -> str:
    """What the health page at `address` says is wrong; "" if the controller is healthy."""
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
