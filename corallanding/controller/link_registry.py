"""The connections of proxies that stand."""

from __future__ import annotations

from dataclasses import dataclass, field

from .proxy_protocol import ProxyConnection


@dataclass
class LinkRegistry:
    """Every connection, and which of them belongs to which proxy. The dictionaries keep the order of coming."""

    links: dict[ProxyConnection, None] = field(default_factory=dict)
    proxies: dict[int, ProxyConnection] = field(default_factory=dict)  # by the number of the proxy
    unidentified: dict[ProxyConnection, None] = field(default_factory=dict)  # that have not sent a Hello

    def remove(self, link: ProxyConnection) -> bool:
        """Forget a connection; true if it was the present one of its proxy."""
        self.links.pop(link, None)
        self.unidentified.pop(link, None)
        if self.proxies.get(link.proxy) is not link:
            return False
        del self.proxies[link.proxy]
        return True

    def joined(self) -> list[ProxyConnection]:
        """Connections of proxies that have their tables."""
        return [link for link in self.links if link.is_joined and not link.is_closed]
