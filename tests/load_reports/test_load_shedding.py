"""The selection of reports under overload."""

from __future__ import annotations

from corallanding.load_reports.load_shedding import LoadShedder


def test_sender_when_it_floods_then_reports_of_others_are_not_displaced() -> None:
    shedder = LoadShedder(reports_per_second=1.0, burst=2.0, max_processes=4)
    shedder.set_hosts(range(50))
    for now_ms in range(20):
        for _ in range(1000):
            shedder.offer(now_ms * 10.0, (0, 0), b"loud")
    for host in range(1, 50):
        shedder.offer(200.0, (host, 0), b"quiet")
    taken = [data for _, data in shedder.take(50)]
    assert taken.count(b"quiet") == 49
    assert taken.count(b"loud") == 1
    assert shedder.counts.replaced + shedder.counts.over_rate == 20 * 1000 - 1
    assert len(shedder.slots) == 50


def test_slots_when_served_then_they_are_served_in_turn_with_the_newest_report() -> None:
    shedder = LoadShedder(reports_per_second=100.0, burst=9.0, max_processes=4)
    shedder.set_hosts([1, 2, 3])
    for host in (1, 2, 3):
        shedder.offer(0.0, (host, 0), f"{host}a")
    shedder.offer(1.0, (1, 0), "1b")
    assert shedder.take(2) == [(1.0, "1b"), (0.0, "2a")]
    shedder.offer(2.0, (1, 0), "1c")
    assert shedder.take(9) == [(0.0, "3a"), (2.0, "1c")], "host 3 waited longer"


def test_slots_when_many_processes_report_then_they_are_bounded_and_none_is_for_unlisted_hosts() -> None:
    shedder = LoadShedder(reports_per_second=1.0, burst=1.0, max_processes=3)
    shedder.set_hosts([1])
    for process in range(1000):
        shedder.offer(0.0, (1, process), b"x")
        shedder.offer(0.0, (2, process), b"x")
    assert len(shedder.slots) == 3
    assert (shedder.counts.excess_process, shedder.counts.unlisted_host) == (997, 1000)
    shedder.set_hosts([2])
    assert not shedder.slots
    assert not shedder.waiting
    assert shedder.offer(0.0, (2, 0), b"x")
