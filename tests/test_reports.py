"""Load reports: envelopes as functions of bytes, fair triage, and what reports are worth, searched for breaches."""

from __future__ import annotations

import asyncio
import json
import math
import os
import signal
import socket
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from sockets import CONFIG, Running, until
from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

from corallanding import interface as api
from corallanding.load_reports.envelope import HEAD, BadReport, Head, Load, genuine, pack, pack_json, read, sender
from corallanding.load_reports.intake import Intake
from corallanding.load_reports.load_estimator import Policy, Worth, influence
from corallanding.load_reports.load_shedding import Triage
from corallanding.load_reports.state import FeedState, hand, take
from corallanding.load_reports.weights import changes, weigh
from corallanding.snapshot import file

HEAD_1 = Head(7, 3, 1_700_000_000_000, 9, 5_000.0, 1_700_000_005_000.0, b"12345678")
ORCA = OrcaLoadReport(cpu_utilization=0.4, application_utilization=0.7, rps_fractional=12.5, eps=0.5)
KEY = b"secret"


def orca(**fields: Any) -> bytes:
    return OrcaLoadReport(**fields).SerializeToString()


@pytest.mark.parametrize("key", [None, KEY])
def test_the_three_forms_say_the_same(key: bytes | None) -> None:
    want = (HEAD_1, Load(0.7, 12.5, 0.5))
    snake = b'{"cpu_utilization": 0.4, "application_utilization": 0.7, "rps_fractional": 12.5, "eps": 0.5}'
    camel = b'{"cpuUtilization": 0.4, "applicationUtilization": 0.7, "rpsFractional": 12.5, "eps": 0.5}'
    for data in (
        pack(HEAD_1, ORCA.SerializeToString(), key),
        pack(HEAD_1, snake, key, json_body=True),
        pack(HEAD_1, camel, key, json_body=True),
        pack_json(HEAD_1, snake, key),
        pack_json(HEAD_1, camel, key),
    ):
        assert read(data, key) == want
        assert sender(data) == (7, 3)


def test_a_host_without_application_utilization_counts_by_its_cpu_and_old_rps() -> None:
    assert read(pack(HEAD_1, orca(cpu_utilization=0.4, rps=9)), None)[1] == Load(0.4, 9.0, 0.0)


def test_forged_and_odd_reports_are_refused_by_name() -> None:
    signed = pack(HEAD_1, ORCA.SerializeToString(), KEY)
    unsigned = pack(HEAD_1, ORCA.SerializeToString())
    for data in (unsigned, pack(HEAD_1, b"", b"other"), signed[:-1], pack_json(HEAD_1, b"{}")):
        assert not genuine(data, KEY)
        with pytest.raises(BadReport, match="forged"):
            read(data, KEY)
    assert genuine(signed, KEY)
    assert genuine(pack_json(HEAD_1, b"{}", KEY), KEY)
    for k in (5, 10, 20, 30, len(signed) - 3):  # any byte that is changed
        bent = bytearray(signed)
        bent[k] ^= 1
        with pytest.raises(BadReport):
            read(bytes(bent), KEY)
    for fields, said in (
        ({"cpu_utilization": -0.1}, "cpu_utilization -0.1 is not within 0 and 100"),
        ({"application_utilization": math.nan}, "application_utilization nan"),
        ({"eps": math.inf}, "eps inf"),
        ({"cpu_utilization": 1e9}, "cpu_utilization 1e[+]09"),
    ):
        with pytest.raises(BadReport, match=said):
            read(pack(HEAD_1, orca(**fields)), None)
    with pytest.raises(BadReport, match="uptime"):
        read(pack(Head(1, 1, 1, 1, math.nan, 0.0), b""), None)


@given(st.binary(max_size=200) | st.binary(max_size=100).map(lambda b: b"oL\x01\x00" + b))
@settings(max_examples=400, deadline=None)
def test_any_bytes_are_a_report_or_a_named_refusal(data: bytes) -> None:
    for work in (sender, lambda d: read(d, None), lambda d: read(d, KEY)):
        try:
            work(data)
        except BadReport:
            continue


# ---- triage ----------------------------------------------------------------------------------------------


