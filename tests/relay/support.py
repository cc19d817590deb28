"""Clients of both relay connections that record what is reported to them, and steps for the relay's end."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from forced_order import LONG_TIMEOUT_MS, Address, PeerConnection, StandInServer, clock, until
from platform_samples import HOSTS, SETTINGS, ZONES

from corallanding import interface as api
from corallanding.relay.call_connection import CallConnection
from corallanding.relay.pending_calls import PendingCalls
from corallanding.relay.subscription import RelayView
from corallanding.relay.subscription_connection import Subscription, WatchTimings

A, B, C = HOSTS[:3]
NO_TIMEOUTS = {
    "silence_timeout_ms": LONG_TIMEOUT_MS,
    "initial_quiet_ms": LONG_TIMEOUT_MS,
    "connect_timeout_ms": LONG_TIMEOUT_MS,
}


class RecordingCaller:
    """A call connection that records the confirmed orders."""

    def __init__(self, address: Address, **overrides: Any) -> None:
        self.calls, self.confirmed = PendingCalls(["lookup"]), list[Any]()
        overrides = {"answer_timeout_ms": LONG_TIMEOUT_MS, "connect_timeout_ms": LONG_TIMEOUT_MS, **overrides}
        self.client = CallConnection(address, self.calls, clock, self.confirmed.extend, **overrides)

    def send_order(self, slice_id: int) -> None:
        self.calls.add([api.SetWeight(slice_id, A, 1.0)])
        self.client.send_next()


class OpenCall(NamedTuple):
    """A caller that has sent its first order. peer: the relay's end of the connection, which has not read the call."""

    server: StandInServer
    caller: RecordingCaller
    peer: PeerConnection


@asynccontextmanager
async def open_call(**overrides: Any) -> AsyncIterator[OpenCall]:
    """Send an order on slice 1 on a new connection, which is closed at the end."""
    async with StandInServer() as server:
        caller = RecordingCaller(server.address, **overrides)
        caller.send_order(1)
        yield OpenCall(server, caller, await server.next_connection())
        caller.client.close()


async def receive_call(peer: PeerConnection, *slices: int) -> int:
    """Check that the next call has orders on exactly these slices, and return its id."""
    call = await peer.read_message()
    assert [order["table"] for order in call["params"]["ops"]] == list(slices)
    return int(call["id"])


def taken(call_id: int, count: int = 1) -> dict[str, Any]:
    return {"jsonrpc": "2.0", "id": call_id, "result": {"taken": count}}


WATCH_RESULT = {"jsonrpc": "2.0", "id": 1, "result": True}
PING: tuple[str, dict[str, Any]] = ("ping", {})


class RecordingWatch:
    """A watch that records its events, its warnings and how often it resumed after an interruption."""

    def __init__(self, address: Address, **overrides: Any) -> None:
        self.view = RelayView(SETTINGS, ZONES)
        self.events: list[Any] = []
        self.warnings: list[str] = []
        self.resume_count = 0
        timings = WatchTimings(**{**NO_TIMEOUTS, "entries_quiet_ms": 1.0, **overrides})
        self.client = Subscription(
            address, self.view, clock, self.events.extend, lambda: [], self.warnings.append, timings
        )
        self.client.on_watch_resumed = self.on_resumed

    def on_resumed(self) -> None:
        self.resume_count += 1

    def take_events(self) -> list[Any]:
        """Return and clear the recorded events."""
        events, self.events[:] = list(self.events), []
        return events


async def accept_watch(server: StandInServer) -> PeerConnection:
    """Accept the next connection and receive its watch request."""
    peer = await server.next_connection()
    assert (await peer.read_message())["method"] == "relay.watch"
    return peer


async def send_initial_state(
    watch: RecordingWatch, server: StandInServer, *rows: tuple[str, dict[str, Any]]
) -> PeerConnection:
    """Accept a watch, send these notifications and a ping, and wait until the initial state is complete."""
    peer = await accept_watch(server)
    peer.send(WATCH_RESULT)
    peer.send_notifications(*rows, PING)
    await until(lambda: watch.client.current and watch.client.candidate is None)
    return peer


def proxy_joined(node: int) -> api.ProxyJoined:
    return api.ProxyJoined(node, 0, 2.5, True)
