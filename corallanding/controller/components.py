"""Builds the components of one controller, with constructor injection of their dependencies."""

from __future__ import annotations

from ..store import StoreContents
from .active_recording import ActiveRecording
from .config_reload import ConfigReloader
from .control_socket import ControlSocket
from .engine import Engine
from .fleet_source import ControllerFleetSource
from .fleet_view import FleetView
from .handover import Handover
from .health_checks import HealthChecks
from .host_sources import HostSources
from .link_monitor import LinkMonitor
from .link_registry import LinkRegistry
from .load_weights import LoadWeights
from .network import Network
from .output_dispatch import OutputDispatcher
from .overload import OverloadLimits
from .partial_frames import PartialFrames
from .pause_control import PauseControl
from .peer_services import PeerServices
from .persistence import TablePersistence
from .proxy_admission import ProxyAdmission
from .proxy_channel import ProxyChannel
from .registry_slices import RegistrySlices
from .resources import Resources, configured_slices, has_slice_leases
from .snapshot_keeper import SnapshotKeeper
from .state_transfer import StateTransfer
from .status_views import StatusViews
from .step_timer import StepTimer
from .store_release import StoreRelease


class Components:
    """Builds all components without starting them.

    contents: of the store. last_log: number of the last process's step log.
    """

    def __init__(self, resources: Resources, contents: StoreContents, last_log: int) -> None:
        self._resources = resources
        self.context = resources.context
        self._build_core(contents, last_log)
        self._build_proxy_side()
        self._build_decisions()
        self._build_operations()

    def _build_core(self, contents: StoreContents, last_log: int) -> None:
        """Build the engine and the components that depend only on it."""
        context = self.context
        self.engine = self._build_engine(contents)
        self.timer = StepTimer(context, self.engine)
        request_step = self.timer.request_step
        self.peers = PeerServices(context, self.engine, request_step)
        self.load_weights = LoadWeights(
            context, self.engine, self._resources.view, self._resources.factories.feed, request_step
        )
        self.snapshots = SnapshotKeeper(context, self.engine, self._resources.view, last_log)
        self.recording = ActiveRecording(context)
        self.health_checks = HealthChecks(context, self.engine, self.peers, request_step)
        self.registry = RegistrySlices(context, self.engine, self._resources.factories.connect_registry, request_step)

    def _build_engine(self, contents: StoreContents) -> Engine:
        config = self.context.config
        overload = OverloadLimits(config.steward.late_ms, config.steward.busy_share, config.steward.put_off_most_ms)
        engine = Engine(
            self.context.settings,
            self.context.seed(contents.start_number),
            contents,
            () if has_slice_leases(config) else configured_slices(config),
            self._resources.view.addresses,
            self._resources.decider,
            overload,
        )
        now_ms = self.context.clock()
        engine.recall_until_ms = now_ms - 1.0 if has_slice_leases(config) else now_ms + config.forwarders.silence_ms * 2
        engine.usage.max_keys = config.reports.keys_most
        return engine

    def _build_proxy_side(self) -> None:
        """Build the connections of proxies, their admission and the channel."""
        registry = LinkRegistry(PartialFrames(self.context.config.forwarders.frame_most_bytes))
        self.proxy_channel = ProxyChannel(self.context, self._resources.channel, registry)
        self.proxy_admission = ProxyAdmission(
            self.context,
            self.engine,
            self._resources.channel,
            self._resources.admission,
            registry,
            self.peers,
            self.timer.request_step,
        )
        self.connections = self._resources.factories.proxy_connections(
            self.context,
            self.engine,
            self._resources.channel,
            registry,
            self.proxy_channel,
            self.proxy_admission,
            self.peers,
            self.timer.request_step,
        )

    def _build_decisions(self) -> None:
        """Build the decision loop, and what persists and executes its decisions."""
        context = self.context
        self.persistence = TablePersistence(
            context,
            self.engine,
            self._resources.store,
            self.registry,
            self.timer.request_step,
            self.proxy_admission.send_welcome_to_joined,
        )
        self.host_sources = HostSources(
            context,
            self.engine,
            self._resources.view,
            self.persistence,
            self.load_weights,
            self.peers,
            self.timer.request_step,
        )
        self.dispatcher = OutputDispatcher(self.proxy_channel, self.health_checks, self.host_sources, self.peers)
        self.decision_loop = self._resources.factories.decision_loop(
            context,
            self.engine,
            self.timer,
            self.persistence,
            self.dispatcher,
            self.proxy_channel,
            (self.snapshots, self.recording, self.load_weights),
        )
        self.timer.on_due = self.decision_loop.step
        self.link_monitor = LinkMonitor(context, self.engine, self.connections.registry, self.host_sources)

    def _build_operations(self) -> None:
        """Build the operators' interfaces: HTTP, reload, handover."""
        context = self.context
        views = StatusViews(context, self.engine, self.persistence, self.load_weights, self.peers)
        self.network = Network(context, self.connections, views.routes(), self._resources.factories)
        reloadable = (self.connections, self.network, self.health_checks, self.peers)
        self.config_reloader = ConfigReloader(context, self._resources.config_path, reloadable)
        self._build_handover()
        self.control_socket = ControlSocket(context, self.handover, self.peers)

    def _build_handover(self) -> None:
        context = self.context
        pause_control = PauseControl(
            context,
            self.engine,
            self.timer,
            self.network,
            self.connections,
            self.load_weights,
            self.peers,
            self.dispatcher,
        )
        store_release = StoreRelease(
            context,
            self.engine,
            pause_control,
            self.persistence,
            self.host_sources,
            self.proxy_admission,
            self.peers,
            self.recording,
        )
        self.transfer = StateTransfer(
            context,
            self.engine,
            self._resources.channel,
            self.connections,
            self._resources.view,
            self.load_weights,
            self.recording,
            self.snapshots,
        )
        self.handover = Handover(
            context, self._resources.config_path, pause_control, self.transfer, store_release, self.network, self.peers
        )

    def fleet_view(self) -> FleetView:
        """Return the cluster services' view of this controller."""
        source = ControllerFleetSource(
            self.context.config,
            self._resources.view,
            self.engine,
            self.connections.registry.proxies,
            self.context.clock,
            self.proxy_channel,
        )
        return FleetView(source)
