"""Short scenes; each prints its decisions and compares them with the kept trace of the same name."""

from __future__ import annotations

from helper import Rig, up

from corallanding import interface as api

HOSTS = [up(h) for h in (11, 12, 13, 14)]
GONE = api.HealthCheckOutcome.UNREACHABLE
EVEN = {s: 11 + s % 4 for s in range(8)}


def sums(good: dict[int, int], bad: dict[int, int] | None = None, latency: float = 200.0) -> list[api.Event]:
    """One second's sums: good and unanswered tries by host, and an even demand for the slices."""
    bad = bad or {}
    out: list[api.Event] = [
        api.HostUsageReport(h % 2, h, good.get(h, 0) + bad.get(h, 0), bad.get(h, 0), latency, 1000.0)
        for h in sorted({*good, *bad})
    ]
    return out + [api.SliceUsageReport(s, 0, 10, 0, 1000.0) for s in range(8)]


def all_well() -> list[api.Event]:
    return sums(dict.fromkeys((11, 12, 13, 14), 20))


def calm(**over: object) -> Rig:
    """Four servers, two slices each, three quiet seconds."""
    rig = Rig(**over)
    rig.start(HOSTS, EVEN)
    rig.run(3, all_well)
    return rig


def listed(rig: Rig, *entries: api.HostEntry, form: api.HostListKind = api.HostListKind.CHANGES) -> None:
    rig.step(api.HostListUpdate(form, 2, entries))


def test_first_placement() -> None:
    rig = Rig()
    rig.say("no slice has a line: each goes to its top scorer at once")
    rig.start(HOSTS)
    rig.run(2, all_well)
    rig.check("first_placement")


def test_restart_from_store() -> None:
    rig = Rig()
    rig.say("owners on record are kept; slice 1 was left with two lines by a move, the lighter one goes")
    rig.start(HOSTS, EVEN)
    rig.run(1, all_well)
    rig.say("given anew with two lines")
    rig.step(api.SliceOwnershipChange(1, False))
    rig.step(api.SliceOwnershipChange(1, True), api.StoredWeight(1, 11, 1.0), api.StoredWeight(1, 12, 0.5))
    rig.run(3, all_well)
    rig.check("restart_from_store")


def test_drain() -> None:
    rig = calm()
    rig.say("12 drains: its slices leave in the same step, the new line before the old one goes")
    listed(rig, up(12, "draining"))
    rig.run(1, all_well)
    rig.check("drain")


def test_death() -> None:
    rig = calm()
    rig.say("13 answers nothing more and fails its probe: a crash")
    rig.ends = {13: GONE}
    rig.step(*sums({11: 20, 12: 20, 14: 20}, {13: 20}))
    rig.step(api.HealthCheckResult(13, GONE))
    rig.say("14 answers nothing, its probes do: a hang, once it is silent for two windows")
    rig.run(5, lambda: sums({11: 20, 12: 20}, {14: 20}))
    rig.check("death")


def test_crowded_is_not_dead() -> None:
    rig = Rig()
    rig.start(HOSTS, {**EVEN, 1: 11, 2: 11})
    rig.run(3, all_well)
    rig.say("11 turns most away but answers some: it sheds down to its part and keeps the rest")
    rig.run(4, lambda: sums({11: 3, 12: 20, 13: 20, 14: 20}, {11: 30}))
    rig.check("crowded")


def test_trouble_everywhere() -> None:
    rig = calm()
    rig.say("three of four answer nothing: the path, not the servers; they are not emptied into the fourth")
    rig.run(6, lambda: sums({14: 20}, dict.fromkeys((11, 12, 13), 20)))
    rig.check("trouble_everywhere")


