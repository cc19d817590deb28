"""Periodic log lines: changes of state, counts of rejected reports and closed connections, and the trace."""

from __future__ import annotations

import asyncio

from ..assignment import Assigner
from . import trace
from .logs import CountLogger, log
from .state_log import StateLog

COUNTS_INTERVAL_SECONDS = 10.0
STATE_INTERVAL_SECONDS = 0.5
TRACE_INTERVAL_SECONDS = 1.0


class ActivityLog:
    """Logs the activity of a controller. `is_traced` adds the trace lines of each second."""

    def __init__(self, controller: trace.TracedController, is_traced: bool) -> None:
        self.controller = controller
        self.is_traced = is_traced
        self.loop = asyncio.get_running_loop()
        self.rejected_reports = CountLogger("rejected reports")
        self.closed_connections = CountLogger("closed connections")
        assigner = controller.inbox.assigner
        self.state_log = StateLog(assigner) if isinstance(assigner, Assigner) else None

    def start(self) -> None:
        """Start the periodic logging."""
        self.loop.call_later(COUNTS_INTERVAL_SECONDS, self.log_counts)
        self.loop.call_later(STATE_INTERVAL_SECONDS, self.log_state)
        if self.is_traced:
            self.loop.call_later(TRACE_INTERVAL_SECONDS, self.log_trace)

    def log_stop(self) -> None:
        """Log what is unfinished when the controller stops."""
        calls = self.controller.calls
        in_flight = len(calls.in_flight.orders) if calls.in_flight else 0
        unanswered = self.controller.server.unanswered_count if self.controller.server else 0
        log.info("stopping: %d orders wait, %d in a call, %d peers wait", len(calls.waiting), in_flight, unanswered)

    def log_state(self) -> None:
        """Log what has changed in the assigner's state since the previous call."""
        self.loop.call_later(STATE_INTERVAL_SECONDS, self.log_state)
        if self.state_log:
            for line in self.state_log.lines(self.controller.clock()):
                log.info("%s", line)

    def log_counts(self) -> None:
        """Log the reports rejected and connections closed since the previous call, by reason."""
        self.loop.call_later(COUNTS_INTERVAL_SECONDS, self.log_counts)
        if self.controller.server:
            self.rejected_reports.log(self.controller.intake.rejected)
            self.closed_connections.log(self.controller.server.close_reasons)

    def log_trace(self) -> None:
        """Log the trace lines of the last second."""
        self.loop.call_later(TRACE_INTERVAL_SECONDS, self.log_trace)
        for line in trace.summary_lines(self.controller):
            log.info("trace %s", line)
        self.controller.decisions.max_duration_ms = 0.0
