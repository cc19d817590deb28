"""Handover of this controller to a new process, driven by `handover_sender`."""

from __future__ import annotations

from dataclasses import dataclass

from ..snapshot.rankings import StoredRanking
from ..telemetry import log
from .context import Context, ProcessState
from .handover_sender import CapturedState, HandoverSender, handover_obstacle, successor_command
from .network import Network
from .pause_control import PauseControl
from .peer_services import PeerServices
from .state_transfer import StateTransfer
from .store_release import StoreRelease


@dataclass(frozen=True)
class HandoverResult:
    """The outcome of a handover. failure: why it failed, or empty. successor: process id of the new process."""

    failure: str
    successor: int = 0


class Handover:
    """The old process's side: only one of the two processes sends at any time.

    config_path: the configuration file that the new process is started with.
    """

    def __init__(
        self,
        context: Context,
        config_path: str | None,
        pause_control: PauseControl,
        transfer: StateTransfer,
        store_release: StoreRelease,
        network: Network,
        peers: PeerServices,
    ) -> None:
        self._context = context
        self._config_path = config_path
        self._pause_control = pause_control
        self._transfer = transfer
        self._store_release = store_release
        self._network = network
        self._peers = peers
        self._is_in_progress = False

    async def run(self, command: list[str] | None = None) -> HandoverResult:
        """Hand over to a new process. command: starts it in place of this program's own command."""
        if self._is_in_progress:
            return HandoverResult("a handover is under way")
        config = self._context.config
        if failure := handover_obstacle(config):
            return HandoverResult(failure)
        self._is_in_progress = True
        started_at_ms = self._context.clock()
        try:
            command = command or successor_command(str(self._config_path))
            log.info("handing over", command=" ".join(command))
            sender = HandoverSender(self, config.store.path, command, config.steward.upgrade_within_ms)
            failure = await sender.run()
        finally:
            self._is_in_progress = False
        self._log_result(failure, started_at_ms)
        return HandoverResult(failure, sender.process.pid if sender.process else 0)

    # ---- interface for the sender (`handover_sender.HandoverSource`) ----------------------------------------------

    async def capture_scores(self) -> list[StoredRanking]:
        """Return the assigner's rendezvous scores; sent before the state, while this process is still active."""
        return await self._transfer.capture_scores()

    async def pause(self) -> None:
        """Stop sending and receiving."""
        await self._pause_control.pause()

    def capture(self) -> CapturedState:
        """Return the complete state and the descriptors of all sockets. Raises OSError if it cannot be handed over."""
        transport = self._peers.transport
        peer_sockets = [transport.socket.fileno()] if transport else []
        return self._transfer.capture(self._network.file_descriptors(), peer_sockets)

    def release_store(self) -> None:
        """Close the store and other files, so that the new process can open them."""
        self._store_release.release()

    def reopen_and_resume(self) -> None:
        """Resume after a failed handover. Raises StoreLockedError if another controller holds the store."""
        self._store_release.reopen_and_resume()

    def finish(self) -> None:
        """Stop this process: the new one is active."""
        self._context.lifecycle.state = ProcessState.SUPERSEDED
        self._context.lifecycle.finish(0)

    def request_stop(self, exit_code: int) -> None:
        """Stop this process with an exit code, because it cannot continue."""
        self._context.lifecycle.request_stop(exit_code)

    def _log_result(self, failure: str, started_at_ms: float) -> None:
        if failure:
            log.error("handover failed; this process continues", why=failure)
            return
        now_ms = self._context.clock()
        silent_ms = round(now_ms - self._pause_control.paused_at_ms, 1)
        log.info("handed over", ms=round(now_ms - started_at_ms), silent_ms=silent_ms)
