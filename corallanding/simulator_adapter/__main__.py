"""Run many instances on the simulator's wire: `python -m corallanding.simulator_adapter`."""

from __future__ import annotations

import sys
from typing import TextIO

from .. import interface as api
from ..assignment import Assigner
from . import codec
from .fields import Fields, Malformed, split, whole
from .settings import settings


class Host:
    """The instances of one process. They share nothing but the numbered host lists of the wire."""

    def __init__(self) -> None:
        self.instances: dict[int, Assigner] = {}
        self.pools: dict[int, tuple[api.HostEntry, ...]] = {}
        self.reading: tuple[int, int, list[api.HostEntry]] | None = None
        self.now: float | None = None
        self.inbox: dict[int, list[api.Event]] = {}
        self.out: list[str] = []

    def line(self, line: str) -> bool:
        """Take one line; true once the batch is complete and `out` holds the reply."""
        name, f = split(line)
        if self.reading is not None:
            set_id, most, entries = self.reading
            if name != "HOST":
                raise Malformed(f"{most - len(entries)} more HOST lines were due, not {name!r}")
            entries.append(codec.entry(f))
            if len(entries) == most:
                self.pools[set_id], self.reading = tuple(entries), None
            return False
        if name == "BEGIN_BATCH":
            if self.now is not None:
                raise Malformed("BEGIN_BATCH inside a batch")
            self.now = whole(f, "simTime") / 1000.0
            return False
        if self.now is None:
            raise Malformed(f"{name!r} outside a batch")
        if name == "FLUSH":
            self.flush(self.now)
            self.now = None
            return True
        if name == "POOL":
            set_id, most = whole(f, "setId"), whole(f, "members")
            if most:
                self.reading = (set_id, most, [])
            else:
                self.pools[set_id] = ()
            return False
        self.event(name, f)
        return False

    def event(self, name: str, f: Fields) -> None:
        steward = whole(f, "steward")
        if name == "NEW_INSTANCE":
            conf, seed = settings(f), whole(f, "seed")
            self.inbox[steward] = []
            try:
                self.instances[steward] = Assigner(conf, seed)
            except Exception as fault:  # the wire asks for any fault to be told, not to end the process
                self.panic(steward, fault)
            return
        if name == "STOP":
            self.instances.pop(steward, None)
            self.inbox.pop(steward, None)
            return
        if name == "MEMBERSHIP":
            event: api.Event = codec.membership(f, self.pools)
        elif name in codec.EVENTS:
            event = codec.EVENTS[name](f)
        else:
            raise Malformed(f"{name!r} is no message of the wire")
        if steward in self.instances:
            self.inbox.setdefault(steward, []).append(event)

    def flush(self, now: float) -> None:
        for steward, events in self.inbox.items():
            if steward not in self.instances:
                continue
            try:
                for action in self.instances[steward].step(now, events):
                    self.out.append(codec.encode(steward, action))
            except Exception as fault:
                self.panic(steward, fault)
        self.inbox.clear()

    def panic(self, steward: int, fault: Exception) -> None:
        what = codec.text(f"{type(fault).__name__}: {fault}")
        self.out.append(f"PANIC\tsteward={steward}\tnoteText={what}")
        self.instances.pop(steward, None)


def run(source: TextIO, sink: TextIO) -> int:
    host = Host()
    for at, line in enumerate(source, 1):
        line = line.rstrip("\r\n")
        if not line:
            continue
        try:
            done = host.line(line)
        except Malformed as fault:
            print(f"simhost: line {at}: {fault}: {line[:200]!r}", file=sys.stderr)
            return 2
        if done:
            sink.write("".join(f"{reply}\n" for reply in host.out) + "FINISHED\n")
            sink.flush()
            host.out.clear()
    if host.now is not None or host.reading is not None:
        print(f"simhost: line {at}: the input ends inside a batch", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.stdin.reconfigure(encoding="utf-8", errors="strict")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        sys.exit(run(sys.stdin, sys.stdout))
    except UnicodeDecodeError as fault:
        print(f"simhost: a line is not UTF-8: {fault}", file=sys.stderr)
        sys.exit(2)