def test_a_loud_sender_takes_nobody_s_place() -> None:
    t = Triage(rate=1.0, burst=2.0, processes_most=4)
    t.listed(range(50))
    for now in range(20):
        for _ in range(1000):
            t.come(now * 10.0, (0, 0), b"loud")
    for host in range(1, 50):
        t.come(200.0, (host, 0), b"quiet")
    taken = [data for _, data in t.turn(50)]
    assert taken.count(b"quiet") == 49
    assert taken.count(b"loud") == 1
    assert t.counts.replaced + t.counts.loud == 20 * 1000 - 1
    assert len(t.slots) == 50


def test_turns_go_round_and_the_newest_stands_in_the_place_of_the_older() -> None:
    t = Triage(rate=100.0, burst=9.0, processes_most=4)
    t.listed([1, 2, 3])
    for host in (1, 2, 3):
        t.come(0.0, (host, 0), f"{host}a")
    t.come(1.0, (1, 0), "1b")
    assert t.turn(2) == [(1.0, "1b"), (0.0, "2a")]
    t.come(2.0, (1, 0), "1c")
    assert t.turn(9) == [(0.0, "3a"), (2.0, "1c")], "3 waited longer"


def test_memory_goes_by_senders_and_unknown_ones_get_none() -> None:
    t = Triage(rate=1.0, burst=1.0, processes_most=3)
    t.listed([1])
    for process in range(1000):
        t.come(0.0, (1, process), b"x")
        t.come(0.0, (2, process), b"x")
    assert len(t.slots) == 3
    assert (t.counts.processes, t.counts.unknown) == (997, 1000)
    t.listed([2])
    assert not t.slots
    assert not t.waiting
    assert t.come(0.0, (2, 0), b"x")


# ---- worth -----------------------------------------------------------------------------------------------

POLICY = Policy(half_life=1000.0, expiry=5000.0, window=1000.0, processes_most=3, reporting_least=0.3)
STARTED = 1_700_000_000_000


class Fleet:
    """Honest hosts on a clock of the test's; reports as bytes are left out, heads and loads are real."""

    def __init__(self, count: int, started: int = STARTED) -> None:
        self.worth, self.now, self.count, self.started, self.seq = Worth(POLICY), 100_000.0, count, started, 0
        self.worth.listed(dict.fromkeys(range(count), (0.0, started, 0.0)))

    def tick(self) -> bytes:
        self.seq += 1
        nonce = self.seq.to_bytes(8, "big")
        self.worth.tick(self.now, nonce)
        return nonce

    def say(self, host: int, load: float, echo: bytes = b"", late: float = 0.0, **more: Any) -> bool:
        self.seq += 1
        fields = {"process": 0, "started": self.started, "seq": self.seq, "uptime": self.now - late, "at": 0.0, **more}
        head = Head(host=host, echo=echo or b"\0" * 8, **fields)
        return self.worth.report(self.now, 1e13, head, Load(load))

    def run(self, seconds: float, loads: dict[int, float], echo: bool = True) -> None:
        for _ in range(round(seconds * 4)):
            self.now += 250.0
            nonce = self.tick() if echo else b""
            for h, load in loads.items():
                self.say(h, load, nonce)
            self.worth.turn(self.now)


def test_with_no_reports_nothing_changes_at_all() -> None:
    fleet = Fleet(5)
    fleet.run(30, {})
    assert fleet.worth.factors() == {}
    event = api.HostListUpdate(api.HostListKind.FULL, 3, (api.HostEntry(1, weight=2.0),))
    assert weigh(event, {}) is event
    assert weigh(event, {9: 0.5}) is event


def test_a_slow_host_is_lowered_step_by_step_and_gets_its_weight_back() -> None:
    fleet = Fleet(10)
    seen = []
    for _ in range(8):
        fleet.run(1, dict.fromkeys(range(9), 0.5) | {9: 1.0})
        seen.append(round(fleet.worth.factor(9), 3))
    assert seen[-1] == 0.5
    assert seen == sorted(seen, reverse=True)
    assert all(b / a > 0.84 - 1e-3 for a, b in zip([1.0, *seen], seen, strict=False)), "a step a window"
    fleet.run(12, dict.fromkeys(range(10), 0.5))
    assert fleet.worth.factors() == {9: 0.5}, "at the fleet's load it stays: that is what the weight is for"
    fleet.run(12, dict.fromkeys(range(9), 0.5) | {9: 0.2})
    assert fleet.worth.factors() == {}


