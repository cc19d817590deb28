"""A discovery client with a receiver that records its answers and failures."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from forced_order import LONG_TIMEOUT_MS, PeerConnection, StandInServer

from corallanding import interface as api
from corallanding.discovery.host_list import HostListView, ListAnswer
from corallanding.discovery.long_poll import DiscoveryClient
from corallanding.host_names import host_name


class RecordingReceiver:
    """A receiver that records answers and failures. error_count: how many of the first answers raise an exception."""

    def __init__(self, error_count: int = 0) -> None:
        self.version, self.bodies, self.failures, self.error_count = 0, list[bytes](), list[str](), error_count

    def on_list(self, body: bytes) -> bool:
        if self.error_count:
            self.error_count -= 1
            raise KeyError("defect in the receiver")
        self.bodies.append(body)
        if body.isdigit():
            self.version = int(body)
        return body.isdigit()

    def on_list_failed(self, reason: str) -> None:
        self.failures.append(reason)


def make_client(server: StandInServer, receiver: RecordingReceiver, **overrides: Any) -> DiscoveryClient:
    return DiscoveryClient(
        server.address,
        receiver,
        **{"poll_wait_ms": LONG_TIMEOUT_MS, "answer_timeout_ms": LONG_TIMEOUT_MS, "max_backoff_ms": 20.0, **overrides},
    )


async def accept_request(server: StandInServer, path: str) -> PeerConnection:
    """Accept the next connection and check the path of its first request."""
    peer = await server.next_connection()
    assert await peer.read_request_path() == path
    return peer


def poll_path(version: int, wait_ms: float = LONG_TIMEOUT_MS) -> str:
    return f"/v1/servers?index={version}&wait={wait_ms:.0f}"


class PollingClient(NamedTuple):
    """A client whose first poll was received and is not answered yet. peer: the service's end of its connection."""

    server: StandInServer
    receiver: RecordingReceiver
    client: DiscoveryClient
    peer: PeerConnection


@asynccontextmanager
async def polling_client(**overrides: Any) -> AsyncIterator[PollingClient]:
    """Start a client and receive its first poll; the client is stopped at the end."""
    receiver = RecordingReceiver()
    async with StandInServer() as server:
        client = make_client(server, receiver, **overrides)
        client.start()
        peer = await accept_request(server, poll_path(0, overrides.get("poll_wait_ms", LONG_TIMEOUT_MS)))
        yield PollingClient(server, receiver, client, peer)
        client.stop()


def apply_list(view: HostListView, is_complete: bool, *rows: Any, version: int = 1) -> api.HostListUpdate | None:
    """Apply an answer with these rows to the view."""
    return view.apply(ListAnswer(version, is_complete, list(rows)))


def listed_states(view: HostListView) -> dict[str, str]:
    """Return the states of the hosts in the view, by name."""
    return {host_name(host): entry.state for host, entry in view.entries.items()}
