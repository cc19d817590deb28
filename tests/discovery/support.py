"""A discovery client with a receiver that keeps what it is given."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from forced_order import FOR_EVER, Side, Stand

from corallanding import interface as api
from corallanding.discovery.host_list import HostListView, ListAnswer
from corallanding.discovery.long_poll import DiscoveryClient
from corallanding.host_names import name


class Listed:
    """A receiver of lists. raises: how often it fails first."""

    def __init__(self, raises: int = 0) -> None:
        self.version, self.bodies, self.failures, self.raises = 0, list[bytes](), list[str](), raises

    def on_list(self, body: bytes) -> bool:
        if self.raises:
            self.raises -= 1
            raise KeyError("a defect")
        self.bodies.append(body)
        if body.isdigit():
            self.version = int(body)
        return body.isdigit()

    def on_list_failed(self, why: str) -> None:
        self.failures.append(why)


def discovery_client(stand: Stand, listener: Listed, **more: Any) -> DiscoveryClient:
    return DiscoveryClient(
        stand.where,
        listener,
        **{"poll_wait_ms": FOR_EVER, "answer_timeout_ms": FOR_EVER, "max_backoff_ms": 20.0, **more},
    )


async def asked(stand: Stand, path: str) -> Side:
    side = await stand.next()
    assert await side.question() == path
    return side


def poll(index: int, wait: float = FOR_EVER) -> str:
    return f"/v1/servers?index={index}&wait={wait:.0f}"


class PollingClient(NamedTuple):
    """A client whose first poll has come and is not answered yet. side: the end of its connection that has the poll."""

    stand: Stand
    listener: Listed
    client: DiscoveryClient
    side: Side


@asynccontextmanager
async def polling_client(**more: Any) -> AsyncIterator[PollingClient]:
    """Start a client and let its first poll come; it is stopped at the end."""
    listener = Listed()
    async with Stand() as stand:
        client = discovery_client(stand, listener, **more)
        client.start()
        side = await asked(stand, poll(0, more.get("poll_wait_ms", FOR_EVER)))
        yield PollingClient(stand, listener, client, side)
        client.stop()


def apply_list(view: HostListView, is_complete: bool, *rows: Any, version: int = 1) -> api.HostListUpdate | None:
    """Let the view take an answer with these rows."""
    return view.apply(ListAnswer(version, is_complete, list(rows)))


def listed_states(view: HostListView) -> dict[str, str]:
    """Names and states of the hosts in the view."""
    return {name(host): entry.state for host, entry in view.entries.items()}
