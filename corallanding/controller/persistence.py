"""What outlives the process: tables in the store or the registry, snapshots and the log of steps after them."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ..registry.slice_ownership import Fenced
from ..snapshot import file as snapshots
from ..store import StoreContents, StoreError, StoreLockedError
from ..telemetry import log
from . import recorder
from .components import Parts
from .recorder import Recorder, RecordingError
from .recovery import ControllerState, StateMismatchError, Step, boot_id, capture_state, check_state, restore
from .step_outputs import StoreWrites


class Keeping(Parts):
    """A store that fails is tried again at growing waits; meanwhile tables go out unsaved."""

    def seed(self, life: int) -> int:
        return self.config.steward.seed * 1_000_003 + life

    def last_state(self, life: int) -> ControllerState | None:
        """What the last life left; its clock goes on. None if there is nothing that can be used; the log says why."""
        path = self.config.store.snapshot_path
        if not path:
            return None
        if not self.trust_snapshot:
            log.warning("snapshot not used; the tables alone are", why="the last starts ended in deaths soon after")
            return None
        try:
            state = snapshots.read(path, ControllerState)
            check_state(state, self.config.steward.number, self.settings, boot_id(), life)
        except snapshots.SnapshotMissingError:
            return None
        except (snapshots.SnapshotError, StateMismatchError, OSError) as fault:
            log.warning("snapshot not used; the tables alone are", why=str(fault))
            return None
        self.clock.zero, self.log_number = state.clock_zero_s, state.log_number
        self.stepped_at = self.clock()
        return state

    def take_up(self, state: ControllerState, now: float) -> bool:
        """Begin where the last life was; false if that cannot be, and the log says why."""
        origins = self.view.origins
        try:
            steps: list[Step] = []
            while (path := Path(self.log_path(self.log_number))).exists():
                steps += recorder.read(path).steps
                self.log_number += 1
            self.view.origins = {(h, started): since for h, started, since in state.host_origins}
            count, anew = restore(self.engine, state, steps, now)
        except (StateMismatchError, RecordingError, OSError) as fault:
            log.warning("snapshot not used; the tables alone are", why=str(fault))
            self.view.origins = origins
            return False
        log.info("revived", life=state.start_number, steps=count, anew=len(anew), age_ms=round(now - state.captured_at))
        return True

    def log_path(self, number: int) -> str:
        return f"{self.config.store.snapshot_path}.log.{number}"

    def drop_logs(self, below: int) -> None:
        path = Path(str(self.config.store.snapshot_path))
        for old in path.parent.glob(path.name + ".log.*"):
            if old.suffix[1:].isdigit() and int(old.suffix[1:]) < below:
                old.unlink(missing_ok=True)

    def keep_state(self) -> None:
        """Take a snapshot, and begin the log of what comes after it. Written beside the loop."""
        if self.stopped is None or self.stopped.done():
            return
        loop, c = asyncio.get_running_loop(), self.config.store
        loop.call_later(c.snapshot_every_ms / 1000.0, self.keep_state)
        if self.paused or self.engine.overload.is_overloaded or (self.state_task and not self.state_task.done()):
            return  # the log goes on meanwhile
        begun = self.clock()
        number = self.log_number + 1
        state = self.state(number)
        if state is None or c.snapshot_path is None:
            return
        try:
            fresh = Recorder(self.log_path(number), self.settings, state.assigner.seed, c.log_most_mb * 1e6, True)
        except OSError as fault:
            self.rate_limited_log.warn("snapshot not kept", why=str(fault))
            return
        if self.steps_log:
            self.steps_log.close()
        self.steps_log, self.log_number = fresh, number
        data = snapshots.pack(state)
        self.metrics.snapshot_bytes.set(len(data))
        self.metrics.snapshot_seconds.observe((self.clock() - begun) / 1000.0)
        self.state_task = loop.create_task(self.write_state(c.snapshot_path, data, number))

    def state(self, log: int) -> ControllerState | None:
        """As it stands between two steps; None if the module is not one that can be kept."""
        me = self.config.steward.number
        return capture_state(self.engine, me, boot_id(), self.clock.zero, self.view.origins, log)

    async def write_state(self, path: str, data: bytes, number: int) -> None:
        def work() -> None:
            snapshots.replace_file(path, data)
            self.drop_logs(number)

        try:
            await asyncio.get_running_loop().run_in_executor(None, work)
        except OSError as fault:
            self.rate_limited_log.warn("snapshot not kept", why=str(fault))

    def keep(self, now: float, writes: StoreWrites) -> bool:
        """Write to the store; false while it does not take it."""
        if not writes.entries and not writes.resets:
            return not self.store_faults
        if now < self.store_again or self.store_shut:
            return False
        try:
            self.store.write(writes.message_number, writes.entries, writes.resets)
        except StoreLockedError as fault:
            # Another steward has the slices: what this one says from now on would be a second voice.
            log.error("store taken by another steward", why=str(fault))
            self.stop(4)
            return False
        except StoreError as fault:
            self.store_failed(now, str(fault), self.store_faults)
            log.error(
                "store does not write; tables go out unsaved",
                why=str(fault),
                faults=self.store_faults,
                unsaved=len(self.engine.unsaved_tables),
            )
            return False
        if self.store_faults:
            log.info("store writes again", faults=self.store_faults)
            self.store_mended()
        return True

    async def keep_shared(self, begun: float) -> None:
        """Write the step's tables to the registry, fenced. What is refused is not sent; what cannot be reached in
        time is sent all the same while the lease surely stands, and written later."""
        assert self.keeper
        assert self.config.registry
        engine, stored = self.engine, False
        tables = {
            t: dict(engine.published.tables.get(t, {})) for t in engine.unsaved_tables if t in engine.owned_slices
        }
        try:
            async with asyncio.timeout(self.config.registry.write_within_ms / 1000.0):
                await self.keeper.write(tables)
            stored = True
        except TimeoutError:
            self.shared_fault("no answer in time")
        except Exception as fault:
            if isinstance(fault, Fenced):
                engine.on_writes_fenced()
                log.warning("fenced", why=str(fault))
            self.shared_fault(str(fault))
        if not stored and not self.keeper.charge.may_speak(self.clock()):
            engine.on_writes_fenced()
        if stored:
            self.store_mended()
        self.writing = None
        if self.stopped and not self.stopped.done():
            self.finish(begun, stored)

    def shared_fault(self, why: str) -> None:
        self.store_failed(self.clock(), why, self.store_faults + 1)
        self.rate_limited_log.warn("registry does not write; tables go out unsaved", why=why)

    def store_failed(self, now: float, why: str, tries: int) -> None:
        """Tries again with a growing, capped wait."""
        s = self.config.store
        wait = min(s.retry_most_ms, s.retry_ms * 2 ** min(tries, 20))
        self.store_faults, self.store_again, self.store_fault = self.store_faults + 1, now + wait, why
        self.metrics.store_failures.inc()
        self.metrics.store_writable.set(0)
        asyncio.get_running_loop().call_later(wait / 1000.0 + 0.002, self.retry_store)

    def store_mended(self) -> None:
        self.store_faults, self.store_fault = 0, ""
        self.metrics.store_writable.set(1)

    def retry_store(self) -> None:
        if self.store_shut and not self.paused and not self.open_again():
            return
        self.engine.is_store_backing_off = False
        if self.stopped and not self.stopped.done():
            self.wake()

    def open_again(self) -> bool:
        """A store that could not be opened when a handover came to nothing. What forwarders hold is what counts by
        now: it is written whole."""
        try:
            life = self.store.open()
        except StoreLockedError as fault:
            log.error("store taken by another steward", why=str(fault))
            self.stop(4)
            return False
        except StoreError as fault:
            self.store_failed(self.clock(), str(fault), self.store_faults)
            return False
        self.reopened(life)
        tables = self.engine.published.tables
        self.engine.unsaved_resets |= set(life.tables) | set(tables)
        self.engine.unsaved_tables = {t: dict(rows) for t, rows in tables.items()}
        log.info("the store is open again", life=life.start_number, faults=self.store_faults)
        self.store_mended()
        self.greet_all()
        return True

    def reopened(self, life: StoreContents) -> bool:
        """True if another process had the store since it was let go."""
        self.store_shut = False
        spoke = life.start_number != self.engine.start_number + 1
        self.engine.start_number = life.start_number
        return spoke
