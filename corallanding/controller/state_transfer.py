"""Captures the state of a running controller as one message, and restores it in a new process."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..assignment import Assigner
from ..channel import Channel
from ..endpoints.endpoint_list import EndpointList
from ..snapshot import file as snapshots
from ..snapshot.assigner_state import StoredHostEntry
from ..snapshot.rankings import StoredRanking, dump_rankings, load_rankings
from .active_recording import ActiveRecording
from .connection_state import capture_connection
from .context import Context
from .engine import Engine
from .handover_sender import CapturedState
from .handover_state import HandoverExtras, HandoverState, HostListState, capture_handover, restore_handover
from .load_weights import LoadWeights
from .proxy_connections import ProxyConnections
from .snapshot_keeper import SnapshotKeeper

SLICES_PER_BATCH = 300  # slices whose scores are dumped without yielding to the event loop: a few milliseconds
BATCH_INTERVAL_S = 0.001


class StateTransfer:
    """Captures the state between two decision steps, and restores a state that another process captured."""

    def __init__(
        self,
        context: Context,
        engine: Engine,
        channel: Channel,
        connections: ProxyConnections,
        view: EndpointList,
        load_weights: LoadWeights,
        recording: ActiveRecording,
        snapshots: SnapshotKeeper,
    ) -> None:
        self._context = context
        self._engine = engine
        self._channel = channel
        self._connections = connections
        self._view = view
        self._load_weights = load_weights
        self._recording = recording
        self._snapshots = snapshots

    async def capture_scores(self) -> list[StoredRanking]:
        """Return the assigner's rendezvous scores, dumped in batches because this process is still active."""
        assigner = self._engine.assigner
        if not isinstance(assigner, Assigner):
            return []
        rows: list[StoredRanking] = []
        slices = list(assigner.rendezvous.rankings)
        for start in range(0, len(slices), SLICES_PER_BATCH):
            rows += dump_rankings(assigner.rendezvous, slices[start : start + SLICES_PER_BATCH])
            await asyncio.sleep(BATCH_INTERVAL_S)
        return rows

    def capture(self, servers: Sequence[int], peer_sockets: Sequence[int]) -> CapturedState:
        """Return the complete state of a paused controller, with descriptors.

        servers, peer_sockets: descriptors to hand over before those of the connections. Raises OSError if the state of
        the assigner cannot be handed over.
        """
        state = self._snapshots.capture(self._snapshots.log_number)
        if state is None:
            raise OSError("this module's state cannot be handed over")
        links = [link for link in self._connections.links if link.link.hello and not link.is_closed]
        view = self._view
        host_list = HostListState(
            view.version,
            list(view.entries.values()),
            dict(view.addresses),
            dict(view.process_starts_ms),
            sorted(view.hosts_ever_listed),
        )
        link_states = [
            capture_connection(
                link.link,
                is_joined=link.is_joined,
                is_write_paused=link.is_write_paused,
                heartbeat_sent_at=link.heartbeat_sent_at,
            )
            for link in links
        ]
        feed, intake = self._load_weights.capture()
        handover = capture_handover(
            self._engine,
            state,
            self._channel,
            link_states,
            self._connections.proxy_admission.admission,
            HandoverExtras(host_list, self._load_weights.factors, feed, self._recording.position),
        )
        link_sockets = [link.transport.get_extra_info("socket").fileno() for link in links]
        descriptors = [*servers, *([intake.fileno()] if intake else []), *peer_sockets, *link_sockets]
        return CapturedState(snapshots.pack(handover), descriptors)

    def restore(
        self, handover: HandoverState, now_ms: float, scores: Sequence[StoredRanking], assigner: Assigner | None
    ) -> None:
        """Restore everything except the connections. assigner: set if it was already loaded from the state."""
        view = self._view
        view.version = handover.host_list_version
        view.entries = {entry.host: entry for entry in map(StoredHostEntry.entry, handover.host_entries)}
        view.addresses = dict(handover.host_addresses)
        view.process_starts_ms = dict(handover.host_starts)
        view.hosts_ever_listed = set(handover.known_hosts)
        view.first_seen_starts = {(host, started): since for host, started, since in handover.controller.host_origins}
        self._engine.publisher.addresses = view.addresses
        restore_handover(
            self._engine, handover, self._channel, self._connections.proxy_admission.admission, now_ms, assigner
        )
        if assigner:
            load_rankings(assigner.rendezvous, scores)
        self._load_weights.restore(handover.load_factors)
