"""Reports that acknowledgements may have been lost while the relay's watch was interrupted."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as api


class LostAckReporter:
    """Remembers the last version that the relay has confirmed. `on_events` receives the reports.

    Only a confirmed version is reported: what waits for the relay, or was in a call of unknown outcome, has not
    certainly been sent, and its acknowledgements will still arrive.
    """

    def __init__(self, clock: Callable[[], float], on_events: Callable[[list[api.Event]], None]) -> None:
        self.clock = clock
        self.on_events = on_events
        self.confirmed_version: int | None = None
        self.confirmed_at_ms = 0.0

    def on_version_confirmed(self, version: int) -> None:
        """Record a version whose call the relay has carried out."""
        self.confirmed_version = version
        self.confirmed_at_ms = self.clock()

    def on_watch_resumed(self) -> None:
        """Report the acknowledgements that the interruption of the watch may have lost."""
        if self.confirmed_version is not None:
            self.on_events([api.AcksLost(self.confirmed_version, self.clock() - self.confirmed_at_ms)])
