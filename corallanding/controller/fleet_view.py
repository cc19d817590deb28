"""The cluster services' view of the controller's hosts, tables and proxies, and their way to send to proxies."""

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
    """The interface of the controller that a `FleetView` uses."""

    config: ControllerConfig
    view: EndpointList
    engine: Engine
    proxies: dict[int, ProxyConnection]

    @property
    def clock(self) -> Callable[[], float]:
        """Return the controller's own clock, ms."""
        ...

    def submit(self, data: bytes, lines: int, to: tuple[int, ...]) -> None:
        """Queue an encoded frame for these proxies; `lines` is its cost in table lines."""
        ...


class ChangeStamp(NamedTuple):
    """Differs from an earlier stamp if tables, owned slices or the host list have changed since."""

    step: int
    host_list_version: int
    owned_slice_count: int


class FleetView:
    """Hosts, tables and proxies of one controller, for its services."""

    def __init__(self, controller: FleetSource) -> None:
        self.controller = controller

    def hosts(self) -> dict[int, PinningHost]:
        """Return every listed host, by number."""
        controller, rules = self.controller, self.controller.config.rules
        state, view = controller.engine.published, controller.view
        now_ms = controller.clock()
        excluded = state.cordoned_hosts | controller.engine.publisher.leaving_hosts
        in_tables = {host for weights in state.tables.values() for host in weights}
        hosts = {}
        for host, entry in view.entries.items():
            warm_up = min(1.0, (now_ms - entry.online_since) / rules.cold_ms)
            capacity = rules.cold_from + (1.0 - rules.cold_from) * warm_up
            is_eligible = entry.state == "up" and host not in excluded
            versions = view.served_versions.get(host, {})
            hosts[host] = PinningHost(host, entry.weight, capacity, is_eligible, versions, host in in_tables)
        return hosts

    def change_stamp(self) -> ChangeStamp:
        """Return a stamp; a plan from this view is valid as long as the stamp is unchanged."""
        engine = self.controller.engine
        return ChangeStamp(engine.publisher.message_number, self.controller.view.version, len(engine.owned_slices))

    def tables(self) -> Mapping[int, Mapping[int, float]]:
        """Return the host weights of each slice that this controller owns."""
        engine = self.controller.engine
        return {number: weights for number, weights in engine.published.tables.items() if number in engine.owned_slices}

    def addresses(self, hosts: set[int]) -> dict[int, str]:
        """Return the address ("ip:port") of each of `hosts`, if known."""
        addresses = self.controller.engine.publisher.addresses
        return {host: addresses[host] for host in sorted(hosts) if host in addresses}

    def proxies_supporting(self, feature: int) -> list[int]:
        """Return the joined proxies whose hello has the bit of this protocol feature."""
        proxies = []
        for number, connection in self.controller.proxies.items():
            hello = connection.link.hello
            if connection.is_joined and not connection.is_closed and hello and hello.features & feature:
                proxies.append(number)
        return proxies

    def session_name(self, proxy: int) -> str | None:
        """Return the name of the proxy's process; None if it is not connected or has sent no hello."""
        connection = self.controller.proxies.get(proxy)
        return connection.link.hello.session if connection and connection.link.hello else None

    def reply(self, proxy: int, frame: frames.Frame) -> None:
        """Send an answer to one proxy at once. Dropped if it is not connected: proxies repeat their queries."""
        connection = self.controller.proxies.get(proxy)
        if connection and connection.is_joined:
            connection.send(frames.encode(frame))

    def publish(self, frame: frames.Frame, lines: int, to: list[int]) -> None:
        """Queue a frame for these proxies, subject to the rate limits of table updates."""
        self.controller.submit(frames.encode(frame), lines, tuple(to))
