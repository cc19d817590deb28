"""Overloaded hosts shed load: slices are moved or shared."""

from __future__ import annotations

from functools import partial

from corallanding import interface as api
from tests.assignment.support import (
    HOSTS,
    Scenario,
    all_answered,
    equal_attempts,
    host_entry,
    settled_scenario,
    usage_reports,
)


def test_a_slice_when_it_overloads_its_host_by_itself_then_it_is_shared() -> None:
    scenario = settled_scenario()
    scenario.note("slice 2 alone crowds 13: the next in rank is listed beside it, and dropped when demand falls")
    high_demand: list[api.Event] = [api.SliceUsageReport(2, 0, 90, 0, 1000.0)]
    scenario.run(4, lambda: usage_reports({11: 20, 12: 20, 13: 20, 14: 20}, {13: 20}) + high_demand)
    low_demand: list[api.Event] = [api.SliceUsageReport(2, 0, 2, 0, 1000.0)]
    scenario.run(14, lambda: [event for event in all_answered() if getattr(event, "slice", 0) != 2] + low_demand)
    scenario.check_trace("shared")


def test_a_hot_slice_when_there_are_several_controllers_then_it_is_shared_at_once() -> None:
    for controllers in (1, 2):
        scenario = Scenario(controller_count=controllers, slice_count=8 * controllers)
        scenario.start([host_entry(host) for host in range(31, 41)], {slice_id: 31 + slice_id for slice_id in range(8)})
        scenario.run(3, lambda: usage_reports(equal_attempts(range(31, 41), 20)))
        scenario.lines = []
        scenario.note(f"{controllers} stewards: slice 0 asks for more than half of all, 31 answers one in six")
        scenario.run(2.1, hot_slice_reports)
        hosts = sorted(host.id for host in scenario.assigner.slices[0].weights)
        scenario.lines = [line for line in scenario.lines if line.startswith("#") or "slice=0," in line]
        scenario.note(f"after two seconds of it: {hosts}")
        scenario.check_trace(f"great_demand_{controllers}")


def hot_slice_reports() -> list[api.Event]:
    """Return reports of high demand for slice 0 at host 31, which answers about one attempt in six."""
    answered = {31: 9, **equal_attempts(range(32, 41), 20)}
    return [*usage_reports(answered, {31: 50}), api.SliceUsageReport(0, 0, 150, 60, 1000.0)]


def test_a_host_when_few_attempts_are_reported_to_several_controllers_then_it_sheds_less() -> None:
    slices_lost = {}
    for controllers, attempts in ((1, 2), (2, 2), (2, 40)):
        scenario = Scenario(controller_count=controllers, slice_count=8 * controllers)
        scenario.start(HOSTS, {slice_id: 11 + slice_id % 3 for slice_id in range(8)})
        scenario.run(3, all_answered)
        scenario.lines = []
        scenario.note(f"{controllers} stewards: every other try at 11 fails, of {attempts} a second")
        failed = attempts // 2
        second = partial(usage_reports, {11: attempts - failed, 12: 20, 13: 20, 14: 20}, {11: failed})
        scenario.run(4.1, second)
        lost = sum(slice_.owner is not scenario.assigner.hosts[11] for slice_ in scenario.assigner.slices.values())
        scenario.lines = [line for line in scenario.lines if line.startswith("#") or "SetLine" in line]
        scenario.note(f"slices that 11 does not own: {lost} of 8")
        scenario.check_trace(f"few_tries_{controllers}_{attempts}")
        slices_lost[controllers, attempts] = lost
    assert slices_lost[2, 2] == 5
    assert slices_lost[1, 2] > 5
    assert slices_lost[2, 40] > 5


def test_shedding_when_there_are_several_controllers_then_it_continues_to_its_target() -> None:
    """Guards against stalled shedding when demand rises before reports can show the effect of the first moves.

    The demand for the slices that remain on the host becomes four times as high as reported before.
    """
    single = slices_lost_within_feedback_delay(controllers=1)
    shared = slices_lost_within_feedback_delay(controllers=2)
    assert shared > single + 10, "a single controller waits for reports, each of several continues to shed"


def slices_lost_within_feedback_delay(controllers: int) -> int:
    """Return how many more slices leave host 11 after the first ones, before the feedback delay ends."""
    scenario = Scenario(controller_count=controllers, slice_count=40 * controllers, reports_per_second=20.0)
    scenario.start([host_entry(host) for host in range(11, 17)], equal_attempts(range(8), 11))
    ownership_events: list[api.Event] = []
    for slice_id in range(8, 40):
        ownership_events += [api.SliceOwnershipChange(slice_id, True), api.StoredWeight(slice_id, 11, 1.0)]
    scenario.step(*ownership_events)
    others = usage_reports(equal_attempts(range(12, 17), 9))
    low_demand = [api.SliceUsageReport(slice_id, 0, 12, 0, 4000.0) for slice_id in range(40)]
    scenario.run(6, lambda: [*usage_reports({11: 40}), *low_demand, *others])
    assigner = scenario.assigner
    loss_history: list[tuple[float, int]] = []
    for _ in range(14):
        kept = [slice_ for slice_ in assigner.slices.values() if slice_.owner is assigner.hosts[11]]
        span_ms = 1000.0 if len(kept) < 40 else 4000.0
        demand = [api.SliceUsageReport(slice_.id, 0, 12, 0, span_ms) for slice_ in kept]
        scenario.run(0.5)
        scenario.step(*usage_reports({11: 10}, {11: 40}), *others, *demand)
        lost = sum(slice_.owner is not assigner.hosts[11] for slice_ in assigner.slices.values())
        loss_history.append((scenario.now_ms, lost))
    first_loss_ms, first_lost = next((at_ms, lost) for at_ms, lost in loss_history if lost)
    delay_ms = assigner.fleet.feedback_delay_ms
    assert delay_ms > 4_000.0
    return max(lost for at_ms, lost in loss_history if at_ms < first_loss_ms + delay_ms) - first_lost