def test_move_with_gate_hold_and_ack() -> None:
    rig = Rig()
    rig.start(HOSTS[:3], {s: 11 + s % 3 for s in range(8)})
    rig.run(3, lambda: sums(dict.fromkeys((11, 12, 13), 20)))
    rig.say("14 comes, warm; 11 is crowded: unheard 14 is probed, passes in a window; old lines go on acks")
    listed(rig, up(14))
    rig.run(5, lambda: sums({11: 20, 12: 20, 13: 20}, {11: 60}))
    rig.say("no acks now: the old owner of the next move is held for 5 s")
    rig.run(9, lambda: sums({11: 20, 12: 20, 13: 20, 14: 20}, {12: 60}), ack=False)
    rig.check("move")


def test_ramp_of_a_returning_server() -> None:
    rig = calm()
    rig.say("12 dies with its slices and is listed with a fresh start: it keeps what a cold one can take")
    rig.step(*[api.SliceUsageReport(s, 0, 30, 0, 1000.0) for s in (1, 5)])
    listed(rig, up(12, since=rig.now - 500))
    rig.say("13 drains; 12's two grown slices are too much and leave, then it has room for a small one")
    listed(rig, up(13, "draining"))
    rig.run(1, all_well)
    rig.check("returning")


def test_full_channel() -> None:
    rig = calm(max_messages=4)
    rig.say("three drains, one by one; no proxy gets more than 3 of 4 messages in 10 s, the rest waits")
    for host in (12, 13, 14):
        listed(rig, up(host, "draining"))
        listed(rig, up(host))
        listed(rig, up(host, "draining"))
    rig.run(12)
    rig.check("full_channel")


def test_late_proxy() -> None:
    rig = Rig()
    rig.start(HOSTS, EVEN, proxies=0)
    rig.say("a proxy joins late: it reads the store by itself; the ways of trying again reach it")
    rig.step(api.ProxyJoined(5, 0, 3.0, True))
    rig.run(2, all_well)
    rig.check("late_proxy")


def test_asked_list() -> None:
    rig = Rig(polls_host_list=True, poll_interval_ms=10_000.0)
    rig.start(HOSTS, EVEN)
    rig.say("a call failed: it is asked again well within the ask rule's time")
    listed(rig, form=api.HostListKind.FAILED)
    rig.run(3, all_well)
    rig.say("a full list without 11: its slices leave")
    listed(rig, *HOSTS[1:], form=api.HostListKind.FULL)
    rig.check("asked_list")


def test_let_in_less() -> None:
    rig = calm(admission="fraction")
    rig.say("the whole fleet is strained: less is let in, step by step, and more again after")
    rig.run(4, lambda: sums(dict.fromkeys((11, 12, 13, 14), 10), dict.fromkeys((11, 12, 13, 14), 30)))
    rig.run(6, all_well)
    rig.check("let_in_less")


def test_slice_in_demand_is_shared() -> None:
    rig = calm()
    rig.say("slice 2 alone crowds 13: the next in rank is listed beside it, and dropped when demand falls")
    hot: list[api.Event] = [api.SliceUsageReport(2, 0, 90, 0, 1000.0)]
    rig.run(4, lambda: sums({11: 20, 12: 20, 13: 20, 14: 20}, {13: 20}) + hot)
    cool: list[api.Event] = [api.SliceUsageReport(2, 0, 2, 0, 1000.0)]
    rig.run(14, lambda: [e for e in all_well() if getattr(e, "slice", 0) != 2] + cool)
    rig.check("shared")


def test_repeats_are_no_demand() -> None:
    rig = calm()
    rig.say("half of what went unanswered is clients' repeats: slice 2 weighs as before, no move for its load")
    jam: list[api.Event] = [api.SliceUsageReport(2, 0, 20, 20, 1000.0)]
    rig.run(4, lambda: sums(dict.fromkeys((11, 12, 13, 14), 20)) + jam)
    rig.say(f"slice 2 counts as {rig.assigner.slices[2].requests_per_second:.1f} a second")
    rig.check("repeats")


def test_late_cold_server_sheds_at_once() -> None:
    rig = Rig()
    rig.start([*HOSTS[:3], up(14, since=Rig.START - 8000)], {**{s: 11 + s % 3 for s in range(8)}, 7: 14})
    rig.run(3, all_well)
    rig.say("14 is 11 s old and its answers come too late: what it holds leaves without gate or hold")
    late: list[api.Event] = [api.HostUsageReport(0, 14, 40, 30, 2000.0, 1000.0)]
    rig.run(2, lambda: sums(dict.fromkeys((11, 12, 13), 20)) + late)
    rig.check("late_cold")


