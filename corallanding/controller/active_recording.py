"""The recording of all decision steps that the command line requests."""

from __future__ import annotations

from ..telemetry import log
from .context import Context
from .event_inbox import DecisionStep
from .recorder import Recorder


class ActiveRecording:
    """Writes every step to a file until its size limit is reached; does nothing if no recording was requested."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._recorder: Recorder | None = None

    @property
    def _max_bytes(self) -> float:
        return self._context.config.record.most_mb * 1e6

    @property
    def position(self) -> tuple[str, int] | None:
        """Return the path and size in bytes of the recording; None if nothing is recorded."""
        return (str(self._recorder.path), self._recorder.written_bytes) if self._recorder else None

    def start(self, path: str, seed: int, *, is_restored: bool) -> None:
        """Start a recording. is_restored: the assigner continues from a restored state. Raises OSError."""
        self._recorder = Recorder(
            path, self._context.settings, seed, self._max_bytes, starts_after_snapshot=is_restored
        )

    def resume(self, path: str, offset: int) -> None:
        """Continue the predecessor process's recording at `offset` bytes."""
        try:
            self._recorder = Recorder(path, self._context.settings, 0, self._max_bytes, resume_at=offset)
        except OSError as error:
            log.error("recording ended", why=str(error))

    def on_step(self, step: DecisionStep) -> None:
        """Record one step."""
        if self._recorder is None:
            return
        self._recorder.write_step(step.now_ms, step.events, step.actions)
        if self._recorder.is_stopped:
            self.end(self._recorder.stop_reason)

    def end(self, why: str) -> None:
        """Stop recording, and log why."""
        if self._recorder:
            log.error("recording ended", why=why)
            self.stop()
            self._recorder = None

    def stop(self) -> None:
        """Close the file."""
        if self._recorder:
            self._recorder.close()
