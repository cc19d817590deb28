"""Races that were fixed once, planted again one at a time: the test written for each finds it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import forced_order
import msgspec
import pytest
from forced_order import Side

from corallanding import connection
from corallanding.collector import server
from corallanding.discovery import host_list as discovery
from corallanding.discovery.http_connection import HttpConnection
from corallanding.discovery.long_poll import DiscoveryClient
from corallanding.platform.service import PlatformController
from corallanding.relay.call import Call
from corallanding.relay.call_connection import CallConnection
from corallanding.relay.pending_calls import PendingCalls
from corallanding.relay.subscription_connection import Subscription
from tests.collector import test_server as door_scenes
from tests.connection.test_connector import (
    test_connection_when_another_attempt_begins_after_adoption_then_it_stays_open as connection_after_adoption,
)
from tests.connection.test_connector import (
    test_connection_when_established_as_its_limit_passes_then_it_is_adopted as connection_at_the_limit,
)
from tests.connection.test_connector import (
    test_connection_when_it_ends_then_its_owner_is_told_once_unless_it_was_discarded as connection_end,
)
from tests.discovery import test_answers as answer_scenes
from tests.discovery import test_damaged_lists as list_scenes
from tests.discovery import test_long_poll as agent_scenes
from tests.platform import test_stop_and_reload as life_scenes
from tests.relay import test_call_answers as call_answer_scenes
from tests.relay import test_call_connection as call_scenes
from tests.relay import test_subscription_connection as news_scenes

Patch = pytest.MonkeyPatch


def adopted_late(p: Patch) -> None:
    """The connection goes to its owner once the dial's task has come round to it."""

    async def connect(self: Any, conn: Any) -> None:
        conn.on_connected = lambda conn: None
        await self.loop.create_connection(lambda: conn, *conn.address)
        if conn is self.pending:
            self.finish_attempt()
            self.on_connected(conn)

    p.setattr(connection.Connector, "open_connection", connect)


def dial_that_outlives_the_close(p: Patch) -> None:
    p.setattr(connection.Connector, "cancel", lambda self: None)


def every_dial_adopted(p: Patch) -> None:
    p.setattr(connection.Connector, "cancel", lambda self: None)
    p.setattr(
        connection.Connector, "on_established", lambda self, conn: (self.finish_attempt(), self.on_connected(conn))
    )


def cancelled_after_adoption(p: Patch) -> None:
    def done(self: Any) -> None:
        self.pending = None
        if self.timeout:
            self.timeout.cancel()

    def cancel(self: Any) -> None:
        if self.task:
            self.task.cancel()
        done(self)

    p.setattr(connection.Connector, "finish_attempt", done)
    p.setattr(connection.Connector, "cancel", cancel)


def limits_before_reads(p: Patch) -> None:
    p.setattr(connection.ReadTimeout, "on_expired", lambda self: self.on_timeout())


def short_joining(p: Patch) -> None:
    limits_before_reads(p)
    p.setattr(server, "IDENTIFICATION_TIMEOUT_MS", server.IDENTIFICATION_TIMEOUT_MS / 20.0)


def whole_list_forgotten(p: Patch) -> None:
    real = DiscoveryClient.on_failure

    def failed(self: DiscoveryClient, why: str) -> None:
        self.is_full_request = False
        real(self, why)

    p.setattr(DiscoveryClient, "on_failure", failed)


def old_lines_after_a_slice_came_back(p: Patch) -> None:
    p.setattr(Call, "valid_orders", lambda self, orders: orders)


def echoes_counted(p: Patch) -> None:
    real = PendingCalls.on_answer

    def answered(self: PendingCalls, now: float, line: bytes) -> Any:
        said = msgspec.json.decode(line)
        return None if self.in_flight and said["id"] != self.in_flight.id else real(self, now, line)

    p.setattr(PendingCalls, "on_answer", answered)


def move_forgotten(p: Patch) -> None:
    """By the answer to the call in flight, which makes the old connection good again."""
    real = CallConnection.send_next

    def kick(self: CallConnection) -> None:
        if self.connection:
            self.connection.address = self.address
        real(self)

    p.setattr(CallConnection, "send_next", kick)


def calls_after_the_last(p: Patch) -> None:
    def finish(self: CallConnection) -> None:
        if not self.calls.in_flight:
            self.finished.set()

    p.setattr(CallConnection, "finish", finish)


def lines_for_ever(p: Patch) -> None:
    real = Subscription.on_entries

    def lines_come(self: Subscription) -> None:
        real(self)
        assert self.entries_timer
        self.entries_timer.cancel()
        self.entries_timer = self.loop.call_later(self.timings.entries_quiet_ms / 1000.0, self.deliver_slices)

    p.setattr(Subscription, "on_entries", lines_come)


def half_said_kept(p: Patch) -> None:
    """What stands is taken for whole when its connection breaks."""
    real = Subscription.on_connection_ended

    def over(self: Subscription, session: Any) -> None:
        if session is self.candidate:
            self.complete_initial_state(session)
        real(self, session)

    p.setattr(Subscription, "on_connection_ended", over)


def ready_at_any_time(p: Patch) -> None:
    p.setattr(PlatformController, "set_ready", lambda self: self.server and self.server.set_ready())