def test_a_quiet_or_evenly_loaded_fleet_moves_nothing() -> None:
    fleet = Fleet(10)
    fleet.run(20, {h: 0.05 + 0.03 * h for h in range(10)})  # all under busy_from
    fleet.run(20, {h: 0.8 + 0.01 * (h % 3) for h in range(10)})
    assert fleet.worth.factors() == {}


def test_nothing_herds_onto_the_host_that_says_idle() -> None:
    fleet = Fleet(6)
    fleet.run(20, dict.fromkeys(range(5), 0.7) | {5: 0.0})
    assert fleet.worth.factors() == {}, "an idle word raises nobody over the list"


def test_too_few_voices_change_nothing() -> None:
    fleet = Fleet(10)
    fleet.run(20, {0: 0.4, 1: 5.0})
    assert fleet.worth.factors() == {}


def test_influence_ends_with_the_reports_whatever_was_learnt() -> None:
    fleet = Fleet(10)
    fleet.run(10, dict.fromkeys(range(9), 0.5) | {9: 3.0})
    assert fleet.worth.factor(9) == 0.5
    fleet.run(5.25, dict.fromkeys(range(9), 0.5))  # it falls silent, as one that overloads may
    assert fleet.worth.factors() == {}


def test_an_hour_old_report_counts_for_nothing() -> None:
    fleet = Fleet(3)
    assert not fleet.say(0, 5.0, late=3_600_000.0, uptime=1_000.0)
    assert fleet.worth.counts.doubtful == 1, "no echo, start and clock both disagree"
    nonce = fleet.tick()
    assert fleet.say(1, 0.5, nonce)
    fleet.now += 3_600_000.0
    assert not fleet.say(1, 0.5, uptime=fleet.now - 3_600_000.0 + 50.0)
    assert fleet.worth.counts.expired == 1
    assert not fleet.say(1, 0.5, nonce, seq=1) and fleet.worth.counts.repeated == 1, "a replay"
    assert not fleet.say(2, 0.5, nonce, uptime=5.0) and fleet.worth.counts.doubtful == 2, "an old tick proves nothing"


def test_clocks_that_are_off_do_not_matter_where_ticks_are_echoed() -> None:
    fleet = Fleet(2)
    for k, skew in enumerate((-300_000.0, 300_000.0)):
        assert fleet.say(k, 0.5, fleet.tick(), uptime=fleet.now + skew + 1e6)
    assert fleet.say(1, 0.6, uptime=fleet.now + 300_000.0 + 1e6), "once shown, its own clock carries on"


def test_a_former_process_is_nobody() -> None:
    fleet = Fleet(1)
    fleet.say(0, 0.9, fleet.tick())
    fleet.worth.listed({0: (fleet.now, STARTED + 5000, fleet.now)})
    assert fleet.worth.said(fleet.now, fleet.worth.hosts[0])[1] == 0.0
    assert not fleet.say(0, 0.9, fleet.tick())
    assert fleet.worth.counts.former == 1
    assert not fleet.say(0, 0.9, fleet.tick(), started=STARTED + 9000)
    assert fleet.worth.counts.former == 2
    assert fleet.say(0, 0.9, fleet.tick(), started=STARTED + 5000)
    assert not fleet.say(5, 0.9)
    assert fleet.worth.counts.unlisted == 1


def test_one_value_for_ever_fades() -> None:
    fleet = Fleet(2)
    policy = POLICY
    for _ in range(4 * 70):
        fleet.now += 250.0
        fleet.say(0, 0.9, fleet.tick())
    age = fleet.worth.hosts[0].processes[0].age(fleet.now, policy)
    assert age == pytest.approx(70_000.0 - 250.0 - policy.stuck_after)
    assert fleet.worth.said(fleet.now, fleet.worth.hosts[0])[1] == 0.0
    fleet.say(0, 0.91, fleet.tick())
    assert fleet.worth.said(fleet.now, fleet.worth.hosts[0])[1] == 1.0


def test_silent_processes_take_weight_with_them() -> None:
    fleet = Fleet(1)
    for process in range(3):
        fleet.say(0, 0.6, fleet.tick(), process=process)
    assert not fleet.say(0, 0.6, fleet.tick(), process=9)
    assert fleet.worth.counts.crowded == 1
    host = fleet.worth.hosts[0]
    assert fleet.worth.said(fleet.now, host) == (0.6, 1.0)
    fleet.now += 6000.0
    fleet.say(0, 0.9, fleet.tick(), process=0)
    assert fleet.worth.said(fleet.now, host) == (0.9, pytest.approx(1 / 3))