def test_one_quick_answer_tells_no_speed() -> None:
    rig = calm()
    rig.step(api.HostUsageReport(0, 14, 1, 0, 20.0, 1000.0))
    speeds = [round(rig.assigner.hosts[h].base_latency_ms) for h in (13, 14)]
    rig.say(f"after one quick answer of 14, servers 13 and 14 count as answering in {speeds} ms")
    rig.check("one_answer")


def test_speed_counts_half_way_to_its_kind() -> None:
    rig = calm()
    slow, usual = rig.assigner.hosts[14], rig.assigner.hosts[13]
    slow.base_latency_ms = 4 * usual.base_latency_ms
    ratio = rig.assigner.load_estimator.capacity_of(slow) / rig.assigner.load_estimator.capacity_of(usual)
    rig.say(f"14 was seen four times as slow as its kind: its part is {ratio:.2f} of the others'")
    rig.check("half_way")


def test_stale_sums_of_a_restart() -> None:
    rig = calm()
    rig.say("12 restarted; sums of its old process come late and are passed over")
    listed(rig, up(12, since=rig.now - 200))
    rig.step(*sums({}, {12: 30}))
    rig.run(2, all_well)
    rig.check("stale_sums")


def test_no_server_left_keeps_the_drain() -> None:
    rig = Rig()
    rig.start(HOSTS[:1], dict.fromkeys(range(8), 11))
    rig.say("the only server drains: its lines go, as nothing else may have them")
    listed(rig, up(11, "draining"))
    rig.say("a server comes: every slice is placed")
    listed(rig, up(12))
    rig.run(2)
    rig.check("no_server")


def test_wrong_list() -> None:
    rig = calm(only_drains_bind=True)
    rig.say("12 and 13 are gone from the list; 12 answers and stays, 13 fails its probe and is emptied")
    rig.ends = {13: GONE, 15: GONE}
    listed(rig, up(12, "removed"), up(13, "removed"))
    rig.run(4, lambda: sums({11: 20, 12: 20, 14: 20}))
    rig.say("15 is listed but does not exist: it fails its probes and is given nothing when 14 drains")
    listed(rig, up(15), up(14, "draining"))
    rig.run(2, lambda: sums({11: 20, 12: 20}))
    rig.check("wrong_list")


def test_growth_is_not_left_idle() -> None:
    rig = Rig()
    rig.start(HOSTS[:2], {s: 11 if s < 6 else 12 for s in range(8)})
    rig.run(3, lambda: sums({11: 60, 12: 20}))
    rig.say("13 and 14 come; 11 holds over 1.5 parts and is calm: they win slices off it by plain rendezvous")
    listed(rig, up(13), up(14))
    rig.run(4, lambda: sums({11: 60, 12: 20, 13: 20, 14: 20}))
    rig.check("growth")


def test_emptied_server_returns_on_a_probe() -> None:
    rig = calm()
    rig.ends = {13: GONE}
    rig.step(*sums({11: 20, 12: 20, 14: 20}, {13: 20}))
    rig.run(1.5, all_well)
    rig.say("13 was emptied; what it was sent before goes on timing out; it answers a probe after 6 s")
    rig.run(3, lambda: sums({11: 20, 12: 20, 14: 20}, {13: 20}))
    rig.ends = {}
    rig.run(8, lambda: sums({11: 20, 12: 20, 14: 20}))
    rig.say("11 drains: 13 takes its share again")
    listed(rig, up(11, "draining"))
    rig.check("returned")


def hardly(host: int) -> list[api.Event]:
    """A second in which `host` fails all of one zone's tries, and answers one of the other's."""
    return [api.HostUsageReport(1, host, 12, 12, 0.0, 1000.0), api.HostUsageReport(0, host, 4, 3, 1100.0, 1000.0)]


