"""Stand-in proxies: they hold tables, send requests to hosts by them, and count what they meet."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from typing import TYPE_CHECKING, Any

from .hosts import MOST_HELD, WORK_S, Host

if TYPE_CHECKING:
    from .world import World

TIMEOUT_S = 3.0
HOLD_S = 0.5


class Proxy:
    """A plain proxy. `tables`, `out` (by steward) and `joined` (since when, by steward) are what it holds."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        self.world = world
        self.number = number
        self.zone = zone
        self.random = random.Random(f"{world.seed}:proxy:{number}")
        self.tables: dict[int, dict[str, float]] = {}
        self.out: dict[int, set[str]] = {}
        self.joined: dict[int, float | None] = {}
        self.had_stream: set[int] = set()
        self.epoch: Counter[int] = Counter()
        self.last_at: dict[int, float] = {}
        self.messages: dict[int, deque[float]] = {}
        self.bare_since: dict[int, float] = {}
        self.bare_told: set[int] = set()

    # ---- streams -----------------------------------------------------------------------------------------------

    def join(self, steward: int) -> None:
        """Establish the stream to a steward, and read the store soon after."""
        if self.joined.get(steward) is not None:
            return
        world = self.world
        self.joined[steward] = world.now()
        self.epoch[steward] += 1
        self.messages[steward] = deque()
        self.last_at[steward] = 0.0
        is_cold = steward not in self.had_stream
        self.had_stream.add(steward)
        rate = world.site.rate / world.site.proxies
        world.record.add(f"proxy {self.number} joins n{steward} cold={int(is_cold)}")
        world.relays[steward].tell(
            "attach", {"node": self.number, "locality": self.zone, "w": round(rate, 2), "cold": is_cold}
        )
        asyncio.get_running_loop().call_later(
            world.site.sync / 1000.0, self.read_store, steward, self.epoch[steward], None
        )

    def leave(self, steward: int, notice_s: float = 0.0) -> None:
        """Break the stream to a steward, which hears of it after `notice_s`."""
        if self.joined.get(steward) is None:
            return
        self.joined[steward] = None
        self.epoch[steward] += 1
        self.world.record.add(f"proxy {self.number} leaves n{steward}")
        asyncio.get_running_loop().call_later(notice_s, self._tell_left, steward, self.epoch[steward])

    def _tell_left(self, steward: int, epoch: int) -> None:
        if self.epoch[steward] == epoch:
            self.world.relays[steward].tell("detach", {"node": self.number})

    def read_store(self, steward: int, epoch: int, slice_: int | None) -> None:
        """Read the tables of a steward's slices, or of one of them, from the store."""
        if self.epoch[steward] != epoch:
            return
        for number in self.world.store if slice_ is None else [slice_]:
            if self.world.charge.get(number) == steward:
                self.tables[number] = dict(self.world.store[number])

    def apply(self, steward: int, ops: list[dict[str, Any]]) -> None:
        """Apply a message."""
        out = self.out.setdefault(steward, set())
        for op in ops:
            match op["op"]:
                case "SET":
                    table = self.tables.setdefault(op["table"], {})
                    if op["w"] > 0:
                        table[op["endpoint"]] = op["w"]
                    else:
                        table.pop(op["endpoint"], None)
                case "DEL":
                    self.tables[op["table"]] = {}
                case "OUT":
                    out.add(op["endpoint"])
                case "IN":
                    out.discard(op["endpoint"])

    def restart(self, stewards: int) -> None:
        """Die and start again, without tables and withdrawals."""
        for steward in range(stewards):
            self.leave(steward)
        self.tables = {number: dict(table) for number, table in self.world.store.items()}
        self.out = {}
        self.had_stream = set()

    # ---- requests ----------------------------------------------------------------------------------------------

    def lines(self, slice_: int) -> dict[str, float]:
        """Return the lines of a slice that are not withdrawn."""
        steward = self.world.charge.get(slice_)
        out = self.out.get(steward, ()) if steward is not None else ()
        return {host: weight for host, weight in self.tables.get(slice_, {}).items() if host not in out}

    async def send_requests(self) -> None:
        """Send requests until cancelled."""
        rate = self.world.site.rate / self.world.site.proxies
        while True:
            await asyncio.sleep(self.random.expovariate(rate))
            slice_ = self.world.draw_slice(self.random)
            kind = "quote" if self.random.random() < 0.64 else "claim"
            self.world.spawn(self._request(slice_, kind))

    async def _request(self, slice_: int, kind: str) -> None:
        world = self.world
        counts = world.usage(slice_, kind)
        counts["total"] += 1
        lines = self.lines(slice_)
        if not lines:
            await asyncio.sleep(HOLD_S)
            lines = self.lines(slice_)
        if not lines:
            world.refused += 1
            return
        host = self._pick(lines)
        world.judge_send(self, slice_, host)
        latency_s, is_good = await self._attempt(host)
        world.count_attempt(self.zone, slice_, host, (is_good, latency_s))
        if not is_good:
            counts["errors"] += 1

    def _pick(self, lines: dict[str, float]) -> Host:
        names = self.random.choices(list(lines), list(lines.values()), k=2)
        first, second = (self.world.host(name) for name in names)
        return first if first.held <= second.held else second

    async def _attempt(self, host: Host) -> tuple[float, bool]:
        if not host.is_alive or host.held >= MOST_HELD:
            await asyncio.sleep(0.002)
            return 0.002, False
        if host.is_hung:
            await asyncio.sleep(TIMEOUT_S)
            return TIMEOUT_S, False
        born_ms = host.born_ms
        latency_s = host.latency_s() * self.random.lognormvariate(-0.2, 0.6)
        self.world.judge_cold(host, WORK_S * 1000.0)
        host.held += 1
        await asyncio.sleep(min(TIMEOUT_S, latency_s))
        if not host.is_alive or host.born_ms != born_ms:
            return latency_s, False
        host.held -= 1
        return min(TIMEOUT_S, latency_s), latency_s < TIMEOUT_S
