"""Load leaves overloaded hosts: slices are moved or shared."""

from __future__ import annotations

from functools import partial

from corallanding import interface as api
from tests.assignment.support import HOSTS, Scenario, all_answer, reports, same, settled, up


def test_a_slice_when_it_alone_overloads_its_host_then_it_is_shared() -> None:
    scenario = settled()
    scenario.note("slice 2 alone crowds 13: the next in rank is listed beside it, and dropped when demand falls")
    hot: list[api.Event] = [api.SliceUsageReport(2, 0, 90, 0, 1000.0)]
    scenario.run(4, lambda: reports({11: 20, 12: 20, 13: 20, 14: 20}, {13: 20}) + hot)
    cool: list[api.Event] = [api.SliceUsageReport(2, 0, 2, 0, 1000.0)]
    scenario.run(14, lambda: [event for event in all_answer() if getattr(event, "slice", 0) != 2] + cool)
    scenario.check_trace("shared")


def test_a_hot_slice_when_several_controllers_share_the_work_then_it_is_shared_at_once() -> None:
    for controllers in (1, 2):
        scenario = Scenario(controller_count=controllers, slice_count=8 * controllers)
        scenario.start([up(host) for host in range(31, 41)], {slice_id: 31 + slice_id for slice_id in range(8)})
        scenario.run(3, lambda: reports(same(range(31, 41), 20)))
        scenario.lines = []
        scenario.note(f"{controllers} stewards: slice 0 asks for more than half of all, 31 answers one in six")
        scenario.run(2.1, hot_second)
        hosts = sorted(host.id for host in scenario.assigner.slices[0].weights)
        scenario.lines = [line for line in scenario.lines if line.startswith("#") or "slice=0," in line]
        scenario.note(f"after two seconds of it: {hosts}")
        scenario.check_trace(f"great_demand_{controllers}")


def hot_second() -> list[api.Event]:
    """Slice 0 in great demand at host 31, which answers one attempt in six."""
    answered = {31: 9, **same(range(32, 41), 20)}
    return [*reports(answered, {31: 50}), api.SliceUsageReport(0, 0, 150, 60, 1000.0)]


def test_a_host_when_few_attempts_are_reported_to_several_controllers_then_it_sheds_less() -> None:
    slices_lost = {}
    for controllers, attempts in ((1, 2), (2, 2), (2, 40)):
        scenario = Scenario(controller_count=controllers, slice_count=8 * controllers)
        scenario.start(HOSTS, {slice_id: 11 + slice_id % 3 for slice_id in range(8)})
        scenario.run(3, all_answer)
        scenario.lines = []
        scenario.note(f"{controllers} stewards: every other try at 11 fails, of {attempts} a second")
        failed = attempts // 2
        second = partial(reports, {11: attempts - failed, 12: 20, 13: 20, 14: 20}, {11: failed})
        scenario.run(4.1, second)
        lost = sum(slice_.owner is not scenario.assigner.hosts[11] for slice_ in scenario.assigner.slices.values())
        scenario.lines = [line for line in scenario.lines if line.startswith("#") or "SetLine" in line]
        scenario.note(f"slices that 11 does not own: {lost} of 8")
        scenario.check_trace(f"few_tries_{controllers}_{attempts}")
        slices_lost[controllers, attempts] = lost
    assert slices_lost[2, 2] == 5
    assert slices_lost[1, 2] > 5
    assert slices_lost[2, 40] > 5


def test_shedding_when_several_controllers_share_the_work_then_it_goes_on_to_its_target() -> None:
    """The slices that a host keeps turn out to ask for four times as much before reports can tell of the shedding."""
    alone = slices_lost_within_feedback_delay(controllers=1)
    shared = slices_lost_within_feedback_delay(controllers=2)
    assert shared > alone + 10, "a controller that hears all waits for its reports, each of several goes on"


def slices_lost_within_feedback_delay(controllers: int) -> int:
    """How many slices leave host 11 between the first ones and the end of the feedback delay."""
    scenario = Scenario(controller_count=controllers, slice_count=40 * controllers, reports_per_second=20.0)
    scenario.start([up(host) for host in range(11, 17)], same(range(8), 11))
    for_more_slices: list[api.Event] = []
    for slice_id in range(8, 40):
        for_more_slices += [api.SliceOwnershipChange(slice_id, True), api.StoredWeight(slice_id, 11, 1.0)]
    scenario.step(*for_more_slices)
    others = reports(same(range(12, 17), 9))
    low_demand = [api.SliceUsageReport(slice_id, 0, 12, 0, 4000.0) for slice_id in range(40)]
    scenario.run(6, lambda: [*reports({11: 40}), *low_demand, *others])
    assigner = scenario.assigner
    lost_at: list[tuple[float, int]] = []
    for _ in range(14):
        kept = [slice_ for slice_ in assigner.slices.values() if slice_.owner is assigner.hosts[11]]
        span_ms = 1000.0 if len(kept) < 40 else 4000.0
        demand = [api.SliceUsageReport(slice_.id, 0, 12, 0, span_ms) for slice_ in kept]
        scenario.run(0.5)
        scenario.step(*reports({11: 10}, {11: 40}), *others, *demand)
        lost = sum(slice_.owner is not assigner.hosts[11] for slice_ in assigner.slices.values())
        lost_at.append((scenario.now_ms, lost))
    begun_ms, first = next((at_ms, lost) for at_ms, lost in lost_at if lost)
    delay_ms = assigner.fleet.feedback_delay_ms
    assert delay_ms > 4_000.0
    return max(lost for at_ms, lost in lost_at if at_ms < begun_ms + delay_ms) - first