def turns_after_the_end(p: Patch) -> None:
    real = PlatformController.stop

    def stop(self: PlatformController) -> None:
        real(self)
        self.is_stopping = False
        self.decisions.is_stopped = False

    p.setattr(PlatformController, "stop", stop)


def second_answers_taken(p: Patch) -> None:
    p.setattr(HttpConnection, "on_message_begin", lambda self: None)


def lengths_wanted(p: Patch) -> None:
    p.setattr(HttpConnection, "on_message_begin", lambda self: setattr(self, "ends_with_connection", False))


def deep_json_raises(p: Patch) -> None:
    p.setattr(discovery, "JSON_DECODE_ERRORS", (msgspec.DecodeError,))


def drains_in_damaged_entries_passed_over(p: Patch) -> None:
    p.setattr(
        discovery.HostListView, "last_good_entry", lambda self, raw: self.entries.get(discovery.number(raw["host"]))
    )


def ends_told(p: Patch) -> None:
    """Also to one who dropped the connection."""

    def lost(self: connection.OutboundConnection, exc: Exception | None) -> None:
        self.on_lost(self)

    p.setattr(connection.OutboundConnection, "connection_lost", lost)


PLANTED: list[tuple[Callable[[Patch], None], Callable[[Path], None]]] = [
    (
        adopted_late,
        lambda tmp: call_scenes.test_connection_when_it_breaks_at_once_then_no_call_uses_it(Side.reset),
    ),
    (
        adopted_late,
        lambda tmp: news_scenes.test_watch_when_it_breaks_at_once_then_it_is_requested_again(Side.close),
    ),
    (
        dial_that_outlives_the_close,
        lambda tmp: call_scenes.test_attempt_when_established_after_close_then_no_connection_is_left(),
    ),
    (
        dial_that_outlives_the_close,
        lambda tmp: news_scenes.test_watch_when_established_after_close_then_no_connection_is_left(),
    ),
    (
        every_dial_adopted,
        lambda tmp: agent_scenes.test_client_when_the_old_address_connects_after_the_new_one_then_it_is_not_used(),
    ),
    (
        cancelled_after_adoption,
        lambda tmp: connection_after_adoption(),
    ),
    (limits_before_reads, lambda tmp: answer_scenes.test_answer_when_received_as_its_timeout_passes_then_it_is_used()),
    (
        limits_before_reads,
        lambda tmp: call_answer_scenes.test_call_answer_when_received_at_its_timeout_then_it_counts(),
    ),
    (
        limits_before_reads,
        lambda tmp: connection_at_the_limit(),
    ),
    (
        short_joining,
        lambda tmp: door_scenes.test_collector_when_received_at_its_timeout_then_it_is_accepted(None),
    ),
    (
        whole_list_forgotten,
        lambda tmp: agent_scenes.test_fetch_when_requests_fail_then_it_is_repeated(),
    ),
    (
        old_lines_after_a_slice_came_back,
        lambda tmp: call_scenes.test_slice_when_lost_and_given_back_then_tables_agree("unknown", False),
    ),
    (
        echoes_counted,
        lambda tmp: call_answer_scenes.test_answer_when_doubled_then_the_next_call_is_not_affected(),
    ),
    (
        move_forgotten,
        lambda tmp: call_scenes.test_call_when_the_address_changes_then_it_ends_at_the_old_one(),
    ),
    (
        calls_after_the_last,
        lambda tmp: call_scenes.test_finish_when_a_call_is_in_flight_then_no_other_begins(),
    ),
    (lines_for_ever, lambda tmp: news_scenes.test_slice_when_entries_of_others_never_cease_then_it_is_delivered()),
    (
        half_said_kept,
        lambda tmp: news_scenes.test_watch_when_it_breaks_in_the_initial_state_then_no_event_is_delivered(),
    ),
    (ready_at_any_time, lambda tmp: life_scenes.test_stop_when_not_ready_then_no_heartbeat_is_answered(tmp)),
    (turns_after_the_end, lambda tmp: life_scenes.test_stop_when_called_then_no_step_call_or_connection_begins(tmp)),
    (
        second_answers_taken,
        lambda tmp: answer_scenes.test_answer_when_unrequested_then_it_does_not_count_for_the_next_request(False),
    ),
    (
        lengths_wanted,
        lambda tmp: answer_scenes.test_body_when_it_has_no_length_then_it_ends_with_the_connection(Side.close, [b"17"]),
    ),
    (deep_json_raises, lambda tmp: list_scenes.test_answer_when_nested_without_end_then_it_is_rejected()),
    (
        drains_in_damaged_entries_passed_over,
        lambda tmp: list_scenes.test_damaged_entry_when_its_host_leaves_then_that_is_believed("terminating", True),
    ),
    (
        ends_told,
        lambda tmp: connection_end(Side.close),
    ),
]


@pytest.mark.parametrize(("plant", "scene"), PLANTED, ids=[plant.__name__ for plant, _ in PLANTED])
def test_race_when_planted_then_its_test_fails(
    plant: Callable[[Patch], None], scene: Callable[[Path], None], monkeypatch: Patch, tmp_path: Path
) -> None:
    scene(tmp_path)
    monkeypatch.setattr(forced_order, "LONG", 1.0)
    plant(monkeypatch)
    with pytest.raises((AssertionError, TimeoutError, RecursionError, ConnectionError, asyncio.IncompleteReadError)):
        scene(tmp_path)
