"""Manages the connections of proxies: received frames, disconnects, handover and reload."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from functools import partial

from .. import interface as api
from ..channel import Channel
from ..config import ControllerConfig
from ..read_scheduler import ReadScheduler
from ..telemetry import log
from ..wire import frames
from ..wire.link_state import LinkLimits
from .close_codes import CloseCode
from .connection_state import ConnectionState
from .context import Context
from .engine import Engine
from .inherited_sockets import InheritedSockets
from .link_registry import LinkRegistry
from .peer_services import PeerServices
from .proxy_admission import ProxyAdmission
from .proxy_channel import ProxyChannel
from .proxy_protocol import ProxyConnection


def link_limits(config: ControllerConfig) -> LinkLimits:
    """Return the configured limits of one connection."""
    proxies = config.forwarders
    return LinkLimits(
        proxies.frame_most_bytes,
        proxies.hello_within_ms,
        proxies.silence_ms,
        proxies.frames_per_s,
        max_buffer_bytes=proxies.buffer_most_bytes,
        bytes_per_second=proxies.bytes_per_s,
        ack_timeout_ms=proxies.ack_within_ms,
    )


class ProxyConnections:
    """Connects the links of proxies to the channel and the engine. request_step: requests a decision step."""

    def __init__(
        self,
        context: Context,
        engine: Engine,
        channel: Channel,
        registry: LinkRegistry,
        proxy_channel: ProxyChannel,
        proxy_admission: ProxyAdmission,
        peers: PeerServices,
        request_step: Callable[[], None],
    ) -> None:
        self._context = context
        self._engine = engine
        self._channel = channel
        self.registry = registry
        self._proxy_channel = proxy_channel
        self.proxy_admission = proxy_admission
        self._peers = peers
        self._request_step = request_step
        # Attributes that a link reads (`proxy_protocol.ConnectionOwner`).
        self.config = context.config
        self.limits = link_limits(context.config)
        self.clock = context.clock
        self.metrics = context.metrics
        self.rate_limited_log = context.rate_limited_log
        self.links = registry.links
        self.proxies = registry.proxies
        self.unidentified = registry.unidentified
        self.partial_frames = registry.partial_frames
        self.read_scheduler = ReadScheduler(context.clock)
        self.metrics.partial_frame_bytes.set_function(lambda: registry.partial_frames.total_bytes)

    # ---- events from a link (`proxy_protocol.ConnectionOwner`) ---------------------------------------------------

    def on_frame(self, link: ProxyConnection, frame: frames.Frame) -> None:
        """Process a frame that a proxy sent."""
        now_ms = self._context.clock()
        match frame:
            case frames.Hello():
                self.proxy_admission.on_hello(link, frame)
            case frames.Ack() if link.is_joined:
                self._on_ack(now_ms, link)
            case frames.UsageReport() if link.is_joined:
                self._engine.on_usage_report(now_ms, link.proxy, frame)
            case frames.TablesRequest():
                link.is_joined = False
                self.proxy_admission.request(link)
            case frames.HeldTables():
                if changed := self._engine.on_recalled_tables(now_ms, frame):
                    log.warning("tables recalled", proxy=link.proxy, seq=frame.seq, slices=len(changed))
                self.proxy_admission.join(link)
            case frames.Goodbye():
                link.close(CloseCode.BYE)
            case _ if link.is_joined and self._peers.cluster:
                self._peers.cluster.on_proxy_frame(link.proxy, frame)
        self._request_step()

    def on_writable(self, link: ProxyConnection, *, is_writable: bool) -> None:
        """Block or unblock a proxy in the channel when its socket buffer becomes full or writable."""
        if link.is_joined and self.registry.proxies.get(link.proxy) is link:
            self._channel.set_blocked(link.proxy, is_blocked=not is_writable)
            if is_writable:
                self._proxy_channel.pump()

    def on_closed(self, link: ProxyConnection) -> None:
        """Remove a closed link. Its proxy has left, unless a later link has replaced this one."""
        proxy = link.proxy
        if not self.registry.remove(link):
            return
        self.proxy_admission.admission.cancel(proxy)
        self._channel.leave(proxy)
        self._engine.on_proxy_left(self._context.clock(), proxy)
        self._context.metrics.proxies.set(len(self._engine.proxy_zones))
        log.info("proxy left", proxy=proxy)
        if self._peers.cluster:
            self._peers.cluster.on_proxy_left(proxy)
        self._request_step()

    def _on_ack(self, now_ms: float, link: ProxyConnection) -> None:
        # The link has validated the ack and knows when the version was sent.
        version, sent_at_ms = link.link.acked.popleft()
        self._engine.add_event(now_ms, api.VersionAcked(link.proxy, version, now_ms - sent_at_ms))
        self._context.metrics.ack_seconds.observe((now_ms - sent_at_ms) / 1000.0)

    def make_link(self) -> ProxyConnection:
        """Return the protocol for a new connection."""
        return ProxyConnection(self)

    # ---- handover, reload and stop -------------------------------------------------------------------------------

    async def adopt(self, states: Sequence[ConnectionState], inherited: InheritedSockets) -> None:
        """Take over the connections of the previous process. Raise OSError if a socket cannot be used."""
        loop = asyncio.get_running_loop()
        for state, sock in zip(states, inherited.take_connections(len(states)), strict=True):
            if sock:
                await loop.connect_accepted_socket(partial(ProxyConnection, self, state), sock)
        # If this process exits too, its proxies must know from which start their tables are.
        self.proxy_admission.send_welcome_to_joined()
        now_ms = self._context.clock()
        for proxy in [number for number in self._engine.proxy_zones if number not in self.registry.proxies]:
            self._channel.leave(proxy)
            self._engine.on_proxy_left(now_ms, proxy)
        for proxy in self.registry.proxies:
            self._channel.set_blocked(proxy, is_blocked=False)  # this process has no unsent data in their sockets
            if self._peers.cluster:
                self._peers.cluster.on_proxy_joined(proxy)

    def pause(self) -> None:
        """Stop admitting and sending until `resume`."""
        self.proxy_admission.pause()
        self._proxy_channel.pause()

    def pause_reading(self) -> None:
        """Stop reading from all proxies."""
        for link in list(self.registry.links):
            link.suspend_reading()

    def unsent(self) -> list[ProxyConnection]:
        """Return the links with data that is not written to the socket yet."""
        return [link for link in self.registry.links if link.unsent_bytes]

    def resume(self) -> None:
        """Resume reading from all proxies, admitting and sending."""
        for link in list(self.registry.links):
            link.resume_reading()
        self.proxy_admission.admit()
        self._proxy_channel.pump()

    def reload(self, config: ControllerConfig) -> None:
        """Apply the limits of a new configuration, to open links too."""
        self.config = config
        self.limits = link_limits(config)
        self.proxy_admission.admission.rate_per_second = config.forwarders.reads_per_s
        for link in self.registry.links:
            link.link.set_limits(self.limits)
        self.partial_frames.max_frame_bytes = self.limits.max_frame_bytes

    def stop(self) -> None:
        """Close every connection with the code STOPPING."""
        for link in list(self.registry.links):
            link.close(CloseCode.STOPPING)
        self.pause()
