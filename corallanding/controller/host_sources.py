"""Receives the host list from its configured source and processes each update."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from .. import interface as api
from ..config.sources import RegistryBlock
from ..endpoints.endpoint_list import EndpointList
from ..endpoints.source import EndpointSource, LineJsonSource, LineJsonSourceConfig
from ..errors import ConfigurationError
from ..store import StoreError
from .context import Context
from .engine import Engine
from .load_weights import LoadWeights
from .peer_services import PeerServices
from .persistence import TablePersistence


class HostSources:
    """Turns updates of the host list into events of the engine, and saves the list.

    is_unsaved: whether the list has changed since it was last saved. request_step: requests a decision step.
    """

    def __init__(
        self,
        context: Context,
        engine: Engine,
        view: EndpointList,
        persistence: TablePersistence,
        load_weights: LoadWeights,
        peers: PeerServices,
        request_step: Callable[[], None],
    ) -> None:
        self._context = context
        self._engine = engine
        self._persistence = persistence
        self._load_weights = load_weights
        self._peers = peers
        self._request_step = request_step
        self._source: EndpointSource | None = None
        self.view = view
        self.is_unsaved = False

    def open(self, connect_registry: Callable[[RegistryBlock, Callable[[str], None]], Callable[[], Any]]) -> None:
        """Create the configured source. Raise OSError for unreadable files, ConfigurationError without an address."""
        config = self._context.config
        if config.registry:
            from ..registry.source import make_source  # gRPC is imported only where a registry is configured

            random_source = random.Random(f"{config.steward.seed}:{self._engine.start_number}").random
            self._source = make_source(config.registry, self, self._context.clock, random_source, connect_registry)
            return
        roster = config.roster
        if roster.address is None:
            raise ConfigurationError("roster.address is not set")
        source_config = LineJsonSourceConfig(
            roster.address,
            roster.mode == "on_request",
            roster.line_most_bytes,
            roster.wait_ms,
            roster.wait_most_ms,
            roster.timeout_ms,
            config.steward.seed,
        )
        self._source = LineJsonSource(source_config, self, self._known_version)

    def start(self, *, is_restored: bool) -> None:
        """Start to receive. is_restored: the assigner was restored from a state in which it watched the list."""
        if self._source:
            self._source.start()
        if is_restored and self._context.settings.polls_host_list:
            self.follow(on=True)

    def follow(self, *, on: bool) -> None:
        """Start or stop watching the list for changes."""
        if self._source:
            self._source.follow(on)

    def fetch(self) -> None:
        """Request the list once."""
        if self._source:
            self._source.fetch()

    def save(self) -> None:
        """Save the list, independently of decision steps: a crash may lose its last changes."""
        if self._context.clock() < self._persistence.retry_at_ms:
            return
        view = self.view
        entries: Sequence[api.HostEntry] = tuple(view.entries.values())
        try:
            self._persistence.store.save_host_list(view.version, entries, view.addresses, view.process_starts_ms)
            self.is_unsaved = False
        except StoreError as error:
            self._context.rate_limited_log.warn("host list not saved", why=str(error))

    def stop(self) -> None:
        """Stop receiving."""
        if self._source:
            self._source.stop()

    # ---- events from the source (`endpoints.source.EndpointListener`) -----------------------------------------------

    def on_host_rows(self, full: bool, version: int, rows: list[Any]) -> None:
        """Process a list, or changes to it. full: hosts that are not named are removed."""
        now_ms = self._context.clock()
        view = self.view
        previous_addresses = dict(view.addresses)
        event = view.apply(now_ms, self._context.wall_ms(), full, version, rows)
        self._report(version)
        moved = [host for host, address in view.addresses.items() if previous_addresses.get(host, address) != address]
        if moved:
            self._engine.on_addresses_changed(moved)
        if self._peers.cluster and self._peers.cluster.quota:
            self._peers.cluster.quota.on_hosts_listed(now_ms, view.entries.values())
        self._engine.add_event(now_ms, self._load_weights.on_host_list(event))
        self.is_unsaved = True
        self._request_step()

    def on_source_failure(self, reason: str) -> None:
        """Record that the source failed, and notify the assigner if it polls the list."""
        self._context.metrics.host_source_failures.inc()
        self._context.rate_limited_log.warn("host list source failed", why=reason)
        if self._context.settings.polls_host_list:
            failure = api.HostListUpdate(api.HostListKind.FAILED, self.view.version)
            self._engine.add_event(self._context.clock(), failure)
            self._request_step()

    def _report(self, version: int) -> None:
        metrics = self._context.metrics
        for text in self.view.rejected_rows:
            metrics.rejected_host_entries.inc()
            self._context.rate_limited_log.warn("host list entry rejected", why=text)
        metrics.host_list_version.set(version)
        metrics.hosts_listed.set(len(self.view.entries))

    def _known_version(self) -> int:
        """Return the list version to continue from; 0, to read the full list, if runs need unsaved release versions."""
        return self.view.version if self.view.served_versions or self._context.config.pins is None else 0
