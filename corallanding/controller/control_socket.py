"""The socket on which `corallanding upgrade` requests a handover."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from ..upgrade.pipe import peer_credentials
from .context import Context
from .handover import Handover, HandoverResult
from .peer_services import PeerServices
from .task_service import UPGRADE

REQUEST_TIMEOUT_S = 2.0
TASK_POLL_S = 0.02
MAX_QUOTED_CHARACTERS = 40  # of an unknown request in an answer


def remove_old_socket(path: Path) -> None:
    """Remove the socket of an earlier process. Raises OSError if the path is not a socket."""
    if path.is_socket():
        path.unlink()
    elif path.exists():
        raise OSError(f"steward.control: {path} is there, and is no socket")


class ControlSocket:
    """A UNIX socket that accepts one request per connection, only from this user."""

    def __init__(self, context: Context, handover: Handover, peers: PeerServices) -> None:
        self._context = context
        self._handover = handover
        self._peers = peers
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, if a path is configured. Raises OSError."""
        path = self._context.config.steward.control
        if not path:
            return
        remove_old_socket(Path(path))
        self._server = await asyncio.start_unix_server(self._on_connection, path)
        os.chmod(path, 0o600)

    def stop(self) -> None:
        """Stop listening."""
        if self._server:
            self._server.close()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            _, uid = peer_credentials(writer.get_extra_info("socket"))
            line = await asyncio.wait_for(reader.readline(), REQUEST_TIMEOUT_S)
            parts = line.decode("utf-8", "replace").split("\0")
            request = parts[0].strip()
            if uid != os.getuid():
                answer = "failed: another user"
            elif request != "upgrade":
                answer = f"failed: {request[:MAX_QUOTED_CHARACTERS]!r} is not known here"
            else:
                answer = await self._upgrade([argument.strip() for argument in parts[1:]])
            writer.write(answer.encode() + b"\n")
            await writer.drain()
        except (OSError, TimeoutError):
            pass  # the client has disconnected, or sent no request in time
        finally:
            writer.close()

    async def _upgrade(self, command: list[str]) -> str:
        """Wait for the upgrade task, and hand over; return the answer to the client."""
        waited_ms = await self._wait_for_upgrade_task()
        if waited_ms is None:
            result = HandoverResult("no turn came")
        else:
            result = await self._handover.run(command or None)
        if self._peers.cluster and self._peers.cluster.tasks:
            self._peers.cluster.tasks.release_task(UPGRADE)
        if result.failure:
            return f"failed: {result.failure}"
        wait_text = f" after {waited_ms / 1000.0:.1f} s for its turn" if waited_ms else ""
        return f"ok{wait_text}: handed over to process {result.successor}"

    async def _wait_for_upgrade_task(self) -> float | None:
        """Wait for `task "upgrade"`, if configured, which one controller holds at a time.

        Returns how long it waited, ms; None if the wait timed out.
        """
        tasks = self._peers.cluster.tasks if self._peers.cluster else None
        if tasks is None or UPGRADE not in tasks.core.tasks.specs:
            return 0.0
        started_at_ms = self._context.clock()
        while not tasks.begin_action_on(UPGRADE):
            is_timed_out = self._context.clock() - started_at_ms > self._context.config.tasks.wait_most_ms
            if is_timed_out or self._peers.cluster is None:
                return None
            await asyncio.sleep(TASK_POLL_S)
        return max(1.0, self._context.clock() - started_at_ms)
