"""Takes snapshots of the assigner's state, and logs the decision steps after each snapshot."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ..endpoints.endpoint_list import EndpointList
from ..snapshot import file as snapshots
from ..telemetry import log
from . import recorder
from .context import Context
from .engine import Engine
from .event_inbox import DecisionStep
from .recorder import Recorder, RecordingError
from .recovery import ControllerState, StateMismatchError, Step, boot_id, capture_state, check_state, restore

ALL_LOGS = 2**63  # above the number of every log


def read_last_state(context: Context, start_number: int, *, is_trusted: bool) -> ControllerState | None:
    """Return the last process's snapshot and continue its clock. Returns None, and logs why, if it cannot be used.

    is_trusted: false after several failed starts, which the snapshot may have caused.
    """
    path = context.config.store.snapshot_path
    if not path:
        return None
    if not is_trusted:
        log.warning("snapshot not used; starting from the stored tables", why="the last starts failed early")
        return None
    try:
        state = snapshots.read(path, ControllerState)
        check_state(state, context.config.steward.number, context.settings, boot_id(), start_number)
    except snapshots.SnapshotMissingError:
        return None
    except (snapshots.SnapshotError, StateMismatchError, OSError) as error:
        log.warning("snapshot not used; starting from the stored tables", why=str(error))
        return None
    context.clock.origin_reading_s = state.clock_zero_s
    return state


class SnapshotKeeper:
    """Takes snapshots at regular intervals, and logs each step after them. log_number: of the current step log."""

    def __init__(self, context: Context, engine: Engine, view: EndpointList, log_number: int) -> None:
        self._context = context
        self._engine = engine
        self._view = view
        self._writing: asyncio.Task[None] | None = None
        self.log_number = log_number
        self.step_log: Recorder | None = None

    def restore(self, state: ControllerState, now_ms: float) -> bool:
        """Restore a snapshot and replay the steps logged after it; return false, and log why, if that fails."""
        previous_origins = self._view.first_seen_starts
        try:
            steps = self._read_steps()
            self._view.first_seen_starts = {(host, started): since for host, started, since in state.host_origins}
            count, changed = restore(self._engine, state, steps, now_ms)
        except (StateMismatchError, RecordingError, OSError) as error:
            log.warning("snapshot not used; starting from the stored tables", why=str(error))
            self._view.first_seen_starts = previous_origins
            return False
        log.info(
            "state restored",
            start_number=state.start_number,
            steps=count,
            changed_slices=len(changed),
            age_ms=round(now_ms - state.captured_at),
        )
        return True

    def start(self, *, is_restored: bool) -> None:
        """Take the first snapshot, if configured. is_restored: the logs of the last process are still needed."""
        if not self._context.config.store.snapshot_path:
            return
        if not is_restored:
            self._delete_logs(ALL_LOGS)
        self._take_snapshot()

    def capture(self, log_number: int) -> ControllerState | None:
        """Return the state between two steps; None if the assigner's state cannot be saved."""
        number = self._context.config.steward.number
        return capture_state(
            self._engine,
            number,
            boot_id(),
            self._context.clock.origin_reading_s,
            self._view.first_seen_starts,
            log_number,
        )

    def on_step(self, step: DecisionStep) -> None:
        """Log one step."""
        if self.step_log is None:
            return
        self.step_log.write_step(step.now_ms, step.events, step.actions)
        if self.step_log.is_stopped:
            # A log with a gap must not be replayed, and without its log the snapshot is outdated.
            log.error("step log ended; the next snapshot starts a new one", why=self.step_log.stop_reason)
            Path(str(self._context.config.store.snapshot_path)).unlink(missing_ok=True)
            self.step_log.close()
            self.step_log = None

    def stop(self) -> None:
        """Close the step log."""
        if self.step_log:
            self.step_log.close()

    def _read_steps(self) -> list[Step]:
        """Return the steps of all logs from `log_number` on; sets it to the first unused number."""
        steps: list[Step] = []
        while (path := Path(self._log_path(self.log_number))).exists():
            steps += recorder.read_recording(path).steps
            self.log_number += 1
        return steps

    def _take_snapshot(self) -> None:
        """Take a snapshot, start the log of the steps after it, and schedule the next snapshot."""
        if not self._context.lifecycle.is_running:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._context.config.store.snapshot_every_ms / 1000.0, self._take_snapshot)
        is_writing = self._writing is not None and not self._writing.done()
        if self._context.lifecycle.is_paused or self._engine.overload.is_overloaded or is_writing:
            return  # the current step log continues
        started_at_ms = self._context.clock()
        number = self.log_number + 1
        state = self.capture(number)
        path = self._context.config.store.snapshot_path
        if state is None or path is None or not self._start_log(number, state.assigner.seed):
            return
        data = snapshots.pack(state)
        self._context.metrics.snapshot_bytes.set(len(data))
        self._context.metrics.snapshot_seconds.observe((self._context.clock() - started_at_ms) / 1000.0)
        self._writing = loop.create_task(self._write(path, data, number))

    def _start_log(self, number: int, seed: int) -> bool:
        max_bytes = self._context.config.store.log_most_mb * 1e6
        try:
            new_log = Recorder(
                self._log_path(number), self._context.settings, seed, max_bytes, starts_after_snapshot=True
            )
        except OSError as error:
            self._context.rate_limited_log.warn("snapshot not saved", why=str(error))
            return False
        if self.step_log:
            self.step_log.close()
        self.step_log = new_log
        self.log_number = number
        return True

    async def _write(self, path: str, data: bytes, number: int) -> None:
        """Write a snapshot in another thread, and delete the logs before it."""

        def replace_snapshot() -> None:
            snapshots.replace_file(path, data)
            self._delete_logs(number)

        try:
            await asyncio.get_running_loop().run_in_executor(None, replace_snapshot)
        except OSError as error:
            self._context.rate_limited_log.warn("snapshot not saved", why=str(error))

    def _log_path(self, number: int) -> str:
        return f"{self._context.config.store.snapshot_path}.log.{number}"

    def _delete_logs(self, end_number: int) -> None:
        path = Path(str(self._context.config.store.snapshot_path))
        for old in path.parent.glob(path.name + ".log.*"):
            if old.suffix[1:].isdigit() and int(old.suffix[1:]) < end_number:
                old.unlink(missing_ok=True)
