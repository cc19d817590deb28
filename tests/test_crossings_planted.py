"""The races that the forced crossings were written for, put back one at a time: each is found by its scene."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import crossings
import msgspec
import pytest
import test_crossings_agent as agent_scenes
import test_crossings_answers as answer_scenes
import test_crossings_call_answers as call_answer_scenes
import test_crossings_calls as call_scenes
import test_crossings_door as door_scenes
import test_crossings_life as life_scenes
import test_crossings_lists as list_scenes
import test_crossings_news as news_scenes
from crossings import Side

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
from tests.connection.test_connector import (
    test_connection_when_another_attempt_begins_after_adoption_then_it_stays_open as connection_after_adoption,
)
from tests.connection.test_connector import (
    test_connection_when_established_as_its_limit_passes_then_it_is_adopted as connection_at_the_limit,
)
from tests.connection.test_connector import (
    test_connection_when_it_ends_then_its_owner_is_told_once_unless_it_was_discarded as connection_end,
)

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
    p.setattr(server, "JOIN_TIMEOUT_MS", server.JOIN_TIMEOUT_MS / 20.0)


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
        lambda tmp: call_scenes.test_a_connection_that_breaks_as_it_comes_up_is_not_kept_for_the_next_call(Side.reset),
    ),
    (
        adopted_late,
        lambda tmp: news_scenes.test_news_that_break_as_they_come_up_are_asked_for_again_at_once(Side.close),
    ),
    (
        dial_that_outlives_the_close,
        lambda tmp: call_scenes.test_a_dial_that_comes_up_after_the_close_leaves_no_connection(),
    ),
    (
        dial_that_outlives_the_close,
        lambda tmp: news_scenes.test_a_dial_of_news_that_comes_up_after_the_close_leaves_no_connection(),
    ),
    (
        every_dial_adopted,
        lambda tmp: agent_scenes.test_a_dial_of_the_old_address_that_comes_up_after_the_new_one_is_not_used(),
    ),
    (
        cancelled_after_adoption,
        lambda tmp: connection_after_adoption(),
    ),
    (limits_before_reads, lambda tmp: answer_scenes.test_an_answer_that_is_there_when_the_limit_passes_is_taken()),
    (limits_before_reads, lambda tmp: call_answer_scenes.test_an_answer_that_is_there_when_the_limit_passes_counts()),
    (
        limits_before_reads,
        lambda tmp: connection_at_the_limit(),
    ),
    (
        short_joining,
        lambda tmp: door_scenes.test_a_collector_whose_joining_waits_in_the_kernel_as_its_time_ends_is_taken(None),
    ),
    (whole_list_forgotten, lambda tmp: agent_scenes.test_a_whole_list_asked_for_is_asked_for_again_until_it_comes()),
    (
        old_lines_after_a_slice_came_back,
        lambda tmp: call_scenes.test_a_slice_taken_away_and_given_back_around_a_call_in_every_order("unknown", False),
    ),
    (echoes_counted, lambda tmp: call_answer_scenes.test_two_answers_cost_the_next_call_nothing()),
    (
        move_forgotten,
        lambda tmp: call_scenes.test_a_call_in_flight_ends_at_the_old_address_and_the_next_goes_to_the_new_one(),
    ),
    (calls_after_the_last, lambda tmp: call_scenes.test_no_call_begins_after_the_last_one_which_is_whole()),
    (lines_for_ever, lambda tmp: news_scenes.test_a_slice_is_told_though_lines_of_others_never_cease()),
    (
        half_said_kept,
        lambda tmp: news_scenes.test_a_break_before_the_first_sign_of_life_tells_nothing_of_what_was_half_said(),
    ),
    (ready_at_any_time, lambda tmp: life_scenes.test_one_that_ends_before_it_is_ready_gives_no_sign_of_life(tmp)),
    (turns_after_the_end, lambda tmp: life_scenes.test_after_the_end_is_told_there_is_no_turn_no_call_and_no_dial(tmp)),
    (
        second_answers_taken,
        lambda tmp: answer_scenes.test_a_second_answer_is_not_taken_for_that_of_the_next_question(False),
    ),
    (
        lengths_wanted,
        lambda tmp: answer_scenes.test_a_body_without_a_length_ends_with_the_connection_unless_that_was_reset(
            Side.close, [b"17"]
        ),
    ),
    (deep_json_raises, lambda tmp: list_scenes.test_objects_nested_without_end_are_an_answer_that_cannot_be_read()),
    (
        drains_in_damaged_entries_passed_over,
        lambda tmp: list_scenes.test_a_damaged_entry_that_says_its_host_leaves_is_believed_in_that("terminating", True),
    ),
    (
        ends_told,
        lambda tmp: connection_end(Side.close),
    ),
]


@pytest.mark.parametrize(("plant", "scene"), PLANTED, ids=[plant.__name__ for plant, _ in PLANTED])
def test_a_race_that_is_put_back_is_found(
    plant: Callable[[Patch], None], scene: Callable[[Path], None], monkeypatch: Patch, tmp_path: Path
) -> None:
    scene(tmp_path)
    monkeypatch.setattr(crossings, "LONG", 1.0)
    plant(monkeypatch)
    with pytest.raises((AssertionError, TimeoutError, RecursionError, ConnectionError, asyncio.IncompleteReadError)):
        scene(tmp_path)