def test_slow_by_itself() -> None:
    rig = calm()
    rig.step(*(api.HealthCheckResult(h, api.HealthCheckOutcome.OK, 8.0) for h in (12, 13, 14)))
    rig.took = {11: 40.0}
    rig.run(2, lambda: sums({12: 20, 13: 20, 14: 20}) + hardly(11))
    rig.say("11 answers next to nothing, and its probes take long, but not eight times the fleet's: it sheds, no more")
    rig.took = {11: 130.0}
    rig.run(3, lambda: sums({12: 20, 13: 20, 14: 20}) + hardly(11))
    rig.say("they take sixteen times as long: it was emptied, and stays out while they do")
    rig.run(9, lambda: sums({12: 20, 13: 20, 14: 20}))
    assert not rig.assigner.hosts[11].is_eligible
    rig.took = {11: 8.0}
    rig.run(8, lambda: sums({12: 20, 13: 20, 14: 20}))
    rig.say("well again")
    assert rig.assigner.hosts[11].is_eligible
    rig.check("slow-by-itself")


def test_one_reply_does_not_fill_the_queue() -> None:
    rig = Rig(max_queued_lines=52.0)
    rig.start(HOSTS, {s: 12 + s % 2 for s in range(8)})
    rig.run(3, all_well)
    rig.say("12 and 13 drain, 16 lines to a proxy, the queue has room for 13: a cordon each, then new owners")
    listed(rig, up(12, "draining"), up(13, "draining"))
    rig.run(1, all_well)
    rig.check("bounded")


def test_a_long_way_is_no_refusal() -> None:
    rig = calm()
    rig.ends = {15: api.HealthCheckOutcome.TIMEOUT, 16: GONE}
    rig.say("15 and 16 are new; 15's probes time out, as on a long way, 16's are refused; 11 and 12 drain")
    listed(rig, up(15), up(16))
    rig.run(2, all_well)
    listed(rig, up(11, "draining"), up(12, "draining"))
    rig.check("long_way")


def test_a_burst_counts_at_once() -> None:
    rig = calm()
    rates = []
    for count in (10, 9, 40, 30):
        rig.step(api.SliceUsageReport(2, 0, count, 0, 1000.0))
        rates.append(round(rig.assigner.slices[2].requests_per_second, 1))
    rig.say(f"10, 9, 40 and 30 invocations of slice 2 a second count as {rates}")
    rig.check("burst")


def test_servers_replaced_by_the_thousand_are_forgotten_and_decided_on_as_if_they_were_not() -> None:
    """Two modules live the same day of replacements; one forgets nothing."""
    rigs = [Rig(), Rig()]
    rigs[1].assigner.forget_departed_hosts = lambda: None  # type: ignore[method-assign]
    for rig in rigs:
        rig.start(HOSTS, EVEN)
        for n in range(600):
            new, old = up(100 + n, since=rig.now), up(100 + n - 4 if n >= 4 else 11 + n)
            listed(rig, new, up(old.host, "draining", old.online_since))
            good = dict.fromkeys(range(max(100, 100 + n - 3), 100 + n), 20)
            rig.run(2, lambda good=good: sums(good))  # type: ignore[misc]
            listed(rig, up(old.host, "removed"))
    a, whole = (rig.assigner for rig in rigs)
    assert rigs[0].lines == rigs[1].lines
    assert len(whole.hosts) == 604
    assert len(a.hosts) < 100
    assert len(a.rendezvous.hosts) <= len(a.hosts)
    assert len(a.rendezvous.host_ids) <= len(a.hosts)
    assert all(len(values) <= a.rendezvous.max_ranked for values, _ in a.rendezvous.rankings.values())


