"""Pauses the controller while a handover decides which process continues."""

from __future__ import annotations

import asyncio

from .close_codes import CloseCode
from .context import Context, ProcessState
from .engine import Engine
from .load_weights import LoadWeights
from .network import Network
from .output_dispatch import OutputDispatcher
from .peer_services import PeerServices
from .proxy_connections import ProxyConnections
from .step_timer import StepTimer

MAX_FLUSH_MS = 300.0  # time for links to send data written before the pause
FLUSH_POLL_S = 0.001


class PauseControl:
    """Pauses and resumes every component that sends or receives. paused_at_ms: time of the last pause."""

    def __init__(
        self,
        context: Context,
        engine: Engine,
        timer: StepTimer,
        network: Network,
        connections: ProxyConnections,
        load_weights: LoadWeights,
        peers: PeerServices,
        dispatcher: OutputDispatcher,
    ) -> None:
        self._context = context
        self._engine = engine
        self._timer = timer
        self._network = network
        self._connections = connections
        self._load_weights = load_weights
        self._peers = peers
        self._dispatcher = dispatcher
        self.paused_at_ms = 0.0

    async def pause(self) -> None:
        """Stop sending and receiving. Return once written data is sent; close links that do not send it in time."""
        self._context.lifecycle.state = ProcessState.PAUSED
        self.paused_at_ms = self._context.clock()
        self._timer.pause()
        self._connections.pause()
        self._network.pause()
        self._load_weights.pause()
        self._peers.pause()
        for output in self._engine.publish(False):
            self._dispatcher.dispatch(self._context.clock(), output)
        self._connections.pause_reading()
        await self._flush()

    def resume(self, *, is_stale: bool = False) -> None:
        """Resume after a failed handover.

        is_stale: another process may have sent tables to proxies, so all of them receive their tables again.
        """
        self._context.lifecycle.state = ProcessState.ACTIVE
        self._load_weights.resume(is_stale=is_stale)
        self._peers.resume()
        if is_stale:
            self._connections.proxy_admission.rejoin_all()
        self._network.resume()
        self._connections.resume()
        self._timer.request_step()

    async def _flush(self) -> None:
        deadline_ms = self._context.clock() + MAX_FLUSH_MS
        while unsent := self._connections.unsent():
            if self._context.clock() >= deadline_ms:
                break
            await asyncio.sleep(FLUSH_POLL_S)
        for link in unsent:
            link.close(CloseCode.NOT_READING, "")
