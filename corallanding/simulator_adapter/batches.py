"""Processes batches of the simulator's wire protocol: lines in, replies of all instances out. It does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from .. import interface as api
from ..assignment import Assigner
from .action_encoder import encode_action, one_line
from .event_decoder import EVENT_DECODERS, decode_host_entry, decode_host_list
from .fields import Fields, MalformedLineError, parse_line, required_count
from .settings import read_settings


@dataclass
class _PartialHostList:
    """A numbered host list (POOL) that is not complete: some of its HOST lines have not been read yet."""

    number: int
    size: int
    entries: list[api.HostEntry] = field(default_factory=list)


class BatchProcessor:
    """The instances of one process. They share only the numbered host lists of the wire protocol."""

    def __init__(self) -> None:
        self.instances: dict[int, Assigner] = {}
        self.host_lists: dict[int, tuple[api.HostEntry, ...]] = {}
        self.partial_host_list: _PartialHostList | None = None
        self.now_ms: float | None = None  # time of the current batch; None between batches
        self.events: dict[int, list[api.Event]] = {}  # events by instance, in the order of first mention in the batch
        self.replies: list[str] = []

    @property
    def is_inside_batch(self) -> bool:
        """Whether the lines so far end in the middle of a batch or of a host list."""
        return self.now_ms is not None or self.partial_host_list is not None

    def process(self, line: str) -> list[str] | None:
        """Process one line, and return the reply once a batch is complete. Raises MalformedLineError."""
        name, fields = parse_line(line)
        if self.partial_host_list is not None:
            self._add_host_list_entry(self.partial_host_list, name, fields)
        elif name == "BEGIN_BATCH":
            if self.now_ms is not None:
                raise MalformedLineError("BEGIN_BATCH inside a batch")
            self.now_ms = required_count(fields, "simTime") / 1000.0
        elif self.now_ms is None:
            raise MalformedLineError(f"{name!r} outside a batch")
        elif name == "FLUSH":
            return self._finish_batch(self.now_ms)
        elif name == "POOL":
            self._begin_host_list(fields)
        else:
            self._add_event(name, fields)
        return None

    def _begin_host_list(self, fields: Fields) -> None:
        number = required_count(fields, "setId")
        size = required_count(fields, "members")
        if size:
            self.partial_host_list = _PartialHostList(number, size)
        else:
            self.host_lists[number] = ()

    def _add_host_list_entry(self, host_list: _PartialHostList, name: str, fields: Fields) -> None:
        if name != "HOST":
            raise MalformedLineError(
                f"expected {host_list.size - len(host_list.entries)} more HOST lines, got {name!r}"
            )
        host_list.entries.append(decode_host_entry(fields))
        if len(host_list.entries) == host_list.size:
            self.host_lists[host_list.number] = tuple(host_list.entries)
            self.partial_host_list = None

    def _add_event(self, name: str, fields: Fields) -> None:
        instance = required_count(fields, "steward")
        if name == "NEW_INSTANCE":
            self._start_instance(instance, fields)
        elif name == "STOP":
            self.instances.pop(instance, None)
            self.events.pop(instance, None)
        else:
            event = self._decode_event(name, fields)
            if instance in self.instances:
                self.events.setdefault(instance, []).append(event)

    def _decode_event(self, name: str, fields: Fields) -> api.Event:
        if name == "MEMBERSHIP":
            return decode_host_list(fields, self.host_lists)
        if name not in EVENT_DECODERS:
            raise MalformedLineError(f"unknown message {name!r}")
        return EVENT_DECODERS[name](fields)

    def _start_instance(self, instance: int, fields: Fields) -> None:
        settings = read_settings(fields)
        seed = required_count(fields, "seed")
        self.events[instance] = []
        try:
            self.instances[instance] = Assigner(settings, seed, proxies_keep_orders=True)
        except Exception as error:  # noqa: BLE001 - any error must be reported without ending the process
            self._fail_instance(instance, error)

    def _finish_batch(self, now_ms: float) -> list[str]:
        """Run one step of each instance that is new or has events, and return all replies."""
        for instance, events in self.events.items():
            if instance in self.instances:
                self._step(instance, now_ms, events)
        replies = self.replies
        self.events.clear()
        self.replies = []
        self.now_ms = None
        return replies

    def _step(self, instance: int, now_ms: float, events: list[api.Event]) -> None:
        try:
            for action in self.instances[instance].step(now_ms, events):
                self.replies.append(encode_action(instance, action))
        except Exception as error:  # noqa: BLE001 - any error must be reported without ending the process
            self._fail_instance(instance, error)

    def _fail_instance(self, instance: int, error: Exception) -> None:
        reason = one_line(f"{type(error).__name__}: {error}")
        self.replies.append(f"PANIC\tsteward={instance}\tnoteText={reason}")
        self.instances.pop(instance, None)