def test_five_stewards_round_a_cold_servers_part_but_once() -> None:
    """Each steward holds a slice a server; a cold server's part of that at each is less than a slice."""
    warm, new = [up(h) for h in range(31, 39)], [up(h, since=Rig.START + 2_000.0) for h in range(51, 59)]
    rigs = [Rig(controller_count=5, controller_index=me, slice_count=40) for me in range(5)]
    given = dict.fromkeys([h.host for h in new], 0)
    for rig in rigs:
        rig.start(warm, {s: 31 + s for s in range(8)})
        rig.run(3, lambda: sums(dict.fromkeys(range(31, 39), 20)))
        listed(rig, *new)
        rig.run(1.5, lambda: sums(dict.fromkeys(range(31, 39), 20)))
        rig.lines = []
        listed(rig, *(up(h, "draining") for h in range(31, 34)))
        for s in rig.assigner.slices.values():
            if s.owner and s.owner.id in given:
                given[s.owner.id] += 1
    part = rigs[0].assigner.hosts[51].capacity / sum(h.capacity for h in rigs[0].assigner.hosts.values()) * 40
    rigs[0].lines = []
    rigs[0].say(f"three of eight servers drain at five stewards of 8 slices each; a new one's part is {part:.1f} of 40")
    rigs[0].say("they are given " + " ".join(f"{h}:{n}" for h, n in given.items()))
    rigs[0].check("five_stewards")


def test_a_steward_that_takes_over_counts_with_what_the_fleet_was_seen_to_answer_for_all() -> None:
    rig = Rig(slice_count=16)
    rig.start(HOSTS, EVEN)
    rig.run(20, all_well)
    a, parts = rig.assigner, list[float]()
    listed(rig, up(15, since=rig.now))
    for more in ((), range(8, 16)):
        rig.step(*(e for s in more for e in (api.SliceOwnershipChange(s, True), api.StoredWeight(s, 11 + s % 4, 1.0))))
        rig.run(2, all_well)
        h = a.hosts[15]
        parts.append(h.fair_load / h.capacity / a.fleet.load_per_capacity)
    rig.lines = []
    rig.say("another steward dies and its slices come; a cold server's part, to that of a warm one of its capacity, is")
    rig.say(f"{parts[0]:.2f} before and {parts[1]:.2f} after")
    rig.check("takes_over")


def test_too_little_is_known_until_sums_of_all_slices_have_come() -> None:
    rig = Rig(reports_per_second=1.8)
    rig.start(HOSTS, EVEN)
    rig.run(10, lambda: [api.HostUsageReport(1, 11, 20, 0, 200.0, 5000.0)])
    assert rig.assigner.fleet.report_window_ms > 10_000
    assert rig.assigner.load_estimator.peak_load_per_capacity == float("inf")


def test_a_slice_given_in_demand_stays_shared_until_it_is_heard_of() -> None:
    rig = calm()
    listed(rig, up(15, since=rig.now), up(16, since=rig.now))
    rig.run(9, all_well)
    rig.lines = []
    rig.say("slices 2 and 6 come from another steward that restarts, 2 with the lines of one in demand; 13 drains")
    rows = [api.StoredWeight(s, h, 1.0) for s, h in ((2, 13), (2, 11), (2, 12), (6, 13))]
    rig.step(*(api.SliceOwnershipChange(s, on) for on in (False, True) for s in (2, 6)), *rows)
    listed(rig, up(13, "draining"))
    rig.run(2)
    assert {len(s.weights) for s in rig.assigner.slices.values() if s.id == 2} == {2}
    assert not rig.assigner.slices[2].rate_by_class
    rig.check("unheard_of")


def test_a_slice_in_great_demand_is_shared_at_once_among_several_stewards() -> None:
    hosts = [up(h) for h in range(31, 41)]
    for stewards in (1, 2):
        rig = Rig(controller_count=stewards, slice_count=8 * stewards)
        rig.start(hosts, {s: 31 + s for s in range(8)})
        rig.run(3, lambda: sums(dict.fromkeys(range(31, 41), 20)))
        rig.lines = []
        rig.say(f"{stewards} stewards: slice 0 asks for more than half of all, 31 answers one in six")
        hot = [api.SliceUsageReport(0, 0, 150, 60, 1000.0)]
        rig.run(2.1, lambda hot=hot: sums({31: 9, **dict.fromkeys(range(32, 41), 20)}, {31: 50}) + hot)  # type: ignore[misc]
        shown = sorted(h.id for h in rig.assigner.slices[0].weights)
        rig.lines = [line for line in rig.lines if line.startswith("#") or "slice=0," in line]
        rig.say(f"after two seconds of it: {shown}")
        rig.check(f"great_demand_{stewards}")


