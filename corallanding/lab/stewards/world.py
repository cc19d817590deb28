"""Controllers as objects in simulated time, running the real `quota` and `membership` cores. Clocks drift, datagrams
are lost, duplicated, delayed or partitioned, and processes are suspended, killed and restarted."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from ...membership import Ack, Membership, MembershipConfig, MemberStateChanged, Ping, PingRequest
from ...membership import encode as encode_membership
from ...quota import Budget, QuotaLimits, QuotaManager
from ...quota.messages import encode as encode_quota
from ..uses import Use

TICK_MS = 50.0
Demand = Callable[[float, int], list[tuple[str, int]]]


@dataclass
class Way:
    """The quality of a link in one direction. loss, repeat: shares."""

    cut: bool = False
    loss: float = 0.0
    repeat: float = 0.0
    mean: float = 0.5  # ms; the delay is half of it plus an exponential part, so messages are reordered


@dataclass
class Process:
    quota: Any  # the core under test, with `tick` and `on_message` as of `QuotaManager`
    members: Membership
    clock_offset: float  # ms
    rate: float
    alive: bool = True
    stopped: bool = False
    held: list[tuple[str, Any]] = field(default_factory=list)

    def clock(self, t: float) -> float:
        return self.clock_offset + t * self.rate


class World:
    """numbers: configured controllers; all start at 0 ms, or only the first `first`. static: fixed shares without
    messages, the baseline. demand(t, controller): budgets and subjects that it would use now, called at every tick."""

    def __init__(
        self,
        seed: int,
        numbers: int,
        voters: int,
        budgets: dict[str, Budget],
        terms: QuotaLimits,
        demand: Demand,
        first: int | None = None,
        static: bool = False,
        make: Callable[..., QuotaManager] = QuotaManager,
    ) -> None:
        self.chance = random.Random(seed)
        self.numbers, self.voters, self.budgets, self.terms = numbers, tuple(range(voters)), budgets, terms
        self.demand, self.static, self.make = demand, static, make
        self.now, self.count = 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.processes: dict[int, Process] = {}
        self.ways: dict[tuple[int, int], Way] = {}
        self.usual = self.rest = Way()
        self.uses: list[Use] = []
        self.wanted = self.refused = 0
        self.sent = 0
        self.weigh = False  # whether messages and their bytes are counted by sender
        self.by: dict[int, tuple[int, int]] = {}
        self.seen: list[tuple[float, int, int, int]] = []  # time, observing controller, member, state
        for n in range(numbers if first is None else first):
            self.start(n)

    def at(self, t: float, act: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.queue, (t, self.count, act))

    def run(self, until: float) -> None:
        """Run all events up to `until` ms."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heappop(self.queue)
            act()
        self.now = until

    # ---- processes -----------------------------------------------------------------------------------------

    def start(self, n: int) -> None:
        """Start a process of controller `n` with a new incarnation and clock."""
        incarnation = self.chance.getrandbits(62)
        rate = 1.0 + self.chance.uniform(-1.0, 1.0) * self.terms.max_clock_drift * 0.99
        clock_offset = self.chance.uniform(0.0, 1e9) + 1e6
        clock_at_start, others = clock_offset + self.now * rate, tuple(k for k in range(self.numbers) if k != n)
        chance = random.Random(incarnation).random
        quota = self.core(n, others, incarnation, clock_at_start, chance)
        p = self.processes[n] = Process(
            quota, Membership(n, others, incarnation, MembershipConfig(), chance, clock_at_start), clock_offset, rate
        )
        self.act(n, p.members.announce())
        self.at(self.now + self.chance.uniform(0.0, TICK_MS), lambda: self.tick(n, p))

    def core(
        self, n: int, others: tuple[int, ...], incarnation: int, clock_at_start: float, chance: Callable[[], float]
    ) -> Any:
        return self.make(n, others, self.voters, dict(self.budgets), self.terms, incarnation, clock_at_start, chance)

    def kill(self, n: int) -> None:
        self.processes.pop(n).alive = False

    def stop(self, n: int) -> None:
        self.processes[n].stopped = True

    def wake(self, n: int) -> None:
        """Resume a process; handle what arrived while it was suspended and its due timers in random order."""
        p = self.processes[n]
        p.stopped = False
        held, p.held = p.held, []
        self.chance.shuffle(held)
        for kind, item in held:
            if kind == "tick":
                self.tick(n, p)
            elif kind == "call":
                item()
            else:
                self.take(n, p, *item)

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
        self.at(self.now + TICK_MS, lambda: self.tick(n, p))

    def work(self, n: int, p: Process) -> None:
        """Do what a process does at each tick apart from messages."""
        for name, subject in self.demand(self.now, n):
            self.use(n, p, name, subject)

    def use(self, n: int, p: Process, name: str, subject: int) -> None:
        """Acquire one unit of a budget and record its use."""
        self.wanted += 1
        if p.quota.acquire(p.clock(self.now), name, subject):
            self.uses.append((self.now, self.now + self.budgets[name].hold_ms, name, subject, 1))
        else:
            self.refused += 1

    # ---- links ---------------------------------------------------------------------------------------------

    def act(self, n: int, actions: Any) -> None:
        """Send messages and record state changes of members."""
        for a in actions:
            if isinstance(a, MemberStateChanged):
                self.seen.append((self.now, n, a.member, a.state))
            else:
                self.send(n, a.to, a.message)

    def send(self, a: int, b: int, message: Any) -> None:
        self.sent += 1
        if self.weigh:
            is_membership = isinstance(message, Ping | Ack | PingRequest)
            size = len(encode_membership(message) if is_membership else encode_quota(message)) + 6
            count, total = self.by.get(a, (0, 0))
            self.by[a] = (count + 1, total + size)
        way = self.ways.get((a, b), self.usual)
        if way.cut or self.chance.random() < way.loss:
            return
        for _ in range(2 if self.chance.random() < way.repeat else 1):
            delay_ms = way.mean * (0.5 + self.chance.expovariate(1.0))
            self.at(self.now + delay_ms, lambda: self.arrive(a, b, message))

    def arrive(self, a: int, b: int, message: Any) -> None:
        """Deliver a message, or keep it in the sockets of a suspended process."""
        p = self.processes.get(b)
        if p is None:
            return
        if p.stopped:
            if len(p.held) < 500:
                p.held.append(("message", (a, message)))
            return
        self.take(b, p, a, message)

    def take(self, n: int, p: Process, sender: int, message: Any) -> None:
        now = p.clock(self.now)
        if isinstance(message, Ping | Ack | PingRequest):
            self.act(n, p.members.on_message(now, sender, message))
        else:
            self.act(n, p.quota.on_message(now, sender, message))

    def part(self, group: set[int], both: bool = True) -> None:
        """Partition `group` from the rest; without `both`, drop only messages from the group."""
        for a in range(self.numbers):
            for b in range(self.numbers):
                if (a in group) != (b in group) and (both or a in group):
                    self.ways[a, b] = Way(cut=True)

    def heal(self) -> None:
        self.ways.clear()


