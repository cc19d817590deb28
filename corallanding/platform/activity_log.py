"""Lines that are logged at intervals: counts of what was rejected, and the trace."""

from __future__ import annotations

import asyncio

from . import trace
from .logs import CountLogger, log

COUNTS_INTERVAL_SECONDS = 10.0
TRACE_INTERVAL_SECONDS = 1.0


class ActivityLog:
    """Logs what a controller did. `is_traced` adds figures of each second."""

    def __init__(self, controller: trace.Traced, is_traced: bool) -> None:
        self.controller = controller
        self.is_traced = is_traced
        self.loop = asyncio.get_running_loop()
        self.rejected_reports = CountLogger("rejected reports")
        self.closed_connections = CountLogger("closed connections")

    def start(self) -> None:
        """Begin to log."""
        self.loop.call_later(COUNTS_INTERVAL_SECONDS, self.log_counts)
        if self.is_traced:
            self.loop.call_later(TRACE_INTERVAL_SECONDS, self.log_trace)

    def log_counts(self) -> None:
        """Log what the listening address rejected since the last such line, by reason."""
        self.loop.call_later(COUNTS_INTERVAL_SECONDS, self.log_counts)
        if self.controller.server:
            self.rejected_reports.log(self.controller.intake.rejected)
            self.closed_connections.log(self.controller.server.close_reasons)

    def log_trace(self) -> None:
        """Log the figures of the last second."""
        self.loop.call_later(TRACE_INTERVAL_SECONDS, self.log_trace)
        for line in trace.figures(self.controller):
            log.info("trace %s", line)
        self.controller.decisions.max_duration_ms = 0.0
