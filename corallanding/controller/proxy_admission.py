"""Handles joins of proxies: identification, admission at the configured rate, and sending their tables."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..channel import Channel
from ..telemetry import log
from ..wire import frames
from .close_codes import CloseCode
from .context import Context
from .engine import Engine
from .join_admission import JoinAdmission
from .link_registry import LinkRegistry
from .peer_services import PeerServices
from .proxy_protocol import ProxyConnection

MIN_ADMISSION_DELAY_S = 0.001


class ProxyAdmission:
    """Admits proxies. admission: decides when. request_step: requests a decision step."""

    def __init__(
        self,
        context: Context,
        engine: Engine,
        channel: Channel,
        admission: JoinAdmission,
        registry: LinkRegistry,
        peers: PeerServices,
        request_step: Callable[[], None],
    ) -> None:
        self._context = context
        self._engine = engine
        self._channel = channel
        self.admission = admission
        self._registry = registry
        self._peers = peers
        self._request_step = request_step
        self._timer: asyncio.TimerHandle | None = None

    def admit(self) -> None:
        """Admit due proxies at the configured rate, because each of them reads all tables."""
        if self._context.lifecycle.is_paused:
            return
        now_ms = self._context.clock()
        for proxy in self.admission.admit_due(now_ms):
            if (link := self._registry.proxies.get(proxy)) and link.link.hello and not link.is_joined:
                self._admit_proxy(link, link.link.hello)
        self.pause()
        next_at_ms = self.admission.next_at(now_ms)
        if next_at_ms is not None and self._context.lifecycle.is_running:
            delay_s = max(MIN_ADMISSION_DELAY_S, (next_at_ms - now_ms) / 1000.0)
            self._timer = asyncio.get_running_loop().call_later(delay_s, self.admit)

    def request(self, link: ProxyConnection) -> None:
        """Queue a proxy that requests its tables."""
        self.admission.request(self._context.clock(), link.proxy)
        self.admit()

    def pause(self) -> None:
        """Admit no more proxies until `admit` is called."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def rejoin_all(self) -> None:
        """Send all tables to every joined proxy, because another process may have sent it different ones."""
        for link in self._registry.joined():
            link.is_joined = False
            self.join(link)

    def join(self, link: ProxyConnection) -> None:
        """Send a proxy its tables and mark it as joined."""
        hello = link.link.hello
        if link.is_closed or link.is_joined or hello is None or self._registry.proxies.get(link.proxy) is not link:
            return
        now_ms = self._context.clock()
        link.is_joined = True
        link.link.unacked_versions.clear()
        self._channel.join(link.proxy)
        self._channel.set_blocked(link.proxy, is_blocked=link.is_write_paused)
        link.send(self._engine.on_proxy_joined(now_ms, hello))
        self._context.metrics.table_reads.inc()
        self._context.metrics.proxies.set(len(self._engine.proxy_zones))
        log.info("proxy joined", proxy=link.proxy, zone=hello.zone, fresh=hello.is_fresh)
        if self._peers.cluster:
            self._peers.cluster.on_proxy_joined(link.proxy)
        self._request_step()

    def send_welcome_to_joined(self) -> None:
        """Send every joined proxy the start number, which has changed since it joined."""
        for link in self._registry.joined():
            self._send_welcome(link)

    def on_hello(self, link: ProxyConnection, hello: frames.Hello) -> None:
        """Process the first frame of a connection, which identifies its proxy; close the connection if invalid."""
        config = self._context.config
        if hello.zone >= len(config.zones):
            link.close(CloseCode.MALFORMED, f"zone {hello.zone}: there are {len(config.zones)}")
            return
        if hello.proxy >= config.forwarders.most:
            link.close(CloseCode.FULL, f"forwarder {hello.proxy}: numbers end at {config.forwarders.most - 1}")
            return
        former = self._registry.proxies.get(hello.proxy)
        if former and former.link.hello and former.link.hello.session != hello.session:
            # Two processes use one number: the connected one keeps it. If it hangs, the silence timeout frees it.
            self._context.rate_limited_log.warn("proxy number in use", proxy=hello.proxy)
            link.close(CloseCode.NUMBER_IN_USE, "another process holds this number")
            return
        if former:
            former.close(CloseCode.SUPERSEDED, "the same forwarder joined again")
        self._registry.proxies[hello.proxy] = link
        self._registry.unidentified.pop(link, None)
        self.request(link)

    def _admit_proxy(self, link: ProxyConnection, hello: frames.Hello) -> None:
        self._send_welcome(link)
        if not self._engine.needs_recall(self._context.clock(), hello):
            self.join(link)
            return
        link.link.is_recalled = True
        link.send(frames.encode(frames.HeldTablesRequest()))
        delay_s = self._context.config.forwarders.beat_ms / 1000.0
        asyncio.get_running_loop().call_later(delay_s, self.join, link)

    def _send_welcome(self, link: ProxyConnection) -> None:
        config = self._context.config
        welcome = frames.Welcome(
            frames.PROTOCOL_VERSION,
            config.steward.number,
            self._engine.start_number,
            config.forwarders.beat_ms,
            config.forwarders.silence_ms,
            config.reports.every_ms,
            self._context.settings.slice_count,
        )
        link.send(frames.encode(welcome))
