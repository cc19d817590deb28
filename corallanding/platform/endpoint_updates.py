"""Conversion of host lists to events for the assigner; what cannot be used is logged."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .. import interface as api
from ..discovery.host_list import HostListView, InvalidAnswerError, ListAnswer
from ..discovery.long_poll import DiscoveryClient
from ..host_names import host_name
from .config import Config
from .logs import RateLimitedLogger, log

MAX_LOGGED_ENTRIES = 5  # rejected entries of one list


class HostListSource:
    """Receives the answers of the discovery client. `on_events` receives the events; `is_traced` logs each list.

    The first answer is reported also if it changes nothing: it confirms the saved list, which is not certain before.
    """

    def __init__(
        self,
        config: Config,
        logger: RateLimitedLogger,
        on_events: Callable[[Sequence[api.Event]], None],
        is_traced: bool,
    ) -> None:
        self.logger = logger
        self.on_events = on_events
        self.is_traced = is_traced
        self.view = HostListView(config.names.zones, config.kinds)
        self.client = DiscoveryClient(config.discovery, self, config.settings.polls_host_list)
        self.is_confirmed = False  # an answer without invalid entries has arrived since the start
        self.client.on_warning = lambda text: self.logger.warn("discovery", text)

    @property
    def version(self) -> int:
        """The version of the current list."""
        return self.view.version

    def apply_saved(self, saved: ListAnswer) -> api.HostListUpdate | None:
        """Apply the list saved before the start and return its update, if any."""
        update = self.view.apply(saved, api.HostListKind.SAVED)
        self.log_rejected_entries()
        return update

    def on_list(self, body: bytes) -> bool:
        """Apply an answer and report its update; return False if it cannot be parsed."""
        try:
            answer = self.view.decode(body)
        except InvalidAnswerError as error:
            self.logger.warn("discovery", f"discovery: invalid answer: {error}")
            return False
        update = self.view.apply(answer)
        if self.is_traced and update:
            rows = " ".join(
                f"{host_name(entry.host)}:{entry.state}:{entry.online_since:.0f}" for entry in update.entries
            )
            log.info("list %d %s %s", update.version, update.kind.value, rows)
        self.log_rejected_entries()
        is_confirmation = not self.is_confirmed and not self.view.rejected_entries
        self.is_confirmed = self.is_confirmed or is_confirmation
        if update or self.client.on_request or is_confirmation:
            self.on_events([update or api.HostListUpdate(api.HostListKind.CHANGES, answer.version)])
        return True

    def on_list_failed(self, _: str) -> None:
        """Report that a requested list was not received."""
        self.on_events([api.HostListUpdate(api.HostListKind.FAILED, self.view.version)])

    def log_rejected_entries(self) -> None:
        """Log the rejected entries of the last answer."""
        for text in self.view.rejected_entries[:MAX_LOGGED_ENTRIES]:
            self.logger.warn("entry", f"discovery: {text}")
