"""The relay's two connections, and what they report."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from forced_order import FOR_EVER, Address, Side, Stand, clock, until
from platform_samples import HOSTS, SETTINGS, ZONES

from corallanding import interface as api
from corallanding.relay.call_connection import CallConnection
from corallanding.relay.pending_calls import PendingCalls
from corallanding.relay.subscription import RelayView
from corallanding.relay.subscription_connection import Subscription, WatchTimings

A, B, C = HOSTS[:3]
NEVER = {"silence_timeout_ms": FOR_EVER, "initial_quiet_ms": FOR_EVER, "connect_timeout_ms": FOR_EVER}


class Caller:
    """A connection for calls, and what the relay confirmed on it."""

    def __init__(self, where: Address, **more: Any) -> None:
        self.calls, self.stood = PendingCalls(["lookup"]), list[Any]()
        more = {"answer_timeout_ms": FOR_EVER, "connect_timeout_ms": FOR_EVER, **more}
        self.link = CallConnection(where, self.calls, clock, self.stood.extend, **more)

    def order(self, slice_id: int) -> None:
        self.calls.add([api.SetWeight(slice_id, A, 1.0)])
        self.link.send_next()


class OpenCall(NamedTuple):
    """A caller whose first order is on its way. side: the end of its connection where the call will come."""

    stand: Stand
    caller: Caller
    side: Side


@asynccontextmanager
async def open_call(**more: Any) -> AsyncIterator[OpenCall]:
    """Order slice 1 on a new connection, which is closed at the end."""
    async with Stand() as stand:
        caller = Caller(stand.where, **more)
        caller.order(1)
        yield OpenCall(stand, caller, await stand.next())
        caller.link.close()


async def called(side: Side, *slices: int) -> int:
    """The next call is on these slices; its id."""
    said = await side.line()
    assert [o["table"] for o in said["params"]["ops"]] == list(slices)
    return int(said["id"])


def taken(call_id: int, count: int = 1) -> dict[str, Any]:
    return {"jsonrpc": "2.0", "id": call_id, "result": {"taken": count}}


RESULT = {"jsonrpc": "2.0", "id": 1, "result": True}
PING: tuple[str, dict[str, Any]] = ("ping", {})


class Watcher:
    """A watch, and what it reported."""

    def __init__(self, where: Address, **more: Any) -> None:
        self.news, self.events, self.on_failure, self.gaps = RelayView(SETTINGS, ZONES), list[Any](), list[str](), 0
        timings = WatchTimings(**{**NEVER, "entries_quiet_ms": 1.0, **more})
        self.link = Subscription(
            where, self.news, clock, self.events.extend, lambda: [], self.on_failure.append, timings
        )
        self.link.on_gap_bridged = self.gap

    def gap(self) -> None:
        self.gaps += 1

    def told(self) -> list[Any]:
        """What was told since the last time."""
        events, self.events[:] = list(self.events), []
        return events


async def watched(stand: Stand) -> Side:
    side = await stand.next()
    assert (await side.line())["method"] == "relay.watch"
    return side


async def standing(w: Watcher, stand: Stand, *rows: tuple[str, dict[str, Any]]) -> Side:
    """What stands is said, up to the first sign of life."""
    side = await watched(stand)
    side.say(RESULT)
    side.tell(*rows, PING)
    await until(lambda: w.link.current and w.link.candidate is None)
    return side


def joined(node: int) -> api.ProxyJoined:
    return api.ProxyJoined(node, 0, 2.5, True)
