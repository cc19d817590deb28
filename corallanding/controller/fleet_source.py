"""Gives fleet services access to this controller."""

from __future__ import annotations

from dataclasses import dataclass

from ..config import ControllerConfig
from ..endpoints.endpoint_list import EndpointList
from .clock import Clock
from .engine import Engine
from .proxy_channel import ProxyChannel
from .proxy_protocol import ProxyConnection


@dataclass
class ControllerFleetSource:
    """The `FleetSource` of a running controller. proxies: connections of proxies by proxy number."""

    config: ControllerConfig
    view: EndpointList
    engine: Engine
    proxies: dict[int, ProxyConnection]
    clock: Clock
    proxy_channel: ProxyChannel

    def submit(self, frame: bytes, cost_lines: int, proxies: tuple[int, ...]) -> None:
        """Send a frame to proxies through the paced channel."""
        self.proxy_channel.submit(frame, cost_lines, proxies)
