"""Runs and releases: what forwarders ask and are told. Decided in `pins`."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from typing import Any

from ..config import ControllerConfig
from ..lease.election import OutgoingMessage
from ..rate_limit import PeerRateLimiter
from ..telemetry import Metrics, log
from ..version_pinning.core import pins_on
from ..version_pinning.limits import PinTerms
from ..version_pinning.messages import PINNED, Settled, Tallied, Tally, sound
from ..version_pinning.routes import NoHost, Routes, Row
from ..version_pinning.version_selection import Server, strength
from ..wire import frames
from .action_journal import ActionJournal
from .fleet_view import FleetView
from .record_service import RecordService

PART = 1  # of the protocol, in a forwarder's hello
SAID = ("not-now", "pinned", "over", "full")


def record_key_of(name: str) -> int:
    """The number of a run, a job, a session: not 0, the same at all stewards."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") >> 1 or 1


def pinning_limits(c: ControllerConfig) -> PinTerms:
    assert c.pins is not None
    return PinTerms(c.pins.run_most_ms, c.budgets.drift, c.pins.settle_ms, c.pins.begins_per_s)


class PinningService:
    """may_cold: whether a cold host may take a slice more."""

    message_types: tuple[type, ...] = (Settled, Tally, Tallied)
    is_valid = staticmethod(sound)

    def __init__(
        self,
        c: ControllerConfig,
        records: RecordService,
        metrics: Metrics,
        sight: FleetView,
        may_cold: Callable[[int], bool],
    ) -> None:
        assert c.pins is not None
        self.records, self.metrics, self.fleet_view = records, metrics, sight
        self.publish_ms, self.operations = c.pins.publish_ms, tuple(c.operation)
        self.strong: dict[int, float] = {}
        self.servers: dict[int, Server] = {}
        sets = {r.number: dict(r.versions) for r in c.release.values()}
        self.core = pins_on(
            records.fleet, pinning_limits(c), sets, c.pins.current, lambda s: self.strong.get(s, 0.0), self.said
        )
        carries = {r.number: r.carries for r in c.release.values()}
        no_host = {
            name: NoHost(o.no_host_wait_ms if o.no_host != "refuse" else 0.0, o.no_host == "carry_over")
            for name, o in c.operation.items()
        }
        self.routes = Routes(self.operations, sets, carries, no_host, may_cold)
        self.rows: dict[int, list[Row]] = {}
        self.alive: tuple[int, ...] = ()
        self.planned_at = float("-inf")
        self.stamp: tuple[object, ...] = ()  # of what the last plan was made of
        self.cold = False
        self.asks: dict[int, tuple[int, int, str]] = {}  # question: forwarder, its own number, run
        self.allowances = PeerRateLimiter(records.fleet.asking.others, c.budgets.words_per_s, records.clock())
        self.rejected = 0
        records.listeners.append(self.answer)

    def said(self, text: str) -> None:
        log.info("release", what=text)

    # ---- what forwarders ask -------------------------------------------------------------------------------

    def on_proxy_frame(self, forwarder: int, frame: frames.Enter) -> None:
        client = frame.client or str(forwarder)
        number = self.core.enter(self.records.clock(), record_key_of(frame.run), client, frame.ended)
        self.asks[number] = (forwarder, frame.ask, frame.run)
        self.records.schedule_queries()

    def answer(self) -> None:
        for told in self.core.answers():
            forwarder, ask, run = self.asks.pop(told.number, (-1, 0, ""))
            if forwarder >= 0:
                self.tell(forwarder, ask, run, told.what, told.value)

    def tell(self, forwarder: int, ask: int, run: str, what: int, number: int) -> None:
        known = self.core.sets.get(number) if what == PINNED else None
        if what == PINNED and known is None:
            what = 0  # a set that is not configured here: others may know it
        rows = [(n, known[name]) for n, name in enumerate(self.operations)] if known else []
        self.metrics.run_answers.labels(SAID[what]).inc()
        asking = self.core.asking
        self.records.journal.write("told", ActionJournal.now(), asking.me, asking.life, run, SAID[what], number)
        self.fleet_view.reply(forwarder, frames.Pinned(ask, SAID[what], number, rows, self.register))

    # ---- what peers say ------------------------------------------------------------------------------------

    def on_message(self, sender: int, word: Settled | Tally | Tallied) -> None:
        now = self.records.clock()
        if self.allowances.take(sender, now):
            self.records.carry_out(self.records.fleet.after(now, list(self.core.heard(now, sender, word))))
        else:
            self.rejected += 1

    def on_election_change(self, now: float) -> None:
        """Nothing of ours changes with a vote."""

    # ---- by time -------------------------------------------------------------------------------------------

    def on_tick(self, now: float, alive: Iterable[int], wall: float) -> None:
        """Before the records' tick."""
        if now - self.planned_at >= self.publish_ms:
            self.planned_at = now
            self.plan()
        self.records.due_actions += self.core.tick(now)

    def plan(self) -> None:
        """Routes of all sets that live, told where they have changed."""
        register, to = self.core.releases.register, self.fleet_view.proxies_speaking(PART)
        stamp = (*self.fleet_view.change_stamp(), register, tuple(to))
        if stamp == self.stamp and not self.cold:
            return  # tables, list and register as they were, and nobody is warming up
        servers = self.servers = self.fleet_view.hosts()
        self.stamp, self.cold = stamp, any(s.able < 1.0 for s in servers.values())
        self.strong = {s: strength(v, servers.values()) for s, v in self.core.sets.items()}
        if register is None:
            return
        rows = self.routes.plan(register.alive, self.fleet_view.tables(), servers)
        for number in sorted({*rows, *self.rows}):
            new = rows.get(number, [])
            if to and (self.rows.get(number) != new or register.alive != self.alive):
                self.fleet_view.publish(self.frame_of(number, new, register.alive), max(1, len(new)), to)
        self.rows, self.alive = rows, register.alive

    def frame_of(self, number: int, rows: list[Row], alive: tuple[int, ...]) -> frames.Routes:
        named = {h for row in rows for h, _ in row[3]}
        return frames.Routes(number, list(rows), self.fleet_view.addresses(named), list(alive), self.register)

    @property
    def register(self) -> int:
        """The version in force as far as we heard: a fence, at forwarders, of what a later one has ended."""
        register = self.core.releases.register
        return register.version if register else 0

    def on_proxy_joined(self, forwarder: int) -> None:
        """It has its tables; routes of runs come right behind them."""
        if forwarder in self.fleet_view.proxies_speaking(PART):
            for number, rows in self.rows.items():
                self.fleet_view.reply(forwarder, self.frame_of(number, rows, self.alive))

    def served(self, number: int, operation: str) -> bool:
        """Whether some sound host serves that set's version of the operation."""
        version = self.core.sets.get(number, {}).get(operation, 0)
        return any(s.sound and s.serves(operation, version) for s in self.servers.values())

    # ---- what is shown -------------------------------------------------------------------------------------

    def update_metrics(self) -> None:
        self.metrics.routes_without_host.set(self.routes.stranded)

    def status(self) -> dict[str, Any]:
        return {**self.core.page(), "stranded_rows": self.routes.stranded, "carried_rows": self.routes.carried}

    def reload(self, c: ControllerConfig) -> None:
        """Which set is wanted may change while it runs; sets themselves are the same for ever."""
        if c.pins and c.pins.current != self.core.wanted:
            log.info("release", what=f"set {c.pins.current} wanted")
            self.core.wanted = c.pins.current

    def leave(self, now: float) -> list[OutgoingMessage]:
        return []

    def close(self) -> None:
        """Nothing of ours is open."""