def test_busy_is_half_believed_where_forwarders_are_answered_soon() -> None:
    factors = []
    for wait in (50.0, 400.0):
        fleet = Fleet(10)
        for _ in range(3):
            for h in range(10):
                fleet.worth.seen(h, 40, 0, wait if h == 9 else 200.0)
            fleet.run(1, dict.fromkeys(range(9), 0.5) | {9: 2.0})
        factors.append(fleet.worth.factor(9))
    assert factors[0] > factors[1]


def test_few_hosts_are_lowered_at_once() -> None:
    fleet = Fleet(20)
    fleet.run(1.25, dict.fromkeys(range(11), 0.5) | dict.fromkeys(range(11, 20), 2.0))
    assert len(fleet.worth.factors()) <= 2 * 2


def test_changes_name_only_hosts_that_are_listed_as_up() -> None:
    entries = {1: api.HostEntry(1), 2: api.HostEntry(2, state="draining"), 4: api.HostEntry(4, weight=2.0)}
    event = changes(entries, 8, {4: 0.5}, {1: 0.7, 2: 0.7, 3: 0.7})
    assert event == api.HostListUpdate(api.HostListKind.CHANGES, 8, (api.HostEntry(1, weight=0.7), entries[4]))
    assert changes(entries, 8, {2: 0.5}, {}) is None


@given(st.floats(0, 1e5), st.floats(0, 1e5))
def test_influence_never_grows_with_age(a: float, b: float) -> None:
    assert influence(max(a, b), POLICY) <= influence(min(a, b), POLICY) <= 1.0
    assert influence(POLICY.expiry, POLICY) == 0.0


REPORTS = st.lists(
    st.tuples(
        st.integers(0, 1),
        st.integers(0, 1),
        st.integers(0, 6),
        st.sampled_from([0.2, 0.5, 0.9]),
        st.floats(0, 3000),
        st.booleans(),
    ),
    min_size=2,
    max_size=10,
    unique_by=lambda r: (r[0], r[1], r[2]),
)


@given(REPORTS, st.randoms(use_true_random=False), st.floats(0, 4000))
@settings(max_examples=300, deadline=None)
def test_the_same_reports_in_any_order_give_the_same_verdict(rows: list, chance: Any, later: float) -> None:
    """Numbers grow with a process's own clock, as they must; ways and delays are any."""
    verdicts = []
    for shuffled in (rows, chance.sample(rows, len(rows))):
        worth = Worth(POLICY)
        worth.listed(dict.fromkeys((0, 1), (0.0, STARTED, 0.0)))
        worth.tick(100_000.0, b"tick-one")
        for host, process, seq, load, delay, echo in shuffled:
            uptime = 5_000.0 + seq * 100.0
            head = Head(host, process, STARTED, seq, uptime, 0.0, b"tick-one" if echo else b"\0" * 8)
            worth.report(100_200.0 + seq * 100.0 + delay, 1e13, head, Load(load))
        now = 104_000.0 + later
        verdicts.append([worth.said(now, worth.hosts[h]) for h in (0, 1)])
    for a, b in zip(*verdicts, strict=True):
        assert a == pytest.approx(b)


