"""What services that rest on hosts and proxies see of the controller, and how they reach its proxies. No decision."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from ..config import ControllerConfig
from ..endpoints.endpoint_list import EndpointList
from ..version_pinning.version_selection import PinningHost
from ..wire import frames
from .engine import Engine
from .proxy_protocol import ProxyConnection


class FleetSource(Protocol):
    """What the controller must show."""

    config: ControllerConfig
    view: EndpointList
    engine: Engine
    forwarders: dict[int, ProxyConnection]

    @property
    def clock(self) -> Callable[[], float]:
        """The controller's own clock, ms."""
        ...

    def submit(self, data: bytes, lines: int, to: tuple[int, ...]) -> None:
        """Queue an encoded frame in the channel to these proxies, at a price in table lines."""
        ...


class ChangeStamp(NamedTuple):
    """Differs from an earlier one if tables, the slices that are ours or the host list have changed since."""

    step: int
    host_list_version: int
    owned_slice_count: int


class FleetView:
    """Hosts, tables and proxies of one controller, as its services ask for them."""

    def __init__(self, controller: FleetSource) -> None:
        self.controller = controller

    def hosts(self) -> dict[int, PinningHost]:
        """Every listed host, by number."""
        controller, rules = self.controller, self.controller.config.rules
        state, view = controller.engine.published, controller.view
        now = controller.clock()
        excluded = state.cordoned_hosts | controller.engine.publisher.leaving_hosts
        in_tables = {host for lines in state.tables.values() for host in lines}
        found = {}
        for host, entry in view.entries.items():
            warm_up = min(1.0, (now - entry.online_since) / rules.cold_ms)
            capacity = rules.cold_from + (1.0 - rules.cold_from) * warm_up
            is_eligible = entry.state == "up" and host not in excluded
            versions = view.served_versions.get(host, {})
            found[host] = PinningHost(host, entry.weight, capacity, is_eligible, versions, host in in_tables)
        return found

    def change_stamp(self) -> ChangeStamp:
        """Compared with an earlier one, it tells whether a plan made from this view still holds."""
        engine = self.controller.engine
        return ChangeStamp(engine.publisher.message_number, self.controller.view.version, len(engine.owned_slices))

    def tables(self) -> Mapping[int, Mapping[int, float]]:
        """Slice to the weights of its hosts, for the slices that this controller decides on."""
        engine = self.controller.engine
        return {number: lines for number, lines in engine.published.tables.items() if number in engine.owned_slices}

    def addresses(self, hosts: set[int]) -> dict[int, str]:
        """Host to "ip:port", for those of `hosts` whose address is known."""
        known = self.controller.engine.publisher.addresses
        return {host: known[host] for host in sorted(hosts) if host in known}

    def proxies_speaking(self, part: int) -> list[int]:
        """Proxies that are joined and stated in their hello that they know this part of the protocol."""
        found = []
        for number, connection in self.controller.forwarders.items():
            hello = connection.link.hello
            if connection.is_joined and not connection.is_closed and hello and hello.features & part:
                found.append(number)
        return found

    def session_name(self, proxy: int) -> str | None:
        """The name of the proxy's process; None if it is not connected or said no hello."""
        connection = self.controller.forwarders.get(proxy)
        return connection.link.hello.session if connection and connection.link.hello else None

    def reply(self, proxy: int, frame: frames.Frame) -> None:
        """Send an answer to one proxy at once. Lost if the proxy is gone: it asks again."""
        connection = self.controller.forwarders.get(proxy)
        if connection and connection.is_joined:
            connection.send(frames.encode(frame))

    def publish(self, frame: frames.Frame, lines: int, to: list[int]) -> None:
        """Queue a frame for these proxies, paced and counted like any update of tables."""
        self.controller.submit(frames.encode(frame), lines, tuple(to))
