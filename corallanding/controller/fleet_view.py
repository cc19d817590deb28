"""What rooms that rest on hosts and forwarders see of the steward, and how they reach its forwarders. No decision."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ..config import ControllerConfig
from ..endpoints.endpoint_list import View
from ..version_pinning.version_selection import Server
from ..wire import frames
from .engine import Engine
from .proxy_protocol import ProxyConnection


class FleetSource(Protocol):
    """What the steward must show."""

    config: ControllerConfig
    view: View
    engine: Engine
    forwarders: dict[int, ProxyConnection]

    @property
    def clock(self) -> Callable[[], float]: ...

    def submit(self, data: bytes, lines: int, to: tuple[int, ...]) -> None: ...


class FleetView:
    def __init__(self, steward: FleetSource) -> None:
        self.controller = steward

    def hosts(self) -> dict[int, Server]:
        """Every listed host, by number."""
        s, r = self.controller, self.controller.config.rules
        now, shut = s.clock(), s.engine.state.cordons | s.engine.going
        used = {h for lines in s.engine.state.tables.values() for h in lines}
        out = {}
        for h, e in s.view.entries.items():
            age = min(1.0, (now - e.online_since) / r.cold_ms)
            able = r.cold_from + (1.0 - r.cold_from) * age
            sound = e.state == "up" and h not in shut
            out[h] = Server(h, e.weight, able, sound, s.view.versions.get(h, {}), h in used)
        return out

    def change_stamp(self) -> tuple[int, int, int]:
        """Changes whenever tables, the charge or the list do."""
        return self.controller.engine.seq, self.controller.view.version, len(self.controller.engine.charge)

    def tables(self) -> Mapping[int, Mapping[int, float]]:
        """Of the slices in our charge."""
        state, charge = self.controller.engine.state, self.controller.engine.charge
        return {t: lines for t, lines in state.tables.items() if t in charge}

    def addresses(self, hosts: set[int]) -> dict[int, str]:
        at = self.controller.engine.addresses
        return {h: at[h] for h in sorted(hosts) if h in at}

    def proxies_speaking(self, part: int) -> list[int]:
        """Forwarders that are joined and speak this part of the protocol."""
        links = self.controller.forwarders.items()
        return [f for f, x in links if x.joined and not x.over and x.link.hello and x.link.hello.parts & part]

    def session_name(self, forwarder: int) -> str | None:
        """The name of its process."""
        link = self.controller.forwarders.get(forwarder)
        return link.link.hello.session if link and link.link.hello else None

    def reply(self, forwarder: int, frame: frames.Frame) -> None:
        """An answer to what it asked: to this one at once. Lost if it is gone: it asks again."""
        if (link := self.controller.forwarders.get(forwarder)) and link.joined:
            link.send(frames.encode(frame))

    def publish(self, frame: frames.Frame, lines: int, to: list[int]) -> None:
        """Paced and counted like any order."""
        self.controller.submit(frames.encode(frame), lines, tuple(to))
