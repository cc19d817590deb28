"""Handing this controller over to a new process. `handover_sender` drives it."""

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
    """What became of a handover. failure: why nothing came of it, or empty. successor: number of the new process."""

    failure: str
    successor: int = 0


class Handover:
    """The old process's side: two processes never send at once. config_path: what the new process is started with."""

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
        self._is_under_way = False

    async def run(self, command: list[str] | None = None) -> HandoverResult:
        """Hand over to a new process. command: what starts it, if it is not this program's own command."""
        if self._is_under_way:
            return HandoverResult("a handover is under way")
        config = self._context.config
        if failure := handover_obstacle(config):
            return HandoverResult(failure)
        self._is_under_way = True
        begun = self._context.clock()
        try:
            command = command or successor_command(str(self._config_path))
            log.info("handing over", command=" ".join(command))
            sender = HandoverSender(self, config.store.path, command, config.steward.upgrade_within_ms)
            failure = await sender.run()
        finally:
            self._is_under_way = False
        self._log_result(failure, begun)
        return HandoverResult(failure, sender.process.pid if sender.process else 0)

    # ---- what the sender asks for (`handover_sender.HandoverSource`) ----------------------------------------------

    async def capture_scores(self) -> list[StoredRanking]:
        """The assigner's rendezvous scores, ahead of the state, while this process is still active."""
        return await self._transfer.capture_scores()

    async def pause(self) -> None:
        """Send and receive nothing from here on."""
        await self._pause_control.pause()

    def capture(self) -> CapturedState:
        """All state, and the descriptors of all sockets. Raises OSError if it cannot be handed over."""
        transport = self._peers.transport
        peer_sockets = [transport.socket.fileno()] if transport else []
        return self._transfer.capture(self._network.file_descriptors(), peer_sockets)

    def release_store(self) -> None:
        """Close the store and other files, for the new process."""
        self._store_release.release()

    def take_back(self) -> None:
        """Go on, since nothing came of the handover. Raises StoreLockedError if the store is another controller's."""
        self._store_release.take_back()

    def finish(self) -> None:
        """End this process: the new one is active."""
        self._context.lifecycle.state = ProcessState.SUPERSEDED
        self._context.lifecycle.finish(0)

    def request_stop(self, exit_code: int) -> None:
        """End this process, which cannot go on."""
        self._context.lifecycle.request_stop(exit_code)

    def _log_result(self, failure: str, begun: float) -> None:
        if failure:
            log.error("handover failed; this process goes on", why=failure)
            return
        now = self._context.clock()
        silent_ms = round(now - self._pause_control.paused_at_ms, 1)
        log.info("handed over", ms=round(now - begun), silent_ms=silent_ms)
