"""Tests that an assigner which was dumped and loaded behaves like one that was never stopped."""

from __future__ import annotations

import msgspec
import pytest

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.snapshot import file
from corallanding.snapshot.assigner_state import AssignerState, AssignerStateError, dump, load
from corallanding.snapshot.stored_fields import OPTIONAL_VALUE_PATHS, VALUE_PATHS
from tests.assignment.generated_days import QUOTE, SCENARIO_PLANS, GeneratedScenario, ScenarioPlan, golden_checksums

GOLDEN_CHECKSUMS = golden_checksums()

COMPONENTS = frozenset(
    {
        *("publication", "pending_versions", "host_list", "host_health", "demand", "fleet", "load_estimator"),
        *("admission", "placement", "cordons", "evacuation", "load_shedding", "migration"),
        "warming_hosts",
    }
)

NOT_STORED = frozenset(
    {
        # Derived from settings and seed, or shared between components.
        *("settings", "seed", "hosts", "slices", "rendezvous", "may_begin", "handlers", "decision_interval_ms"),
        *("min_latency_objective_ms", "has_several_controllers", "message_limit"),
        # Shown in traces only.
        *("due_reasons", "message_counts"),
        # Recomputed within a step, or at the start of each decision.
        *(
            "actions",
            "is_ordinary_decision_due",
            "was_decision_due",
            "eligible_hosts",
            "spare_loads",
            "hosts_with_changed_load",
        ),
        "needs_warming_hosts",
        # A restored assigner takes the next host list as newer than the one before.
        "version",
        # Used only with `proxies_keep_orders`; such an assigner is never stored.
        *("proxies_keep_orders", "lost_acks", "applied_messages", "last_message", "cordon_delivery", "delivery"),
    }
)

STORED_SEPARATELY = frozenset(
    {
        *("pending_versions.unacked_by_proxy", "pending_versions.sent_at_ms", "fleet.typical_latency_ms_by_kind"),
        *OPTIONAL_VALUE_PATHS.values(),
    }
)


class InterruptedDay(GeneratedScenario):
    """A generated scenario whose assigner is dumped, serialized and loaded again after every `interval` steps."""

    def __init__(self, plan: ScenarioPlan, interval: int) -> None:
        self.interval = interval
        self.steps = 0
        super().__init__(Assigner, plan)

    def step(self, events: list[api.Event]) -> None:
        """Run one step, after which the assigner may be replaced by a loaded one."""
        super().step(events)
        self.steps += 1
        if self.steps % self.interval == 0:
            data = file.pack(dump(self.assigner))
            self.assigner = load(self.settings, file.unpack(data, AssignerState))


@pytest.mark.parametrize(
    ("seed", "interval"), [(0, 1), (1, 7), (2, 13), (5, 50), (7, 97), (11, 31), (15, 400), (12, 1)]
)
def test_an_assigner_when_dumped_and_loaded_then_it_behaves_as_if_never_stopped(seed: int, interval: int) -> None:
    day = InterruptedDay(SCENARIO_PLANS[seed], interval)
    assert day.run() == GOLDEN_CHECKSUMS[str(seed)]
    assert day.steps // interval > 5


def test_attributes_of_each_component_when_listed_then_each_is_stored_once_or_recomputed() -> None:
    assigner = Assigner(api.Settings(request_classes=(QUOTE,)), 1)
    assigner.step(0.0, [])
    state = dump(assigner)
    attributes = [name for name in vars(assigner) if name not in COMPONENTS | NOT_STORED]
    for component in sorted(COMPONENTS):
        names = vars(getattr(assigner, component))
        attributes += [f"{component}.{name}" for name in names if name not in COMPONENTS | NOT_STORED]
    assert sorted(attributes) == sorted({*VALUE_PATHS.values(), *STORED_SEPARATELY})
    assert len(set(VALUE_PATHS.values())) == len(VALUE_PATHS)
    assert set(state.values) == set(VALUE_PATHS)
    assert msgspec.msgpack.encode(state.values), "plain values only"


def test_an_assigner_whose_proxies_keep_orders_when_dumped_then_it_is_an_error() -> None:
    """Guards against losing which orders proxies lack, which a stored state does not contain."""
    assigner = Assigner(api.Settings(request_classes=(QUOTE,)), 1, proxies_keep_orders=True)
    with pytest.raises(AssignerStateError):
        dump(assigner)


def test_a_state_when_it_has_unknown_fields_then_the_error_names_them() -> None:
    assigner = Assigner(api.Settings(request_classes=(QUOTE,)), 1)
    assigner.step(0.0, [api.HostListUpdate(api.HostListKind.FULL, 1, (api.HostEntry(1),))])
    state = dump(assigner)
    state.host_fields = [*state.host_fields, "unknown_field"]
    with pytest.raises(AssignerStateError, match="unknown_field") as raised:
        load(assigner.settings, state)
    assert raised.value.names == ["unknown_field"]


def test_waits_of_slices_without_a_usable_host_when_loaded_then_they_go_on() -> None:
    """Guards against a loaded assigner that writes such slices in another order than the stored one would have."""
    settings = api.Settings(request_classes=(QUOTE,))
    assigner = Assigner(settings, 1)
    assert "stranded" not in dump(assigner).values, "earlier versions do not know it"
    assigner.evacuation.stranded_since_ms = {7: 125.0}
    data = file.pack(dump(assigner))
    loaded = load(settings, file.unpack(data, AssignerState))
    assert loaded.evacuation.stranded_since_ms == {7: 125.0}
