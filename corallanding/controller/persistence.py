"""Persists tables in the store or the registry. Failed writes are retried; until then tables are published unsaved."""

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
RETRY_MARGIN_S = 0.002  # added to the backoff: a timer that fires early would find the retry not due yet


class TablePersistence:
    """Writes the changes of each decision step.

    error_count, error_text: number of failed writes since the last success, and the last error. retry_at_ms: earliest
    time of the next write. is_released: the store was closed for a handover. request_step: requests a decision step.
    on_reopened: called when the store has been reopened after a failed handover.
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

    def needs_registry_write(self, now_ms: float, writes: StoreWrites) -> bool:
        """Return whether these writes go to the registry, which is asynchronous."""
        return bool(self._registry.table_store and now_ms >= self.retry_at_ms and (writes.entries or writes.resets))

    def write(self, now_ms: float, writes: StoreWrites) -> bool:
        """Write to the store; return false if the writes are not stored."""
        if self._registry.table_store or not (writes.entries or writes.resets):
            return not self.error_count
        if now_ms < self.retry_at_ms or self.is_released:
            return False
        try:
            self.store.write(writes.message_number, writes.entries, writes.resets)
        except StoreLockedError as error:
            # Another controller decides on the slices: proxies would get contradictory tables.
            self._stop_on_locked_store(error)
            return False
        except StoreError as error:
            self.on_failure(now_ms, str(error), self.error_count)
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
        """Write the tables of the step to the registry, with the leases' fencing tokens; return whether it succeeded.

        Rejected tables are not published. If the registry cannot be reached in time, tables are still published while
        the lease is certainly valid, and written later.
        """
        table_store = self._registry.table_store
        settings = self._context.config.registry
        if table_store is None or settings is None:
            return False
        engine = self._engine
        tables = {
            slice_: dict(engine.published.tables.get(slice_, {}))
            for slice_ in engine.unsaved_tables
            if slice_ in engine.owned_slices
        }
        is_stored = False
        try:
            async with asyncio.timeout(settings.write_within_ms / 1000.0):
                await table_store.write(tables)
            is_stored = True
        except TimeoutError:
            self._on_registry_failure("registry write timed out")
        except Exception as error:  # noqa: BLE001 - the client library raises many kinds; each counts as a failed write
            if isinstance(error, FencedError):
                engine.on_writes_fenced()
                log.warning("registry rejected a stale fencing token", why=str(error))
            self._on_registry_failure(str(error))
        if not is_stored and not table_store.ownership.has_valid_lease(self._context.clock()):
            engine.on_writes_fenced()
        if is_stored:
            self._on_success()
        return is_stored

    def on_failure(self, now_ms: float, why: str, previous_failures: int) -> None:
        """Record a failed write, and schedule a retry with exponential backoff."""
        config = self._context.config.store
        backoff_ms = min(config.retry_most_ms, config.retry_ms * 2 ** min(previous_failures, MAX_BACKOFF_DOUBLINGS))
        self.error_count += 1
        self.retry_at_ms = now_ms + backoff_ms
        self.error_text = why
        self._context.metrics.store_failures.inc()
        self._context.metrics.store_writable.set(0)
        asyncio.get_running_loop().call_later(backoff_ms / 1000.0 + RETRY_MARGIN_S, self._retry)

    def release(self) -> None:
        """Close the store, so that another process can open it."""
        self.store.close()
        self.is_released = True

    def on_store_reopened(self, contents: StoreContents) -> bool:
        """Continue with a reopened store. Returns whether another process opened it since it was released."""
        self.is_released = False
        was_opened_elsewhere = contents.start_number != self._engine.start_number + 1
        self._engine.start_number = contents.start_number
        return was_opened_elsewhere

    def _on_registry_failure(self, why: str) -> None:
        self.on_failure(self._context.clock(), why, self.error_count + 1)
        self._context.rate_limited_log.warn("registry write failed; tables are published unsaved", why=why)

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
        """Reopen a store that could not be opened after a failed handover, and schedule a write of all tables.

        The published tables replace the stored ones, because proxies already use them. Returns whether it was opened.
        """
        try:
            contents = self.store.open()
        except StoreLockedError as error:
            self._stop_on_locked_store(error)
            return False
        except StoreError as error:
            self.on_failure(self._context.clock(), str(error), self.error_count)
            return False
        self.on_store_reopened(contents)
        tables = self._engine.published.tables
        self._engine.unsaved_resets |= set(contents.tables) | set(tables)
        self._engine.unsaved_tables = {slice_: dict(row) for slice_, row in tables.items()}
        log.info("the store has been reopened", start_number=contents.start_number, faults=self.error_count)
        self._on_success()
        self._on_reopened()
        return True

    def _stop_on_locked_store(self, error: StoreLockedError) -> None:
        log.error("store locked by another controller", why=str(error))
        self._context.lifecycle.request_stop(ExitCode.STORE)