class Senders(RuleBasedStateMachine):
    """Hosts that lie, stall, restart and lose reports, on clocks that drift; the invariants hold after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.policy = Policy(half_life=1000.0, expiry=4000.0, window=1000.0, reporting_least=0.2, changes_most=0.2)
        self.worth, self.now, self.seq, self.nonce = Worth(self.policy), 1e6, 0, b"\0" * 8
        self.started = dict.fromkeys(range(6), STARTED)
        self.proof: dict[int, float] = {}  # host: when a report of it could last be known to be fresh
        self.listed()
        self.before: dict[int, int] = {}

    def listed(self) -> None:
        self.worth.listed({h: (0.0, s, 0.0) for h, s in self.started.items()})

    @rule(ms=st.floats(1, 3000))
    def wait(self, ms: float) -> None:
        self.now += ms

    @rule()
    def tick(self) -> None:
        self.seq += 1
        self.nonce = self.seq.to_bytes(8, "big")
        self.worth.tick(self.now, self.nonce)

    @rule(
        hosts=st.sets(st.integers(0, 5)),
        load=st.sampled_from([0.0, 0.3, 0.6, 3.0, 50.0]),
        echo=st.booleans(),
        off=st.sampled_from([0.0, 0.0, -60.0, 5_000.0, -3.6e6, 3.6e6]),
        old=st.booleans(),
    )
    def report(self, hosts: set[int], load: float, echo: bool, off: float, old: bool) -> None:
        for h in hosts:
            self.seq += 1
            started = self.started[h] - (1000 if old else 0)
            uptime = max(0.0, self.now + off)
            head = Head(h, 0, started, self.seq, uptime, 0.0, self.nonce if echo else b"\0" * 8)
            self.worth.report(self.now, 1e14, head, Load(load))
            if not old:
                self.proof[h] = self.now

    @rule(h=st.integers(0, 5))
    def restart(self, h: int) -> None:
        self.started[h] += 10_000
        self.proof.pop(h, None)
        self.listed()

    @rule(h=st.integers(0, 5), tries=st.integers(0, 50), wait=st.floats(1, 2000))
    def seen(self, h: int, tries: int, wait: float) -> None:
        self.worth.seen(h, tries, tries // 3, wait)

    @rule()
    def turn(self) -> None:
        before = {h: x.level for h, x in self.worth.hosts.items()}
        self.worth.turn(self.now)
        lowered = 0
        for h, x in self.worth.hosts.items():
            assert x.level == 0 or abs(x.level - before[h]) <= 1
            lowered += x.level > before[h]
        assert lowered <= max(1, 0.2 * 6)

    @invariant()
    def bounded(self) -> None:
        for h in range(6):
            assert self.policy.floor <= self.worth.factor(h) <= 1.0

    @invariant()
    def nothing_of_the_silent(self) -> None:
        for h, x in self.worth.hosts.items():
            if self.now - self.proof.get(h, -1e9) > self.policy.expiry:
                assert self.worth.said(self.now, x)[1] == 0.0

    @precondition(lambda self: self.worth.hosts)
    @invariant()
    def ages(self) -> None:
        for x in self.worth.hosts.values():
            later = [self.worth.said(self.now + t, x)[1] for t in (0.0, 10.0, 500.0, 3999.0, 4000.0, 1e6)]
            assert later == sorted(later, reverse=True)
            assert later[-1] == 0.0


Senders.TestCase.settings = settings(max_examples=80, stateful_step_count=40, deadline=None)
TestSenders = Senders.TestCase


# ---- intake and steward, on sockets ------------------------------------------------------------------------

BLOCK = """
load_reports {{
  listen = "127.0.0.1:0"
  key_file = "{key}"
  window_ms = 100
  half_life_ms = 400
  expiry_ms = 1000
  sender_rate = 50
  processes_most = 2
  reports_per_s = 300
  tick_ms = 10
}}
"""


class Sender(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.echo = b"\0" * 8

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.echo = data[2:10]


def test_reports_reach_the_module_as_weights_and_stop_counting_when_they_stop(tmp_path: Path) -> None:
    (tmp_path / "key").write_bytes(KEY + b"\n")
    rows = [{"host": h, "address": "127.0.0.1:9", "state": "up", "started": 0.0, "weight": 2.0} for h in range(5)]

    async def scene() -> None:
        async with Running(tmp_path, BLOCK.format(key=tmp_path / "key"), config=CONFIG) as r:
            feed = r.steward.load_weights.feed
            assert feed is not None
            await until(lambda: feed.port)
            loop = asyncio.get_running_loop()
            udp, me = await loop.create_datagram_endpoint(Sender, remote_addr=("127.0.0.1", feed.port))
            _, writer = await asyncio.open_connection("127.0.0.1", feed.port)
            r.steward.host_sources.on_host_rows(True, 1, rows)
            await until(lambda: feed.transport and feed.hosts == [0, 1, 2, 3, 4])

            def weights() -> dict[int, float]:
                seen: dict[int, float] = {}
                for e in r.module.told:
                    if isinstance(e, api.HostListUpdate):
                        seen.update({x.host: x.weight for x in e.entries})
                return seen

            async def report(seconds: float, done: Any = lambda: False) -> None:
                end = time.monotonic() + seconds
                while time.monotonic() < end and not done():
                    for h in (0, 1, 2, 3, 4, 77):
                        up = time.monotonic() * 1000.0
                        head = Head(h, 0, 0, int(up * 10), up, 5.0, me.echo)
                        data = pack(head, orca(application_utilization=3.0 if h == 4 else 0.5 + 0.01 * (up % 2)), KEY)
                        if h == 2:
                            writer.write(len(data).to_bytes(2, "big") + data)
                        else:
                            udp.sendto(data)
                        udp.sendto(data[:-1])
                        udp.sendto(b"rubbish")
                    await asyncio.sleep(0.03)

            await report(15, lambda: weights().get(4) == 1.0)
            assert weights() == {0: 2.0, 1: 2.0, 2: 2.0, 3: 2.0, 4: 1.0}, "half of its listed weight, the others whole"
            await until(lambda: feed.counts.get("forged"))
            assert feed.counts["unknown"] > 0
            assert feed.counts["bad"] > 0
            assert feed.counts["senders"] == 5
            stopped = time.monotonic()
            await until(lambda: weights()[4] == 2.0)
            assert time.monotonic() - stopped < 5.0
            # The intake dies: it comes back, and the steward has not stopped.
            old = feed.pid
            os.kill(old, signal.SIGKILL)
            await until(lambda: feed.pid not in (0, old) and feed.transport)
            udp.close()
            writer.close()

    asyncio.run(scene())


def test_an_intake_whose_steward_is_gone_says_nothing_more() -> None:
    """Reports still wait when the steward dies: its socket is closed, the loop has a few passes left."""

    async def scene() -> None:
        conf = {"sender_rate": 10.0, "sender_burst": 10, "processes_most": 2, "reports_per_s": 1000, "tick_ms": 1000}
        intake = Intake({**conf, "key": ""})
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        await asyncio.get_running_loop().create_connection(lambda: intake, sock=ours)
        intake.triage.listed([1])
        assert intake.came(pack(Head(1, 0, 0, 1, 1.0, 5.0), orca(application_utilization=0.5)), None)
        theirs.close()
        await intake.over
        await asyncio.sleep(0.05)
        intake.turn()
        intake.tell_counts()

    uvloop.run(scene())


def test_a_missing_key_is_named(tmp_path: Path) -> None:
    async def scene() -> None:
        with pytest.raises(OSError, match="none.key"):
            async with Running(tmp_path, BLOCK.format(key=tmp_path / "none.key"), config=CONFIG):
                pass

    asyncio.run(scene())


def test_heads_are_as_the_page_says() -> None:
    """Byte for byte: what docs/reports.md tells strangers."""
    raw = pack(HEAD_1, b"")
    assert raw[:4] == b"oL\x01\x00"
    assert HEAD.size == 50
    assert len(raw) == 50
    assert raw[4:10] == bytes([0, 0, 0, 7, 0, 3])
    assert raw[-8:] == b"12345678"
    told = json.loads(pack_json(HEAD_1, b'{"eps": 1}'))
    assert told["orca"] == {"eps": 1}
    assert told["seq"] == 9
    assert msgspec.json.encode(told)


@pytest.mark.parametrize("at", [1, 7, 30, 59])
def test_what_was_learnt_goes_on_in_another_process(at: int) -> None:
    """Handed over as bytes at any step, it says from there what it would have said."""

    def play(handed: bool) -> list[dict[int, float]]:
        w, said = Worth(Policy(window=100.0, half_life=1_000.0, expiry=4_000.0)), []
        w.listed(dict.fromkeys(range(5), (0.0, 0, 0.0)))
        for n in range(60):
            now = 1e6 + n * 50.0
            w.tick(now, bytes([n]) * 8)
            for h in range(5 if n < 40 else 3):
                head = Head(h, 0, 0, n, now, 5.0, bytes([max(0, n - h)]) * 8)
                w.report(now, now, head, Load(2.0 if h == 4 else 0.5 + 0.01 * (n % 2)))
                w.seen(h, 4, n % 2, 300.0 + h)
            w.turn(now)
            said.append(w.factors())
            if handed and n == at:
                state = file.unpack(file.pack(hand(w, "x", 1, 2, b"half", {})), FeedState)
                assert (state.held, state.process, state.port) == (b"half", 1, 2)
                w = Worth(w.policy)
                take(w, state)
        return said

    assert play(True) == play(False)
    assert any(play(False))
