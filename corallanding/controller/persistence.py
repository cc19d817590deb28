"""Tables in the store or the registry. A store that fails is tried again; meanwhile tables are published unsaved."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..registry.errors import FencedError
from ..store import Store, StoreContents, StoreError, StoreLockedError
from ..telemetry import log
from .context import Context, ExitCode
from .engine import Engine
from .registry_slices import RegistrySlices
from .step_outputs import StoreWrites

MAX_BACKOFF_DOUBLINGS = 20
RETRY_MARGIN_S = 0.002  # after the end of a wait, so that a timer that fires early does not come in vain


class TablePersistence:
    """Writes what a decision step changed.

    error_count, error_text: of writes that failed since the last that did not. retry_at_ms: no write before.
    is_released: the store was closed for a handover. request_step: asks for a decision step. on_reopened: called when
    the store has been opened again after a handover that failed.
    """

    def __init__(
        self,
        context: Context,
        engine: Engine,
        store: Store,
        registry: RegistrySlices,
        request_step: Callable[[], None],
        on_reopened: Callable[[], None],
    ) -> None:
        self._context = context
        self._engine = engine
        self._registry = registry
        self._request_step = request_step
        self._on_reopened = on_reopened
        self.store = store
        self.error_count = 0
        self.error_text = ""
        self.retry_at_ms = 0.0
        self.is_released = False

    def needs_registry_write(self, now: float, writes: StoreWrites) -> bool:
        """Whether these writes go to the registry, which takes time."""
        return bool(self._registry.table_store and now >= self.retry_at_ms and (writes.entries or writes.resets))

    def write(self, now: float, writes: StoreWrites) -> bool:
        """Write to the store; false while it does not take it."""
        if self._registry.table_store or not (writes.entries or writes.resets):
            return not self.error_count
        if now < self.retry_at_ms or self.is_released:
            return False
        try:
            self.store.write(writes.message_number, writes.entries, writes.resets)
        except StoreLockedError as error:
            # Another controller has the slices: proxies would get contradictory tables.
            self._stop_as_taken(error)
            return False
        except StoreError as error:
            self.on_failure(now, str(error), self.error_count)
            log.error(
                "store does not write; tables go out unsaved",
                why=str(error),
                faults=self.error_count,
                unsaved=len(self._engine.unsaved_tables),
            )
            return False
        if self.error_count:
            log.info("store writes again", faults=self.error_count)
            self._on_success()
        return True

    async def write_to_registry(self) -> bool:
        """Write the tables of the step to the registry, under the leases' fencing tokens; whether it took them.

        Tables that are refused are not published. If the registry cannot be reached in time, they are published all
        the same while the lease surely stands, and written later.
        """
        table_store = self._registry.table_store
        block = self._context.config.registry
        if table_store is None or block is None:
            return False
        engine = self._engine
        tables = {
            slice_: dict(engine.published.tables.get(slice_, {}))
            for slice_ in engine.unsaved_tables
            if slice_ in engine.owned_slices
        }
        is_stored = False
        try:
            async with asyncio.timeout(block.write_within_ms / 1000.0):
                await table_store.write(tables)
            is_stored = True
        except TimeoutError:
            self._on_registry_failure("no answer in time")
        except Exception as error:  # noqa: BLE001 - the client library raises many kinds; each counts as a failed write
            if isinstance(error, FencedError):
                engine.on_writes_fenced()
                log.warning("fenced", why=str(error))
            self._on_registry_failure(str(error))
        if not is_stored and not table_store.ownership.has_valid_lease(self._context.clock()):
            engine.on_writes_fenced()
        if is_stored:
            self._on_success()
        return is_stored

    def on_failure(self, now: float, why: str, attempts: int) -> None:
        """Note a failure, and retry with exponential backoff."""
        config = self._context.config.store
        backoff_ms = min(config.retry_most_ms, config.retry_ms * 2 ** min(attempts, MAX_BACKOFF_DOUBLINGS))
        self.error_count += 1
        self.retry_at_ms = now + backoff_ms
        self.error_text = why
        self._context.metrics.store_failures.inc()
        self._context.metrics.store_writable.set(0)
        asyncio.get_running_loop().call_later(backoff_ms / 1000.0 + RETRY_MARGIN_S, self._retry)

    def release(self) -> None:
        """Close the store, for another process."""
        self.store.close()
        self.is_released = True

    def note_reopened(self, contents: StoreContents) -> bool:
        """Go on with a store that was opened again. True if another process had it since it was released."""
        self.is_released = False
        was_used = contents.start_number != self._engine.start_number + 1
        self._engine.start_number = contents.start_number
        return was_used

    def _on_registry_failure(self, why: str) -> None:
        self.on_failure(self._context.clock(), why, self.error_count + 1)
        self._context.rate_limited_log.warn("registry does not write; tables go out unsaved", why=why)

    def _on_success(self) -> None:
        self.error_count = 0
        self.error_text = ""
        self._context.metrics.store_writable.set(1)

    def _retry(self) -> None:
        if self.is_released and not self._context.lifecycle.is_paused and not self._reopen():
            return
        self._engine.is_store_backing_off = False
        if self._context.lifecycle.is_running:
            self._request_step()

    def _reopen(self) -> bool:
        """Open a store that could not be opened when a handover failed, and write all tables to it.

        What proxies have is what counts by now.
        """
        try:
            contents = self.store.open()
        except StoreLockedError as error:
            self._stop_as_taken(error)
            return False
        except StoreError as error:
            self.on_failure(self._context.clock(), str(error), self.error_count)
            return False
        self.note_reopened(contents)
        tables = self._engine.published.tables
        self._engine.unsaved_resets |= set(contents.tables) | set(tables)
        self._engine.unsaved_tables = {slice_: dict(row) for slice_, row in tables.items()}
        log.info("the store is open again", start_number=contents.start_number, faults=self.error_count)
        self._on_success()
        self._on_reopened()
        return True

    def _stop_as_taken(self, error: StoreLockedError) -> None:
        log.error("store taken by another controller", why=str(error))
        self._context.lifecycle.request_stop(ExitCode.STORE)
