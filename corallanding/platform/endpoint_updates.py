"""Discovery's answers on their way to the module: what can be used becomes an event, what cannot is named."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .. import interface as api
from ..discovery.host_list import HostListView, InvalidAnswerError, ListAnswer
from ..discovery.long_poll import DiscoveryClient
from ..host_names import name
from .config import Config
from .logs import Seldom, log


class Lists:
    """The agent's owner. tell: takes events for the module. traced: each list goes to the log."""

    def __init__(
        self, config: Config, seldom: Seldom, tell: Callable[[Sequence[api.Event]], None], traced: bool
    ) -> None:
        self.seldom, self.tell, self.traced = seldom, tell, traced
        self.view = HostListView(config.places.zones, config.kinds)
        self.agent = DiscoveryClient(config.discovery, self, config.settings.polls_host_list)
        self.agent.on_warning = lambda text: self.seldom.warn("discovery", text)

    @property
    def version(self) -> int:
        return self.view.version

    def saved(self, known: ListAnswer) -> api.HostListUpdate | None:
        """The list as this steward last had it, with its start."""
        event = self.view.apply(known, api.HostListKind.SAVED)
        self.log_rejected_entries()
        return event

    def on_list(self, body: bytes) -> bool:
        try:
            answer = self.view.decode(body)
        except InvalidAnswerError as fault:
            self.seldom.warn("discovery", f"discovery: an answer that cannot be read: {fault}")
            return False
        event = self.view.apply(answer)
        if self.traced and event:
            rows = " ".join(f"{name(e.host)}:{e.state}:{e.online_since:.0f}" for e in event.entries)
            log.info("list %d %s %s", event.version, event.kind.value, rows)
        self.log_rejected_entries()
        if event or self.agent.on_request:
            self.tell([event or api.HostListUpdate(api.HostListKind.CHANGES, answer.version)])
        return True

    def log_rejected_entries(self) -> None:
        for text in self.view.rejected_entries[:5]:
            self.seldom.warn("entry", f"discovery: {text}")

    def on_list_failed(self, why: str) -> None:
        self.tell([api.HostListUpdate(api.HostListKind.FAILED, self.view.version)])
