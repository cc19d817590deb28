"""The registry of open connections of proxies."""

from __future__ import annotations

from dataclasses import dataclass, field

from .partial_frames import PartialFrames
from .proxy_protocol import ProxyConnection


@dataclass
class LinkRegistry:
    """All open connections, and the current one of each proxy. The dictionaries keep the order of connecting."""

    partial_frames: PartialFrames[ProxyConnection]
    links: dict[ProxyConnection, None] = field(default_factory=dict)
    proxies: dict[int, ProxyConnection] = field(default_factory=dict)  # by proxy number
    unidentified: dict[ProxyConnection, None] = field(default_factory=dict)  # connections without a Hello so far

    def remove(self, link: ProxyConnection) -> bool:
        """Remove a connection; return whether it was the current one of its proxy."""
        self.links.pop(link, None)
        self.unidentified.pop(link, None)
        self.partial_frames.remove(link)
        if self.proxies.get(link.proxy) is not link:
            return False
        del self.proxies[link.proxy]
        return True

    def joined(self) -> list[ProxyConnection]:
        """Return the open connections of proxies that were sent their tables."""
        return [link for link in self.links if link.is_joined and not link.is_closed]
