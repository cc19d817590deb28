"""What the command asks of a running steward."""

from __future__ import annotations

import http.client
import shlex
import socket
import time

from ..config.models import ControllerConfig
from ..endpoints.endpoint_list import loopback


class Refused(Exception):
    """The steward did not do it, or is not well; the text says why."""


def hand_over(c: ControllerConfig, command: str | None) -> str:
    """Its answer. Raises `Refused`."""
    assert c.steward.control
    with socket.socket(socket.AF_UNIX) as sock:
        turn = c.tasks.wait_most_ms if "upgrade" in c.task else 0.0  # one steward of the fleet at a time
        sock.settimeout((c.steward.upgrade_within_ms * 6 + turn) / 1000.0)
        try:
            sock.connect(c.steward.control)
            sock.sendall("\0".join(["upgrade", *shlex.split(command or "")]).encode() + b"\n")
            answer = sock.makefile().readline().strip()
        except OSError as fault:
            raise Refused(f"{c.steward.control}: {fault}") from None
    if not answer.startswith("ok"):
        raise Refused(answer or "the steward ended without an answer")
    return answer


def well(c: ControllerConfig) -> None:
    """Waits until the door says so, as long as a phase of a handover may last. Raises `Refused`."""
    if c.door is None:
        return
    end, why = time.monotonic() + c.steward.upgrade_within_ms / 1000.0, ""
    while time.monotonic() < end:
        try:
            conn = http.client.HTTPConnection(*loopback(c.door.listen), timeout=1.0)
            conn.request("GET", "/healthz")
            answer = conn.getresponse()
            body = answer.read().decode("utf-8", "replace")
            conn.close()
            if answer.status == 200:
                return
            why = body[:200]
        except (OSError, http.client.HTTPException) as fault:
            why = str(fault)
        time.sleep(0.05)
    raise Refused(f"handed over, and not well: {why}")