def troubled(world: World, until: float, longest: float = 9_000.0) -> None:
    """Schedule faults of all kinds drawn by the world's seed, overlapping, with intervals without faults. They last up
    to `longest` ms; none begins within the last `longest` * 4/3 ms before `until`."""
    chance, t = random.Random(world.chance.getrandbits(62)), longest / 3.0
    while t < until - longest * 4.0 / 3.0:
        length = chance.uniform(longest / 18.0, longest)
        targets = set(chance.sample(range(world.numbers), chance.randint(1, max(1, world.numbers // 2))))
        kind = chance.choice(("cut", "one-way", "loss", "slow", "stop", "restart", "all", "kill", "repeat"))

        def begin(kind: str = kind, targets: set[int] = targets, length: float = length) -> None:
            running = [n for n in targets if n in world.processes]
            if kind == "cut":
                world.part(targets)
            elif kind == "one-way":
                world.part(targets, both=False)
            elif kind in ("loss", "slow", "repeat"):
                world.usual = {
                    "loss": Way(loss=0.3),
                    "slow": Way(mean=longest * chance.choice((0.002, 0.03, 0.16))),
                    "repeat": Way(repeat=0.5, mean=longest * 0.02),
                }[kind]
            elif kind == "stop":
                for n in running:
                    world.stop(n)
                    p = world.processes[n]
                    world.at(world.now + length, lambda n=n, p=p: world.wake(n) if p.alive else None)  # type: ignore[misc]
            else:
                for n in list(world.processes) if kind == "all" else running:
                    world.kill(n)
                    back = world.now + (chance.uniform(0.0, longest / 50.0) if kind != "kill" else length)
                    world.at(back, lambda n=n: world.start(n) if n not in world.processes else None)  # type: ignore[misc]

        world.at(t, begin)

        def end() -> None:
            world.heal()
            world.usual = world.rest

        world.at(t + length, end)
        t += chance.uniform(0.3, 1.6) * length
