"""One connection of the relay's watch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..connection import Address
from .line_protocol import LineConnection
from .subscription import InitialState


class WatchConnection(LineConnection):
    """A connection that receives watch notifications. `initial_state` is set until it is complete."""

    def __init__(
        self,
        address: Address,
        on_lines: Callable[[WatchConnection, list[bytes]], None],
        on_lost: Callable[[WatchConnection], None],
    ) -> None:
        super().__init__(address, on_lines, on_lost)
        self.initial_state: InitialState | None = None
        self.is_accepted = False  # the relay has answered the watch request
        self.quiet_timer: asyncio.TimerHandle | None = None

    def cancel_quiet_timer(self) -> None:
        """Cancel the timer that completes the initial state after a quiet period."""
        if self.quiet_timer:
            self.quiet_timer.cancel()

    def discard(self) -> None:
        """Close the connection without notifying its owner."""
        self.cancel_quiet_timer()
        super().discard()
