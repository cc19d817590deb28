"""The admission level and retry mode that are published to proxies."""

from __future__ import annotations

from corallanding import interface as api
from tests.assignment.support import (
    EVEN_OWNERS,
    HOSTS,
    Scenario,
    all_answered,
    equal_attempts,
    settled_scenario,
    usage_reports,
)


def test_a_proxy_when_it_joins_late_then_the_retry_mode_is_published() -> None:
    scenario = Scenario()
    scenario.start(HOSTS, EVEN_OWNERS, proxies=0)
    scenario.note("a proxy joins late: it reads the store by itself; the ways of trying again reach it")
    scenario.step(api.ProxyJoined(5, 0, 3.0, True))
    scenario.run(2, all_answered)
    scenario.check_trace("late_proxy")


def test_admission_when_the_whole_fleet_is_overloaded_then_it_falls_and_recovers() -> None:
    scenario = settled_scenario(admission="fraction")
    scenario.note("the whole fleet is strained: less is let in, step by step, and more again after")
    scenario.run(4, lambda: usage_reports(equal_attempts((11, 12, 13, 14), 10), equal_attempts((11, 12, 13, 14), 30)))
    scenario.run(6, all_answered)
    scenario.check_trace("let_in_less")
