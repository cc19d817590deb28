"""The recording of decision steps, if the command line requests one (`--record`)."""

from __future__ import annotations

from ..telemetry import log
from .context import Context
from .event_inbox import DecisionStep
from .recorder import Recorder


class ActiveRecording:
    """Writes every decision step to a file until it reaches `record.most_mb`; does nothing if none was requested."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._recorder: Recorder | None = None

    @property
    def _max_bytes(self) -> float:
        return self._context.config.record.most_mb * 1e6

    @property
    def position(self) -> tuple[str, int] | None:
        """Return the path and the size in bytes, at which a successor continues; None if nothing is recorded."""
        return (str(self._recorder.path), self._recorder.written_bytes) if self._recorder else None

    def start(self, path: str, seed: int, *, is_restored: bool) -> None:
        """Start a recording at `path`. Raises OSError.

        is_restored: the assigner's state was restored from a snapshot, so the recording is not that of a complete run.
        """
        self._recorder = Recorder(
            path, self._context.settings, seed, self._max_bytes, starts_after_snapshot=is_restored
        )

    def resume(self, path: str, offset: int) -> None:
        """Continue the predecessor process's recording at `offset` bytes; log the error if that fails."""
        try:
            # The seed 0 is not used: it belongs to the header, which the predecessor has written.
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
        """End the recording while the controller runs on, and log the reason as an error: the rest is missing."""
        if self._recorder:
            log.error("recording ended", why=why)
            self.stop()
            self._recorder = None

    def stop(self) -> None:
        """Close the file, for instance when the controller exits."""
        if self._recorder:
            self._recorder.close()