def test_few_tries_are_no_crowd_where_each_of_several_stewards_hears_but_some() -> None:
    hosts = [up(h) for h in (11, 12, 13, 14)]
    left = {}
    for stewards, tries in ((1, 2), (2, 2), (2, 40)):
        rig = Rig(controller_count=stewards, slice_count=8 * stewards)
        rig.start(hosts, {s: 11 + s % 3 for s in range(8)})
        rig.run(3, all_well)
        rig.lines = []
        rig.say(f"{stewards} stewards: every other try at 11 fails, of {tries} a second")
        bad = tries // 2
        rig.run(4.1, lambda t=tries, bad=bad: sums({11: t - bad, 12: 20, 13: 20, 14: 20}, {11: bad}))  # type: ignore[misc]
        left[stewards, tries] = sum(s.owner is not rig.assigner.hosts[11] for s in rig.assigner.slices.values())
        rig.lines = [line for line in rig.lines if line.startswith("#") or "SetLine" in line]
        rig.say(f"slices that 11 does not own: {left[stewards, tries]} of 8")
        rig.check(f"few_tries_{stewards}_{tries}")
    assert left[1, 2] > left[2, 2] == 5 and left[2, 40] > 5, left


def test_a_shed_goes_on_to_its_goal_while_its_pause_lasts() -> None:
    """What a server keeps of its slices turns out to ask for four times as much, before sums can tell of the shed."""
    left = {}
    for stewards in (1, 2):
        rig = Rig(controller_count=stewards, slice_count=40 * stewards, reports_per_second=20.0)
        rig.start([up(h) for h in range(11, 17)], dict.fromkeys(range(8), 11))
        rig.step(*(e for s in range(8, 40) for e in (api.SliceOwnershipChange(s, True), api.StoredWeight(s, 11, 1.0))))
        well = sums(dict.fromkeys(range(12, 17), 9))
        few = [api.SliceUsageReport(s, 0, 12, 0, 4000.0) for s in range(40)]
        rig.run(6, lambda few=few, well=well: sums({11: 40}) + few + well)  # type: ignore[misc]
        a, seen = rig.assigner, list[tuple[float, int]]()
        for _ in range(14):
            stay = [s for s in a.slices.values() if s.owner is a.hosts[11]]
            much = [api.SliceUsageReport(s.id, 0, 12, 0, 1000.0 if len(stay) < 40 else 4000.0) for s in stay]
            rig.run(0.5)
            rig.step(*sums({11: 10}, {11: 40}), *well, *much)
            seen.append((rig.now, sum(s.owner is not a.hosts[11] for s in a.slices.values())))
        begun, first = next((at, n) for at, n in seen if n)
        assert a.fleet.feedback_delay_ms > 4_000.0
        left[stewards] = max(n for at, n in seen if at < begun + a.fleet.feedback_delay_ms) - first
    assert left[2] > left[1] + 10, f"one that hears all waits for its sums, of several each goes on: {left}"


def test_strain_lasts_a_part_of_the_window_in_which_several_stewards_hear_of_a_server() -> None:
    stress = {}
    for stewards in (1, 2):
        rig = Rig(controller_count=stewards, slice_count=8 * stewards, reports_per_second=2.0)
        rig.start(HOSTS, EVEN)
        rig.run(2, all_well)
        rig.step(*sums({11: 2}, {11: 2}))
        rig.run(6.1)
        stress[stewards] = rig.assigner.hosts[11].latency_ratio
        assert rig.assigner.fleet.report_window_ms > 8_000.0
    assert stress[2] > 0.1 > stress[1] == 0.0, "few sums come: what one told must last until the next"
