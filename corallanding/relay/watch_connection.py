"""One connection with a watch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..connection import Address
from .line_protocol import LineConnection
from .subscription import InitialState


class WatchConnection(LineConnection):
    """A connection with a watch. `initial_state` is set until what is in force is complete."""

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
        """Stop waiting for a quiet period."""
        if self.quiet_timer:
            self.quiet_timer.cancel()

    def discard(self) -> None:
        """Close the connection without telling the owner."""
        self.cancel_quiet_timer()
        super().discard()
