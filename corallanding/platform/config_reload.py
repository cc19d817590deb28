"""Reads the configuration again on SIGHUP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .config import Config, InvalidConfigError, read
from .logs import log

RETRY_SECONDS = 0.1
MAX_ATTEMPTS = 20


class ConfigReloader:
    """Reads the file at `path` when it is told to, and passes the configuration to `on_config`.

    The file may be unreadable or incomplete for a moment, as it is being replaced: the first error is logged, and the
    file is read again up to `MAX_ATTEMPTS` times. Until then the old configuration stays in effect.
    """

    def __init__(self, path: str, on_config: Callable[[Config], None]) -> None:
        self.path = path
        self.on_config = on_config
        self.loop = asyncio.get_running_loop()
        self.attempts_left = 0
        self.timer: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Read the file now."""
        self.stop()
        self.attempts_left = MAX_ATTEMPTS
        self._attempt()

    def _attempt(self) -> None:
        self.timer = None
        try:
            config = read(self.path)
        except InvalidConfigError as error:
            self._on_failure(error)
            return
        log.info("configuration reloaded: discovery %s, store %s", config.discovery, config.relay)
        self.on_config(config)

    def _on_failure(self, error: InvalidConfigError) -> None:
        if self.attempts_left == MAX_ATTEMPTS:
            log.error("configuration not reloaded, the old one stays in effect: %s", error)
        self.attempts_left -= 1
        if self.attempts_left:
            self.timer = self.loop.call_later(RETRY_SECONDS, self._attempt)

    def stop(self) -> None:
        """Read the file no more."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
