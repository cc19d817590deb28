"""An urgent message never waits for long, whatever has used up the limit on messages."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from corallanding import interface as api
from corallanding.assignment.message_limit import MessageLimit
from tests.assignment.support import Scenario, host_entry

GRACE_MS = 3_000.0
MAX_DRAIN_DELAY_MS = GRACE_MS / 3.0
LIST_INTERVAL_MS = 400.0
STEP_MS = 50.0
HOST_COUNT = 60
FAILING_HOSTS = range(100, 115)
DRAINING_HOSTS = range(115, 139)


@given(
    st.integers(1, 30),
    st.sampled_from([0.0, 500.0, 3_000.0, 60_000.0]),
    st.lists(st.sampled_from([0.0, 1.0, 200.0, 950.0, 4_000.0]), max_size=120),
)
def test_messages_when_sent_as_early_as_allowed_then_limit_and_longest_delay_are_kept(
    max_messages: int, drain_grace_ms: float, pauses_ms: list[float]
) -> None:
    """Guards against a burst that leaves no message for what becomes due next."""
    window_ms = 10_000.0
    limit = MessageLimit.for_drains(max_messages, window_ms, drain_grace_ms)
    now_ms, sent_at_ms = 0.0, list[float]()
    for pause_ms in pauses_ms:
        now_ms += pause_ms
        earliest_ms = limit.earliest_send_ms(sent_at_ms)
        assert earliest_ms - now_ms <= limit.max_delay_ms + 1e-6
        now_ms = max(now_ms, earliest_ms)
        sent_at_ms.append(now_ms)
        assert len([at_ms for at_ms in sent_at_ms if at_ms >= now_ms - window_ms]) <= max_messages


def test_messages_when_there_is_no_limit_then_none_waits() -> None:
    assert MessageLimit.for_drains(0, 10_000.0, GRACE_MS).earliest_send_ms([1.0] * 100) < 0.0


def test_drains_when_failing_hosts_use_up_messages_then_each_is_published_in_time() -> None:
    """Guards against hosts found failing one by one, as in a lost zone, that leave no message for drains.

    A host drains every 400 ms meanwhile, as in a rolling deploy. Former fault: after 19 messages within a few seconds
    none was sent until the first of them was 10 s old.
    """
    scenario = Scenario(max_messages=20, max_queued_lines=20_000.0, slice_count=HOST_COUNT, decision_interval_ms=2.0)
    assigner = scenario.assigner
    hosts = [host_entry(host) for host in range(100, 100 + HOST_COUNT)]
    scenario.step(
        api.HostListUpdate(api.HostListKind.FULL, 1, tuple(hosts)),
        *(api.SliceOwnershipChange(slice_id, True) for slice_id in range(HOST_COUNT)),
        *(api.StoredWeight(slice_id, 100 + slice_id, 1.0) for slice_id in range(HOST_COUNT)),
        *(api.ProxyJoined(proxy, 0, 10.0, True) for proxy in range(2)),
    )
    scenario.run(20.0)
    drained_at_ms: dict[int, float] = {}
    failing, draining = iter(FAILING_HOSTS), iter(DRAINING_HOSTS)
    for tick in range(300):
        if tick % (LIST_INTERVAL_MS / STEP_MS) == 0 and (host := next(draining, None)):
            drained_at_ms[host] = scenario.now_ms
            scenario.list_hosts(host_entry(host, "draining"))
        if tick % 3 == 0 and tick > 40 and (host := next(failing, None)):
            assigner.host_health.record_failure(assigner.hosts[host])
        scenario.run(STEP_MS / 1000.0)
        scenario.step(api.VersionAcked(0, assigner.pending_versions.last_version))
        for slice_ in assigner.slices.values():
            for host in slice_.weights:
                waited_ms = scenario.now_ms - drained_at_ms.get(host.id, scenario.now_ms)
                assert waited_ms <= MAX_DRAIN_DELAY_MS + STEP_MS, f"{host.id} drains, and is in a table still"
    assert len(drained_at_ms) == len(DRAINING_HOSTS)
