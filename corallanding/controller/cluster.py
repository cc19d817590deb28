"""What a steward has in common with its peers: members, an office, and the rooms that rest on it. What is decided
stands in the cores; here they get a clock, a way to say things, and their turn."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from .. import membership
from ..config import ControllerConfig
from ..config.scheduling import JOBS
from ..lease.election import Desk, Office, Send
from ..lease.limits import OfficeTerms
from ..lease.messages import Quit, Stand, Vote
from ..lease.messages import sound as sound_office
from ..lease.registry_election import RegistryOffice
from ..membership.messages import Ack, Ask, Ping
from ..membership.messages import sound as sound_news
from ..quorum_records.limits import RecordTerms
from ..telemetry import Metrics, log
from ..version_pinning.core import RELEASE, RUNS, record_terms
from ..wire.frames import Enter, Unwait, Wait
from .fleet_view import Sight
from .peer_dispatch import PeerDoor
from .pinning_service import PinRoom, pin_terms
from .quota_service import Budgets
from .record_service import RecordRoom
from .scheduling_service import WaitRoom
from .task_service import TaskRoom

if TYPE_CHECKING:
    from ..registry.table_store import Keeper

TICK = 0.05  # s
STATES = ("unknown", "alive", "suspect", "dead", "left")


class Shared:
    """Made only where a budget or a task is configured. halted: whether this process says nothing just now."""

    def __init__(
        self,
        c: ControllerConfig,
        door: PeerDoor,
        clock: Callable[[], float],
        halted: Callable[[], bool],
        metrics: Metrics,
        gate: Any,
        sight: Sight,
        keeper: Keeper | None = None,
    ) -> None:
        """sight: of hosts and forwarders.
        keeper: of the office in the registry, in place of votes. Raises OSError if a witness cannot be written."""
        self.clock, self.halted, self.metrics, self.door, self.gate = clock, halted, metrics, door, gate
        b, me, now = c.budgets, c.steward.number, clock()
        others = tuple(sorted(int(n) for n in c.steward.peers))
        voters = tuple(sorted(b.voters)) or tuple(sorted([me, *others])[:5])
        # Of the system's own chance, not of the seed: a life must differ from all that were before it.
        life = random.SystemRandom().getrandbits(62)
        chance = random.Random(life).random
        words = membership.Terms(b.period_ms, b.timeout_ms, words_per_s=b.words_per_s)
        self.members = membership.Members(me, others, life, words, chance, now)
        self.keeper = keeper
        if keeper:
            self.office: Desk = RegistryOffice(me, others, life, keeper.charge)
            keeper.start()
        else:
            terms = OfficeTerms(b.office_ms, b.drift)
            self.office = Office(me, others, voters, terms, life, now, chance, b.words_per_s)
        self.timer: asyncio.TimerHandle | None = None
        door.register((Ping, Ack, Ask), self.news, sound_news)
        door.register((Stand, Vote, Quit), self.votes, sound_office)
        self.budgets = Budgets(c, self.office, self.say, clock, metrics, gate) if c.budget else None
        self.tasks = TaskRoom(c, self.office, self.say, clock, metrics, gate) if c.task or c.task_group else None
        self.frames: dict[type, Callable[[int, Any], None]] = {}  # what forwarders say, by who takes it
        self.pins: PinRoom | None = None
        self.records: RecordRoom | None = None
        self.waiting: WaitRoom | None = None
        if c.records and self.tasks:
            self.open_records(c, voters, sight)
        if self.budgets and any(o.waits for o in c.operation.values()):
            self.waiting = WaitRoom(
                c, self.office, self.budgets, self.records, self.pins, self.say, clock, metrics, sight
            )
            self.frames.update({Wait: self.waiting.frame, Unwait: self.waiting.frame})
        # Those that rest on records have their turn before them, and they after the tasks.
        rooms = (self.budgets, self.tasks, self.pins, self.waiting, self.records)
        self.rooms: list[Budgets | TaskRoom | PinRoom | WaitRoom | RecordRoom] = [r for r in rooms if r]
        for room in self.rooms:
            door.register(room.kinds, room.heard, room.sound)
        tasks = sorted([*c.task, *c.task_group])
        log.info("shared", budgets=sorted(c.budget), tasks=tasks, voters=list(voters), life=life)

    def open_records(self, c: ControllerConfig, voters: tuple[int, ...], sight: Sight) -> None:
        """Raises OSError if their file cannot be used."""
        assert self.tasks is not None
        assert c.records is not None
        budgets, now = self.budgets, self.clock
        names = tuple(n for n in (RUNS, RELEASE, JOBS) if (n == JOBS or c.pins) and n in self.tasks.core.tasks.by_name)
        longest = max((o.waits.most_ms for o in c.operation.values() if o.waits), default=0.0)
        terms = RecordTerms(2.0 * longest, longest, c.records.most, c.records.again_ms)
        if c.pins:
            mine = record_terms(pin_terms(c), c.records.most, c.records.again_ms)
            terms = replace(mine, keep=max(mine.keep, terms.keep))
        counted = (RUNS,) if c.pins else ()
        self.records = RecordRoom(
            c,
            self.tasks,
            voters,
            names,
            terms,
            counted,
            (RELEASE,) if c.pins else (),
            self.say,
            now,
            self.metrics,
            self.gate,
        )
        if c.pins is None:
            return

        def may_cold(host: int) -> bool:
            return budgets is None or budgets.may("cold_slices", host, True)

        self.pins = PinRoom(c, self.records, self.metrics, sight, may_cold)
        self.frames[Enter] = self.pins.frame

    def frame(self, forwarder: int, frame: Any) -> None:
        """What a joined forwarder says to one of the rooms."""
        if take := self.frames.get(type(frame)):
            take(forwarder, frame)

    def joined(self, forwarder: int) -> None:
        for room in (self.pins, self.waiting):
            if room:
                room.joined(forwarder)

    def left(self, forwarder: int) -> None:
        if self.waiting:
            self.waiting.left(forwarder)

    def let_go(self) -> None:
        """Files are for another process now."""
        if self.records:
            self.records.file.close()

    def take_back(self) -> None:
        """Nothing came of a handover."""
        if self.records:
            self.records.reopen()

    def start(self) -> None:
        self.tell(self.members.greet(self.clock()))
        self.tick()

    def tick(self) -> None:
        """What is due, every TICK."""
        self.timer = asyncio.get_running_loop().call_later(TICK, self.tick)
        if self.halted():
            return
        now = self.clock()
        self.tell(self.members.tick(now))
        alive = self.members.alive()
        self.say(self.office.tick(now, alive))
        for room in self.rooms:
            room.tick(now, alive, time.time() * 1000.0)

    def news(self, sender: int, word: Ping | Ack | Ask) -> None:
        self.tell(self.members.heard(self.clock(), sender, word))

    def votes(self, sender: int, word: Stand | Vote | Quit) -> None:
        now = self.clock()
        self.say(self.office.heard(now, sender, word))
        for room in self.rooms:
            room.voted(now)

    def tell(self, actions: Iterable[membership.Send | membership.Changed]) -> None:
        for a in actions:
            if isinstance(a, membership.Changed):
                log.info("steward", number=a.member, state=STATES[a.state])
            else:
                self.door.say(a.to, a.word)

    def say(self, actions: Iterable[Send]) -> None:
        for a in actions:
            self.door.say(a.to, a.word)

    def figures(self) -> None:
        """For the page of metrics."""
        m, o = self.members, self.office
        self.metrics.stewards.set(len(m.alive()))
        self.metrics.divider.set(-1 if o.holder[0] is None else o.holder[0])
        self.metrics.shared_refused.set(m.refused + o.refused + sum(room.refused for room in self.rooms))
        for room in self.rooms:
            room.figures()

    def page(self) -> dict[str, Any]:
        """For the door."""
        m, now = self.members, self.clock()
        states = {str(n): STATES[m.state(n)] for n in sorted([m.me, *m.table])}
        return {
            "stewards": states,
            **({"tasks": self.tasks.core.page(now)} if self.tasks else {}),
            **({"pins": self.pins.page()} if self.pins else {}),
            **({"waiting": self.waiting.page()} if self.waiting else {}),
            **({"records": self.records.fleet.page()} if self.records else {}),
        }

    def reload(self, c: ControllerConfig) -> None:
        for room in (self.budgets, self.pins):
            if room:
                room.reload(c)

    def close(self, handed_over: bool) -> None:
        """The end of this process: what is held and not in use goes back, the office is free."""
        if self.timer:
            self.timer.cancel()
        now = self.clock()
        for room in self.rooms:
            if not handed_over:
                self.say(room.leave(now))
            room.close()
        if not handed_over:
            self.say(self.office.leave(now))
            self.tell(self.members.leave(now))
            if self.keeper:
                self.keeper.leave()
        if self.keeper:
            self.ending = asyncio.get_running_loop().create_task(self.keeper.stop())
