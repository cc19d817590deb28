"""Carries out the outputs of decision steps."""

from __future__ import annotations

from .. import interface as api
from ..telemetry import log
from .health_checks import HealthChecks
from .host_sources import HostSources
from .peer_services import PeerServices
from .proxy_channel import ProxyChannel
from .step_outputs import CheckHost, Output, SendFrame


class OutputDispatcher:
    """Passes each output of the engine to the component that carries it out."""

    def __init__(
        self,
        proxy_channel: ProxyChannel,
        health_checks: HealthChecks,
        host_sources: HostSources,
        peers: PeerServices,
    ) -> None:
        self._proxy_channel = proxy_channel
        self._health_checks = health_checks
        self._host_sources = host_sources
        self._peers = peers

    def dispatch(self, now_ms: float, output: Output) -> None:
        """Carry out one output. now_ms: start of its step."""
        match output:
            case SendFrame():
                self._proxy_channel.queue(now_ms, output)
            case CheckHost():
                self._health_checks.check(output.host, output.address)
            case api.WatchHostList():
                self._host_sources.follow(on=output.is_watching)
            case api.FetchHostList():
                self._host_sources.fetch()
            case api.SendToPeer():
                self._peers.send(output.peer, output.payload)
            case api.LogNote():
                log.info("note", text=output.text)
