"""A source against the stand-in registry, and an owner that keeps what it reports."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any

from corallanding.config.sources import RegistryBlock
from corallanding.endpoints.endpoint_list import EndpointList
from corallanding.lab.registry import Registry
from corallanding.registry.source import RegistrySource, make_source

PREFIX = "/corallanding/hosts/"


def host_value(number: int, **settings: Any) -> dict[str, Any]:
    """A host's value in the registry."""
    return {"address": f"127.0.0.1:{9000 + number}", "state": "up", **settings}


class SourceOwner:
    """Keeps the endpoint list as a controller does, and its whole history by version."""

    def __init__(self) -> None:
        self.view = EndpointList()
        self.failures: list[str] = []
        self.history: list[tuple[bool, int, dict[int, str]]] = []

    def on_host_rows(self, full: bool, version: int, rows: list[Any]) -> None:
        self.view.apply(0.0, 0.0, full, version, rows)
        states = {host: entry.state + str(entry.weight) for host, entry in self.view.entries.items()}
        self.history.append((full, version, states))

    def on_source_failure(self, why: str) -> None:
        self.failures.append(why)


def stored_states(registry: Registry, revision: int | None = None) -> dict[int, str]:
    """What the registry holds of each host at a revision, in the form of `SourceOwner.history`."""
    states = {}
    for key, stored in registry.store.at(registry.store.revision if revision is None else revision).items():
        if key.startswith(PREFIX.encode()):
            row = json.loads(stored.value)
            states[int(key[len(PREFIX) :])] = row["state"] + str(float(row.get("weight", 1.0)))
    return states


def start_source(registry: Registry, owner: SourceOwner, **settings: Any) -> RegistrySource:
    """Watch the stand-in with short waits and small pages."""
    port = registry.consul_port if settings.get("kind") == "consul" else registry.port
    block = {
        "address": f"127.0.0.1:{port}",
        "wait_ms": 20,
        "wait_most_ms": 200,
        "timeout_ms": 1000,
        "page": 3,
        "reads_per_min": 600,
        "block_ms": 1000,
        **settings,
    }
    source = make_source(RegistryBlock(**block), owner, lambda: time.monotonic() * 1000.0, random.Random(1).random)
    source.start()
    return source


def run_scene(scenario: Callable[[Registry, SourceOwner], Any], credentials: Any = None) -> None:
    """Run a scenario with a stand-in registry of its own."""

    async def scene() -> None:
        async with asyncio.timeout(40):
            registry = Registry(credentials=credentials)
            await registry.start()
            try:
                await scenario(registry, SourceOwner())
            finally:
                await registry.stop()

    asyncio.run(scene())


def is_current(registry: Registry, owner: SourceOwner) -> bool:
    """Whether the owner knows what the registry holds now."""
    return bool(owner.history) and owner.history[-1][2] == stored_states(registry)
