"""What rooms that rest on hosts and forwarders see of the steward, and how they reach its forwarders. No decision."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ..config import ControllerConfig
from ..endpoints.endpoint_list import View
from ..version_pinning.version_selection import Server
from ..wire import frames
from .engine import Engine
from .proxy_protocol import LinkProtocol


class Shows(Protocol):
    """What the steward must show."""

    config: ControllerConfig
    view: View
    engine: Engine
    forwarders: dict[int, LinkProtocol]

    @property
    def clock(self) -> Callable[[], float]: ...

    def submit(self, data: bytes, lines: int, to: tuple[int, ...]) -> None: ...


class Sight:
    def __init__(self, steward: Shows) -> None:
        self.s = steward

    def servers(self) -> dict[int, Server]:
        """Every listed host, by number."""
        s, r = self.s, self.s.config.rules
        now, shut = s.clock(), s.engine.state.cordons | s.engine.going
        used = {h for lines in s.engine.state.tables.values() for h in lines}
        out = {}
        for h, e in s.view.entries.items():
            age = min(1.0, (now - e.online_since) / r.cold_ms)
            able = r.cold_from + (1.0 - r.cold_from) * age
            sound = e.state == "up" and h not in shut
            out[h] = Server(h, e.weight, able, sound, s.view.versions.get(h, {}), h in used)
        return out

    def stamp(self) -> tuple[int, int, int]:
        """Changes whenever tables, the charge or the list do."""
        return self.s.engine.seq, self.s.view.version, len(self.s.engine.charge)

    def tables(self) -> Mapping[int, Mapping[int, float]]:
        """Of the slices in our charge."""
        state, charge = self.s.engine.state, self.s.engine.charge
        return {t: lines for t, lines in state.tables.items() if t in charge}

    def addresses(self, hosts: set[int]) -> dict[int, str]:
        at = self.s.engine.addresses
        return {h: at[h] for h in sorted(hosts) if h in at}

    def speakers(self, part: int) -> list[int]:
        """Forwarders that are joined and speak this part of the protocol."""
        links = self.s.forwarders.items()
        return [f for f, x in links if x.joined and not x.over and x.link.hello and x.link.hello.parts & part]

    def session(self, forwarder: int) -> str | None:
        """The name of its process."""
        link = self.s.forwarders.get(forwarder)
        return link.link.hello.session if link and link.link.hello else None

    def tell(self, forwarder: int, frame: frames.Frame) -> None:
        """An answer to what it asked: to this one at once. Lost if it is gone: it asks again."""
        if (link := self.s.forwarders.get(forwarder)) and link.joined:
            link.send(frames.encode(frame))

    def publish(self, frame: frames.Frame, lines: int, to: list[int]) -> None:
        """Paced and counted like any order."""
        self.s.submit(frames.encode(frame), lines, tuple(to))
