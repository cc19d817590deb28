"""Leases in the registry: of slices, and of the leadership of the election for quotas and tasks. Both are optional."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..config.sources import RegistryBlock
from ..telemetry import log
from .context import Context
from .engine import Engine

if TYPE_CHECKING:
    from ..registry.table_store import SliceListener, TableStore

RETIRE_POLL_S = 0.02


class LeadershipLogger:
    """Logs whether this controller holds the leader's lease; the election reads it from the store's ownership state.

    The leader's lease is stored like that of a slice, under its own prefix: its only slice, 0, has no table.
    """

    def __init__(self, on_failure: Callable[[str], None]) -> None:
        self.on_failure = on_failure

    def on_slice_granted(self, slice_id: int, weights: dict[int, float]) -> None:  # noqa: ARG002 - one key only
        """Log that the lease was granted."""
        log.info("leadership", is_held=True)

    def on_slice_revoked(self, slice_id: int) -> None:  # noqa: ARG002 - one key only
        """Log that the lease was lost."""
        log.info("leadership", is_held=False)


class RegistrySlices:
    """The slices that this controller owns by leases in the registry.

    table_store: leases the slices; None if the configuration assigns them without the registry. connect_registry:
    returns a function that opens connections. request_step: requests a decision step.
    """

    def __init__(
        self,
        context: Context,
        engine: Engine,
        connect_registry: Callable[[RegistryBlock, Callable[[str], None]], Callable[[], Any]],
        request_step: Callable[[], None],
    ) -> None:
        self._context = context
        self._engine = engine
        self._connect_registry = connect_registry
        self._request_step = request_step
        self._stopping: asyncio.Task[None] | None = None
        self.table_store: TableStore | None = None

    def start(self, slices: range) -> None:
        """Start to acquire leases, if the configuration divides slices by the registry (`charge`)."""
        block = self._context.config.registry
        if not block or not block.charge:
            return
        config = self._context.config.steward
        rng = random.Random(f"{config.seed}:{config.number}:{self._engine.start_number}")
        self.table_store = self._make_table_store(block, block.base, slices, self, rng)
        self.table_store.start()

    def leadership_store(self) -> TableStore | None:
        """Return a store, not started, for the leader's lease; None if the leader is elected by votes instead.

        The lease has its own prefix below that of the slices.
        """
        block = self._context.config.registry
        if not block or self._context.config.budgets.office != "registry":
            return None
        listener = LeadershipLogger(self.on_failure)
        return self._make_table_store(block, f"{block.base}office/", range(1), listener, random.SystemRandom())

    async def retire(self) -> None:
        """Release the slices to other controllers; return once that is done, or after `retire_within_ms`.

        Slices that are not released by then become free when their lease expires.
        """
        block = self._context.config.registry
        if not self.table_store or not block:
            return
        self.table_store.start_leaving()
        deadline_ms = self._context.clock() + block.retire_within_ms
        while not self.table_store.is_drained:
            if self._context.clock() >= deadline_ms:
                return
            await asyncio.sleep(RETIRE_POLL_S)

    def stop(self) -> None:
        """Close the connection. Leases that `retire` has not released expire."""
        if self.table_store:
            # The event loop keeps only weak references to tasks.
            self._stopping = asyncio.get_running_loop().create_task(self.table_store.stop())

    # ---- events from the table store (`registry.table_store.SliceListener`) --------------------------------------

    def on_slice_granted(self, slice_id: int, weights: dict[int, float]) -> None:
        """Record that the registry granted a slice; `weights` is its table as stored there."""
        self._engine.on_slice_gained(self._context.clock(), slice_id, weights)
        self._request_step()

    def on_slice_revoked(self, slice_id: int) -> None:
        """Record that the lease of a slice ended."""
        self._engine.on_slice_lost(self._context.clock(), slice_id)
        self._request_step()

    def on_failure(self, text: str) -> None:
        """Log a failure of the registry."""
        self._context.rate_limited_log.warn("registry", why=text)

    def _make_table_store(
        self, block: RegistryBlock, base: str, slices: range, listener: SliceListener, rng: random.Random
    ) -> TableStore:
        from ..registry.controller_lease import OwnershipTimings
        from ..registry.table_store import TableStore, TableStoreConfig
        from ..registry.watch_messages import WatchLimits

        # Minimum and maximum backoff in ms, full reads per minute, keys per page.
        limits = WatchLimits(block.wait_ms, block.wait_most_ms, block.reads_per_min, block.page)
        controller = self._context.config.steward.number
        config = TableStoreConfig(base, controller, slices, OwnershipTimings(block.lease_ms), limits)
        connect = self._connect_registry(block, self.on_failure)
        return TableStore(config, connect, listener, self._context.clock, rng.random)
