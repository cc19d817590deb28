"""Stewards as objects in simulated time: clocks that drift, datagrams that are lost, repeated, late, one way only;
processes that are stopped, woken, killed and started anew. What runs is the very `quota` and `membership` cores."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from ...membership import Ack, Membership, MembershipConfig, MemberStateChanged, Ping, PingRequest
from ...membership import encode as encode_news
from ...quota import Budget, QuotaLimits, QuotaManager
from ...quota.messages import encode as encode_words
from ..uses import Use

TICK = 50.0  # ms
Demand = Callable[[float, int], list[tuple[str, int]]]


@dataclass
class Way:
    """From one to another: what becomes of a datagram."""

    cut: bool = False
    loss: float = 0.0
    repeat: float = 0.0
    mean: float = 0.5  # ms, beside half of it that is sure; exponential, so that words overtake one another


@dataclass
class Process:
    quota: Any  # the core under test: `tick` and `heard` as of `Quota`
    members: Membership
    zero: float
    rate: float
    alive: bool = True
    stopped: bool = False
    held: list[tuple[str, Any]] = field(default_factory=list)

    def clock(self, t: float) -> float:
        return self.zero + t * self.rate


class World:
    """numbers: those configured; all start at 0 unless `first` names fewer. static: parts without any exchange, the
    baseline. wish(t, steward): budgets and subjects that it would use now, asked every tick."""

    def __init__(
        self,
        seed: int,
        numbers: int,
        voters: int,
        budgets: dict[str, Budget],
        terms: QuotaLimits,
        wish: Demand,
        first: int | None = None,
        static: bool = False,
        make: Callable[..., QuotaManager] = QuotaManager,
    ) -> None:
        self.chance = random.Random(seed)
        self.numbers, self.voters, self.budgets, self.terms = numbers, tuple(range(voters)), budgets, terms
        self.wish, self.static, self.make = wish, static, make
        self.now, self.count = 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.processes: dict[int, Process] = {}
        self.ways: dict[tuple[int, int], Way] = {}
        self.usual = self.rest = Way()
        self.uses: list[Use] = []
        self.wanted = self.refused = 0
        self.sent = 0
        self.weigh = False  # whether words are counted by sender, and their bytes
        self.by: dict[int, tuple[int, int]] = {}
        self.seen: list[tuple[float, int, int, int]] = []  # at, by whom, of whom, state
        for n in range(numbers if first is None else first):
            self.start(n)

    def at(self, t: float, act: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.queue, (t, self.count, act))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heappop(self.queue)
            act()
        self.now = until

    # ---- processes -----------------------------------------------------------------------------------------

    def start(self, n: int) -> None:
        life = self.chance.getrandbits(62)
        rate = 1.0 + self.chance.uniform(-1.0, 1.0) * self.terms.max_clock_drift * 0.99
        zero = self.chance.uniform(0.0, 1e9) + 1e6
        born, others = zero + self.now * rate, tuple(k for k in range(self.numbers) if k != n)
        chance = random.Random(life).random
        quota = self.core(n, others, life, born, chance)
        p = self.processes[n] = Process(
            quota, Membership(n, others, life, MembershipConfig(), chance, born), zero, rate
        )
        self.act(n, p.members.announce())
        self.at(self.now + self.chance.uniform(0.0, TICK), lambda: self.tick(n, p))

    def core(self, n: int, others: tuple[int, ...], life: int, born: float, chance: Callable[[], float]) -> Any:
        return self.make(n, others, self.voters, dict(self.budgets), self.terms, life, born, chance)

    def kill(self, n: int) -> None:
        self.processes.pop(n).alive = False

    def stop(self, n: int) -> None:
        self.processes[n].stopped = True

    def wake(self, n: int) -> None:
        """What came meanwhile stands in its sockets; which of that and of its timers goes first is chance."""
        p = self.processes[n]
        p.stopped = False
        held, p.held = p.held, []
        self.chance.shuffle(held)
        for kind, what in held:
            if kind == "tick":
                self.tick(n, p)
            elif kind == "call":
                what()
            else:
                self.take(n, p, *what)

    def tick(self, n: int, p: Process) -> None:
        if not p.alive:
            return
        if p.stopped:
            p.held.append(("tick", None))
            return
        now = p.clock(self.now)
        self.act(n, p.members.tick(now))
        if not self.static:
            self.act(n, p.quota.tick(now, p.members.alive_members()))
        self.work(n, p)
        self.at(self.now + TICK, lambda: self.tick(n, p))

    def work(self, n: int, p: Process) -> None:
        """What a process does at each tick, beside its words."""
        for name, subject in self.wish(self.now, n):
            self.use(n, p, name, subject)

    def use(self, n: int, p: Process, name: str, subject: int) -> None:
        self.wanted += 1
        if p.quota.acquire(p.clock(self.now), name, subject):
            self.uses.append((self.now, self.now + self.budgets[name].hold_ms, name, subject, 1))
        else:
            self.refused += 1

    # ---- ways ----------------------------------------------------------------------------------------------

    def act(self, n: int, actions: Any) -> None:
        for a in actions:
            if isinstance(a, MemberStateChanged):
                self.seen.append((self.now, n, a.member, a.state))
            else:
                self.send(n, a.to, a.message)

    def send(self, a: int, b: int, word: Any) -> None:
        self.sent += 1
        if self.weigh:
            size = len(encode_news(word) if isinstance(word, Ping | Ack | PingRequest) else encode_words(word)) + 6
            words, total = self.by.get(a, (0, 0))
            self.by[a] = (words + 1, total + size)
        way = self.ways.get((a, b), self.usual)
        if way.cut or self.chance.random() < way.loss:
            return
        for _ in range(2 if self.chance.random() < way.repeat else 1):
            late = way.mean * (0.5 + self.chance.expovariate(1.0))
            self.at(self.now + late, lambda: self.arrive(a, b, word))

    def arrive(self, a: int, b: int, word: Any) -> None:
        p = self.processes.get(b)
        if p is None:
            return
        if p.stopped:
            if len(p.held) < 500:
                p.held.append(("word", (a, word)))
            return
        self.take(b, p, a, word)

    def take(self, n: int, p: Process, sender: int, word: Any) -> None:
        now = p.clock(self.now)
        if isinstance(word, Ping | Ack | PingRequest):
            self.act(n, p.members.on_message(now, sender, word))
        else:
            self.act(n, p.quota.on_message(now, sender, word))

    def part(self, one: set[int], both: bool = True) -> None:
        """A cut between `one` and the rest; one way: nothing reaches the rest."""
        for a in range(self.numbers):
            for b in range(self.numbers):
                if (a in one) != (b in one) and (both or a in one):
                    self.ways[a, b] = Way(cut=True)

    def heal(self) -> None:
        self.ways.clear()


def troubled(world: World, until: float, longest: float = 9_000.0) -> None:
    """Faults drawn by the world's seed: all kinds, overlapping, with rests between in which all is whole again. They
    last up to `longest` ms; none begins in the last and the first third more of that."""
    c, t = random.Random(world.chance.getrandbits(62)), longest / 3.0
    while t < until - longest * 4.0 / 3.0:
        length = c.uniform(longest / 18.0, longest)
        some = set(c.sample(range(world.numbers), c.randint(1, max(1, world.numbers // 2))))
        kind = c.choice(("cut", "one-way", "loss", "slow", "stop", "restart", "all", "kill", "repeat"))

        def begin(kind: str = kind, some: set[int] = some, length: float = length) -> None:
            up = [n for n in some if n in world.processes]
            if kind == "cut":
                world.part(some)
            elif kind == "one-way":
                world.part(some, both=False)
            elif kind in ("loss", "slow", "repeat"):
                world.usual = {
                    "loss": Way(loss=0.3),
                    "slow": Way(mean=longest * c.choice((0.002, 0.03, 0.16))),
                    "repeat": Way(repeat=0.5, mean=longest * 0.02),
                }[kind]
            elif kind == "stop":
                for n in up:
                    world.stop(n)
                    p = world.processes[n]
                    world.at(world.now + length, lambda n=n, p=p: world.wake(n) if p.alive else None)  # type: ignore[misc]
            else:
                for n in list(world.processes) if kind == "all" else up:
                    world.kill(n)
                    back = world.now + (c.uniform(0.0, longest / 50.0) if kind != "kill" else length)
                    world.at(back, lambda n=n: world.start(n) if n not in world.processes else None)  # type: ignore[misc]

        world.at(t, begin)

        def end() -> None:
            world.heal()
            world.usual = world.rest

        world.at(t + length, end)
        t += c.uniform(0.3, 1.6) * length
