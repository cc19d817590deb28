"""Runs a registry source against the stand-in registry, with an owner that records its reports."""

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
    """Return the registry value of a host."""
    return {"address": f"127.0.0.1:{9000 + number}", "state": "up", **settings}


class SourceOwner:
    """Maintains the endpoint list as a controller does, and records each reported version."""

    def __init__(self) -> None:
        self.view = EndpointList()
        self.failures: list[str] = []
        self.history: list[tuple[bool, int, dict[int, str]]] = []

    def on_host_rows(self, is_full: bool, version: int, rows: list[Any]) -> None:
        self.view.apply(0.0, 0.0, is_full, version, rows)
        states = {host: entry.state + str(entry.weight) for host, entry in self.view.entries.items()}
        self.history.append((is_full, version, states))

    def on_source_failure(self, reason: str) -> None:
        self.failures.append(reason)


def stored_states(registry: Registry, revision: int | None = None) -> dict[int, str]:
    """Return the state of each host in the registry at a revision, in the form of `SourceOwner.history`."""
    states = {}
    for key, stored in registry.store.at(registry.store.revision if revision is None else revision).items():
        if key.startswith(PREFIX.encode()):
            row = json.loads(stored.value)
            states[int(key[len(PREFIX) :])] = row["state"] + str(float(row.get("weight", 1.0)))
    return states


def start_source(registry: Registry, owner: SourceOwner, **settings: Any) -> RegistrySource:
    """Start a source on the stand-in registry with short waits and small pages."""
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


def run_scenario(scenario: Callable[[Registry, SourceOwner], Any], credentials: Any = None) -> None:
    """Run a scenario with a new stand-in registry and a time limit."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(40):
            registry = Registry(credentials=credentials)
            await registry.start()
            try:
                await scenario(registry, SourceOwner())
            finally:
                await registry.stop()

    asyncio.run(run_with_timeout())


def is_current(registry: Registry, owner: SourceOwner) -> bool:
    """Return whether the owner's latest state equals the registry's."""
    return bool(owner.history) and owner.history[-1][2] == stored_states(registry)
