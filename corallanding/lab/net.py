"""Simulated network between stand-ins: delay, loss and partitions by zone, and the messages of proxies and hosts.

Over a partitioned link nothing arrives: the sender waits until its attempt times out.
"""

from __future__ import annotations

import msgspec
import numpy as np

from ..wire import frames


class Invoke(frames.Frame, tag="invoke"):
    """A request from a proxy to a host.

    `attempt` numbers the client's attempts; `again` numbers the proxy's own retries within one of them.
    """

    inv: int
    attempt: int
    again: int
    forwarder: int
    operation: int
    slice: int
    work: float
    run: str = ""
    version: int = 0  # 0: any version that the host serves


class Cancel(frames.Frame, tag="cancel"):
    """A cancellation of a request, from the proxy to the host."""

    inv: int
    attempt: int
    again: int


class Done(frames.Frame, tag="done"):
    """The response of a host: "ok", "error", "full", "draining" or "version"; after the last three nothing ran."""

    inv: int
    attempt: int
    again: int
    status: str


host_decoder: msgspec.msgpack.Decoder[Invoke | Cancel] = msgspec.msgpack.Decoder(Invoke | Cancel)
proxy_decoder: msgspec.msgpack.Decoder[Done] = msgspec.msgpack.Decoder(Done)


class Net:
    """Faults of the links between zones. Times in ms; all random draws come from one seeded generator."""

    def __init__(self, seed: int) -> None:
        self.chance = np.random.default_rng(seed)
        self.cut: set[int] = set()  # zones without any link to the others
        self.unreachable: set[int] = set()  # zones that receive nothing from others but can send (one-way partition)
        self.slow: dict[int, tuple[float, float]] = {}  # zone: mean delay in ms, share of lost packets
        self.answers_lost: dict[int, float] = {}  # host: share of its responses that are lost

    def delay_ms(self, source: int, target: int) -> float | None:
        """Draw the delay in ms of a message from zone `source` to `target`; return None if it does not arrive."""
        if source == target:
            return 0.0
        if source in self.cut or target in self.cut or target in self.unreachable:
            return None
        delay = 0.0
        for zone in (source, target):
            if zone in self.slow:
                mean, loss = self.slow[zone]
                delay += float(self.chance.exponential(mean))
                while self.chance.random() < loss and delay < 5_000:
                    delay += 200.0  # TCP retransmits
        return delay
