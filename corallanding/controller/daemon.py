"""The controller: builds its components, starts them in order, and stops them in reverse.

Input becomes events of the engine; the engine's output is persisted, then executed. No decisions are made here.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack

from .. import interface as api
from ..assignment import Assigner
from ..channel import Channel
from ..config import ControllerConfig, assigner_settings
from ..endpoints.endpoint_list import EndpointList
from ..snapshot.assigner_state import load as load_assigner
from ..snapshot.rankings import StoredRanking
from ..store import SqliteStore, Store, StoreContents
from ..telemetry import Metrics, RateLimitedLogger, log
from .clock import Clock
from .components import Components
from .context import Context, Lifecycle, ProcessState
from .event_inbox import Decider
from .factories import Factories
from .handover import HandoverResult
from .handover_state import HandoverState
from .inherited_sockets import InheritedSockets
from .recovery import ControllerState, StateMismatchError, boot_id, check_state
from .resources import Resources, channel_limits, configured_slices, join_admission
from .snapshot_keeper import read_last_state
from .startup_state import PreviousState, restore_assigner


class Controller:
    """One controller. Its components are created by `start`.

    decider: creates the assigner. recording_path: file to record every step in. config_path: read by a reload and by a
    successor process. store, monotonic (s), wall (s) and factories: replaced by simulations and measurements.
    """

    def __init__(
        self,
        config: ControllerConfig,
        decider: Callable[[api.Settings, int], Decider] = Assigner,
        recording_path: str | None = None,
        config_path: str | None = None,
        store: Store | None = None,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        factories: Factories | None = None,
    ) -> None:
        clock = Clock(monotonic)
        self.context = Context(
            config,
            assigner_settings(config),
            clock,
            wall,
            Metrics(),
            RateLimitedLogger(clock),
            Lifecycle(self.stop),
        )
        self.clock = clock
        self.metrics = self.context.metrics
        self.store = store or SqliteStore(config.store.path, config.store.sync)
        self.channel = Channel(channel_limits(config))
        self.view = EndpointList(config.roster.hosts_most)
        self.is_snapshot_trusted = True
        self._recording_path = recording_path
        self._resources = Resources(
            self.context,
            self.store,
            self.channel,
            self.view,
            join_admission(config, clock()),
            decider,
            factories or Factories(),
            config_path,
        )
        self._loaded_assigner: Assigner | None = None  # from a handover, between its check and its restoration
        self._exit_stack = ExitStack()  # synchronous: a failed decision step stops the controller at once

    # ---- start ---------------------------------------------------------------------------------------------------

    async def start(
        self,
        handover: HandoverState | None = None,
        file_descriptors: Sequence[int] = (),
        scores: Sequence[StoredRanking] = (),
    ) -> None:
        """Start every component. Raises StoreError or OSError, after stopping the components that were started.

        handover, file_descriptors, scores: received from the predecessor process. If a start from these fails, nothing
        is stopped: the predecessor continues to use the shared sockets, and this process exits.
        """
        self.context.lifecycle.is_started = True
        try:
            await self._start(handover, file_descriptors, scores)
        except BaseException:
            if handover is None and not file_descriptors:
                self._exit_stack.close()
                self.context.lifecycle.is_started = False
            raise

    async def _start(
        self, handover: HandoverState | None, file_descriptors: Sequence[int], scores: Sequence[StoredRanking]
    ) -> None:
        contents = self.store.open()
        self._exit_stack.callback(self.store.close)
        state = self._continue_clock(handover, contents)
        last_log = handover.controller.log_number if handover else state.log_number if state else 0
        self._build(contents, last_log)
        previous = PreviousState(state, handover, scores, self._loaded_assigner)
        is_restored = restore_assigner(self.components, self.view, contents, previous)
        self._loaded_assigner = None
        inherited = InheritedSockets(file_descriptors)
        self._start_logs(contents, handover, is_restored=is_restored)
        # Queued messages are for links that are not restored yet: nothing is sent before all of them are.
        self.context.lifecycle.state = ProcessState.PAUSED if handover else ProcessState.ACTIVE
        await self._start_services(handover, inherited, is_restored=is_restored)
        await self._start_proxy_side(handover, inherited)
        self._finish_start(contents)

    def _build(self, contents: StoreContents, last_log: int) -> None:
        self.components = Components(self._resources, contents, last_log)
        self.engine = self.components.engine
        self.timer = self.components.timer
        self.connections = self.components.connections
        self.peers = self.components.peers
        self.load_weights = self.components.load_weights
        self.host_sources = self.components.host_sources
        self.persistence = self.components.persistence
        self.snapshots = self.components.snapshots
        self.network = self.components.network

    def _continue_clock(self, handover: HandoverState | None, contents: StoreContents) -> ControllerState | None:
        """Continue the last process's clock; return the state that it left on disk, if usable."""
        if handover:
            self.context.clock.origin_reading_s = handover.controller.clock_zero_s
            return None
        return read_last_state(self.context, contents.start_number, is_trusted=self.is_snapshot_trusted)

    def _start_logs(self, contents: StoreContents, handover: HandoverState | None, *, is_restored: bool) -> None:
        """Start the recording, the snapshots and the step log."""
        self._exit_stack.callback(self.components.recording.stop)
        if self._recording_path:
            # Each start has its own seed: a restart must not repeat the same random numbers.
            seed = self.context.seed(contents.start_number)
            self.components.recording.start(self._recording_path, seed, is_restored=is_restored)
        elif handover and handover.recording:
            self.components.recording.resume(*handover.recording)
        self._exit_stack.callback(self.snapshots.stop)
        self.snapshots.start(is_restored=is_restored)
        self.context.metrics.store_writable.set(1)

    async def _start_services(
        self, handover: HandoverState | None, inherited: InheritedSockets, *, is_restored: bool
    ) -> None:
        """Start all sources of events, except the connections inherited from the predecessor process."""
        stack = self._exit_stack
        stack.callback(self.timer.stop)
        stack.callback(self.components.health_checks.stop)
        self.host_sources.open(self._resources.factories.connect_registry)
        stack.callback(self.network.stop)
        await self.network.start(inherited)
        self.peers.open_transport(inherited)
        stack.callback(self.peers.close_transport)
        stack.callback(self.peers.stop_cluster)
        self.peers.start_cluster(self.components.fleet_view(), self.components.registry.leadership_store)
        stack.callback(self.connections.stop)
        stack.callback(self.load_weights.stop)
        self.load_weights.start(handover.load_reports if handover else None, inherited)
        stack.callback(self.host_sources.stop)
        self.host_sources.start(is_restored=is_restored)
        stack.callback(self.components.registry.stop)
        self.components.registry.start(configured_slices(self.context.config))
        stack.callback(self.components.control_socket.stop)
        await self.components.control_socket.start()

    async def _start_proxy_side(self, handover: HandoverState | None, inherited: InheritedSockets) -> None:
        """Adopt the connections inherited from the predecessor process, and start decisions."""
        if handover:
            await self.connections.adopt(handover.connections, inherited)
            self.context.lifecycle.state = ProcessState.ACTIVE
            self.components.proxy_admission.admit()
            self.components.proxy_channel.pump()
        inherited.close()
        self._exit_stack.callback(self.components.decision_loop.stop)
        self.components.link_monitor.start()
        self.timer.request_step()

    def _finish_start(self, contents: StoreContents) -> None:
        self.context.lifecycle.is_ready = True
        log.info(
            "ready",
            start_number=contents.start_number,
            listen=self.network.addresses(),
            slices=len(self.engine.owned_slices),
            tables=len(contents.tables),
            hosts=len(contents.host_entries),
        )

    # ---- operation -----------------------------------------------------------------------------------------------

    def check_handover(self, handover: HandoverState) -> None:
        """Check that this process can be restored from a state. Raises StateMismatchError."""
        number = self.context.config.steward.number
        check_state(handover.controller, number, self.context.settings, boot_id(), handover.controller.start_number + 1)
        try:
            self._loaded_assigner = load_assigner(self.context.settings, handover.controller.assigner)
        except (ValueError, TypeError) as error:
            raise StateMismatchError(str(error)) from None

    async def upgrade(self, command: list[str] | None = None) -> HandoverResult:
        """Hand over to a new process."""
        return await self.components.handover.run(command)

    def reload(self) -> None:
        """Reload the configuration."""
        self.components.config_reloader.reload()

    async def retire(self) -> None:
        """Stop as planned: first hand slices to the other controllers, within the configured time."""
        await self.components.registry.retire()
        self.stop()

    def stop(self, exit_code: int = 0) -> None:
        """Stop every component, in the reverse order of their starts."""
        lifecycle = self.context.lifecycle
        if not lifecycle.is_running:
            return
        log.info("stopping", code=exit_code)
        try:
            self._exit_stack.close()
        finally:
            lifecycle.finish(exit_code)

    async def wait_stopped(self) -> int:
        """Wait until the controller has stopped; return its exit code."""
        return await self.context.lifecycle.wait_stopped()
