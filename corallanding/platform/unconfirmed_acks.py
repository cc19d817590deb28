"""Recovery of acknowledgements that were lost while the relay's watch was interrupted."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .. import interface as api
from ..relay.subscription import RelayView

NO_VERSION = -1


class LostAckRecovery:
    """Counts versions with lost acks as acknowledged once they must have left the relay's channel.

    `on_events` receives the acks.
    """

    def __init__(
        self,
        settings: api.Settings,
        view: RelayView,
        clock: Callable[[], float],
        on_events: Callable[[list[api.Event]], None],
    ) -> None:
        self.settings = settings
        self.view = view
        self.clock = clock
        self.on_events = on_events
        self.last_version = NO_VERSION
        self.last_version_at_ms = 0.0

    def on_version_ordered(self, version: int, now_ms: float) -> None:
        """Record the last version that was ordered."""
        self.last_version = version
        self.last_version_at_ms = now_ms

    def on_watch_resumed(self) -> None:
        """Assume acks after an interruption of the watch, once all orders sent before must have been applied."""
        settings = self.settings
        queue_ms = settings.max_queued_lines * 1000.0 / settings.channel_lines_per_second
        applied_by_ms = self.last_version_at_ms + queue_ms + settings.max_propagation_ms
        delay_ms = max(0.0, applied_by_ms - self.clock())
        asyncio.get_running_loop().call_later(delay_ms / 1000.0, self.assume_acked, self.last_version)

    def assume_acked(self, version: int) -> None:
        """Report all versions up to this one as acknowledged."""
        if version != NO_VERSION:
            self.on_events(self.view.assume_acked(version))
