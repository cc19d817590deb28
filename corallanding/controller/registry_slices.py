"""Slices and leadership by leases in the registry, where the configuration shares them so."""

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
    from ..registry.table_store import Holder, Keeper

RETIRE_POLL_S = 0.02


class LeadershipHolder:
    """Logs whether this controller holds the leader's lease; who needs to know asks the lease itself."""

    def __init__(self, on_failure: Callable[[str], None]) -> None:
        self.said = on_failure

    def given(self, slice: int, lines: dict[int, float]) -> None:
        """The lease was granted."""
        log.info("leadership", is_held=True)

    def taken(self, slice: int) -> None:
        """The lease was lost."""
        log.info("leadership", is_held=False)


class RegistrySlices:
    """Slices that this controller owns by leases in the registry; `keeper` is None where they are not shared.

    dial_registry: makes a function that opens connections. request_step: asks for a decision step.
    """

    def __init__(
        self,
        context: Context,
        engine: Engine,
        dial_registry: Callable[[RegistryBlock, Callable[[str], None]], Callable[[], Any]],
        request_step: Callable[[], None],
    ) -> None:
        self._context = context
        self._engine = engine
        self._dial_registry = dial_registry
        self._request_step = request_step
        self._stopping: asyncio.Task[None] | None = None
        self.keeper: Keeper | None = None

    def start(self, slices: range) -> None:
        """Begin to ask for leases, where the configuration shares slices through the registry."""
        block = self._context.config.registry
        if not block or not block.charge:
            return
        config = self._context.config.steward
        chance = random.Random(f"{config.seed}:{config.number}:{self._engine.start_number}")
        self.keeper = self._make_keeper(block, block.base, slices, self, chance)
        self.keeper.start()

    def leadership_store(self) -> Keeper | None:
        """What keeps the leader's lease in the registry, if the configuration says so; it is not started."""
        block = self._context.config.registry
        if not block or self._context.config.budgets.office != "registry":
            return None
        holder = LeadershipHolder(self.said)
        return self._make_keeper(block, f"{block.base}office/", range(1), holder, random.SystemRandom())

    async def retire(self) -> None:
        """Give the slices to other controllers, as long as the settings wait for it."""
        block = self._context.config.registry
        if not self.keeper or not block:
            return
        self.keeper.leave()
        deadline = self._context.clock() + block.retire_within_ms
        while not self.keeper.empty:
            if self._context.clock() >= deadline:
                return
            await asyncio.sleep(RETIRE_POLL_S)

    def stop(self) -> None:
        """End the connection; the leases expire."""
        if self.keeper:
            self._stopping = asyncio.get_running_loop().create_task(self.keeper.stop())

    # ---- what the keeper asks of its holder (`registry.table_store.Holder`) ---------------------------------------

    def given(self, slice: int, lines: dict[int, float]) -> None:
        """The registry granted a slice, with its table as stored there."""
        self._engine.on_slice_gained(self._context.clock(), slice, lines)
        self._request_step()

    def taken(self, slice: int) -> None:
        """The lease of a slice has ended."""
        self._engine.on_slice_lost(self._context.clock(), slice)
        self._request_step()

    def said(self, text: str) -> None:
        """The registry failed."""
        self._context.rate_limited_log.warn("registry", why=text)

    def _make_keeper(
        self, block: RegistryBlock, base: str, slices: range, holder: Holder, chance: random.Random
    ) -> Keeper:
        from ..registry.slice_ownership import Terms
        from ..registry.table_store import Keeper
        from ..registry.watch_state import Limits

        limits = Limits(block.wait_ms, block.wait_most_ms, block.reads_per_min, block.page)
        return Keeper(
            self._dial_registry(block, self.said),
            base,
            self._context.config.steward.number,
            slices,
            holder,
            self._context.clock,
            chance.random,
            Terms(block.lease_ms),
            limits,
        )
