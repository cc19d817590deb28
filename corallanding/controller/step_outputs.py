"""The outputs of one engine step: table entries to store, then frames to send and other work."""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..wire import frames

MAX_PEER_PAYLOAD_BYTES = 256
NO_VERSION = -1  # version of a frame that needs no acknowledgement


@dataclass(frozen=True)
class StoreWrites:
    """The changes to store before any output of the step is sent: tables to empty, then entries to set.

    An entry is (table, host, weight); weight 0 removes it. `message_number` is the number of the message that sends
    them.
    """

    message_number: int
    entries: tuple[tuple[int, int, float], ...] = ()
    resets: tuple[int, ...] = ()


@dataclass(frozen=True)
class SendFrame:
    """Send one encoded frame to some proxies, paced by the channel.

    `cost_lines` is its cost in the channel without the overhead per message. `orders` is the frame before encoding, if
    later frames may be merged with it. An urgent frame may overtake queued ones.
    """

    frame: bytes
    cost_lines: int
    version: int
    proxies: tuple[int, ...]
    orders: frames.Orders | None = None
    is_urgent: bool = False


@dataclass(frozen=True)
class CheckHost:
    """Send a health check to a host; `address` is "ip:port", or empty if no address is known."""

    host: int
    address: str


Output = SendFrame | CheckHost | api.WatchHostList | api.FetchHostList | api.SendToPeer | api.LogNote
