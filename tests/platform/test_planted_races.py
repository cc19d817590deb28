"""Races that were fixed, reintroduced one at a time: the test written for each must fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import forced_order
import msgspec
import pytest
from forced_order import PeerConnection

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
from tests.collector import test_server as server_tests
from tests.connection.test_connector import (
    test_connection_when_another_attempt_begins_after_adoption_then_it_stays_open as connection_after_adoption,
)
from tests.connection.test_connector import (
    test_connection_when_established_at_its_time_limit_then_it_is_adopted as connection_at_the_limit,
)
from tests.connection.test_connector import (
    test_connection_when_it_ends_then_its_owner_is_notified_once_unless_it_was_discarded as connection_end,
)
from tests.discovery import test_answers as answer_tests
from tests.discovery import test_damaged_lists as list_tests
from tests.discovery import test_long_poll as long_poll_tests
from tests.platform import test_stop_and_reload as stop_and_reload_tests
from tests.relay import test_call_answers as call_answer_tests
from tests.relay import test_call_connection as call_connection_tests
from tests.relay import test_subscription_connection as subscription_tests

Patch = pytest.MonkeyPatch


def adopted_late(patch: Patch) -> None:
    """Pass the connection to its owner in the task of the attempt instead of in `connection_made`."""

    async def open_connection(self: Any, connection: Any) -> None:
        connection.on_connected = lambda connection: None
        await self.loop.create_connection(lambda: connection, *connection.address)
        if connection is self.pending:
            self.finish_attempt()
            self.on_connected(connection)

    patch.setattr(connection.Connector, "open_connection", open_connection)


def attempt_not_cancelled(patch: Patch) -> None:
    patch.setattr(connection.Connector, "cancel", lambda self: None)


def every_attempt_adopted(patch: Patch) -> None:
    patch.setattr(connection.Connector, "cancel", lambda self: None)
    patch.setattr(
        connection.Connector,
        "on_established",
        lambda self, established: (self.finish_attempt(), self.on_connected(established)),
    )


def cancelled_after_adoption(patch: Patch) -> None:
    def finish_attempt(self: Any) -> None:
        self.pending = None
        if self.timeout:
            self.timeout.cancel()

    def cancel(self: Any) -> None:
        if self.task:
            self.task.cancel()
        finish_attempt(self)

    patch.setattr(connection.Connector, "finish_attempt", finish_attempt)
    patch.setattr(connection.Connector, "cancel", cancel)


def no_read_grace(patch: Patch) -> None:
    patch.setattr(connection.ReadTimeout, "on_expired", lambda self: self.on_timeout())


def no_read_grace_for_identification(patch: Patch) -> None:
    no_read_grace(patch)
    patch.setattr(server, "IDENTIFICATION_TIMEOUT_MS", server.IDENTIFICATION_TIMEOUT_MS / 20.0)


def full_list_not_requested_again(patch: Patch) -> None:
    original = DiscoveryClient.on_failure

    def on_failure(self: DiscoveryClient, reason: str) -> None:
        self.is_full_request = False
        original(self, reason)

    patch.setattr(DiscoveryClient, "on_failure", on_failure)


def old_orders_of_a_reassigned_slice_sent(patch: Patch) -> None:
    patch.setattr(Call, "valid_orders", lambda self, orders: orders)


def answers_to_other_calls_ignored(patch: Patch) -> None:
    original = PendingCalls.on_answer

    def on_answer(self: PendingCalls, now_ms: float, line: bytes) -> Any:
        answer = msgspec.json.decode(line)
        return None if self.in_flight and answer["id"] != self.in_flight.id else original(self, now_ms, line)

    patch.setattr(PendingCalls, "on_answer", on_answer)


def address_change_lost(patch: Patch) -> None:
    """Use the old connection again after the answer to the call in flight."""
    original = CallConnection.send_next

    def send_next(self: CallConnection) -> None:
        if self.connection:
            self.connection.address = self.address
        original(self)

    patch.setattr(CallConnection, "send_next", send_next)


def calls_after_finish(patch: Patch) -> None:
    def finish(self: CallConnection) -> None:
        if not self.calls.in_flight:
            self.finished.set()

    patch.setattr(CallConnection, "finish", finish)


def quiet_time_restarted_by_every_entry(patch: Patch) -> None:
    original = Subscription.on_entries

    def on_entries(self: Subscription) -> None:
        original(self)
        assert self.entries_timer
        self.entries_timer.cancel()
        self.entries_timer = self.loop.call_later(self.timings.entries_quiet_ms / 1000.0, self.deliver_slices)

    patch.setattr(Subscription, "on_entries", on_entries)


def incomplete_initial_state_used(patch: Patch) -> None:
    """Treat the initial state as complete when its connection breaks."""
    original = Subscription.on_connection_ended

    def on_connection_ended(self: Subscription, session: Any) -> None:
        if session is self.candidate:
            self.complete_initial_state(session)
        original(self, session)

    patch.setattr(Subscription, "on_connection_ended", on_connection_ended)


def ready_after_stop(patch: Patch) -> None:
    patch.setattr(PlatformController, "set_ready", lambda self: self.server and self.server.set_ready())


def steps_after_stop(patch: Patch) -> None:
    original = PlatformController.stop

    def stop(self: PlatformController) -> None:
        original(self)
        self.is_stopping = False
        self.decisions.is_stopped = False

    patch.setattr(PlatformController, "stop", stop)


def second_answer_used(patch: Patch) -> None:
    patch.setattr(HttpConnection, "on_message_begin", lambda self: None)


def body_length_required(patch: Patch) -> None:
    patch.setattr(HttpConnection, "on_message_begin", lambda self: setattr(self, "ends_with_connection", False))


def deep_json_raises(patch: Patch) -> None:
    patch.setattr(discovery, "JSON_DECODE_ERRORS", (msgspec.DecodeError,))


def drain_in_damaged_entry_ignored(patch: Patch) -> None:
    patch.setattr(
        discovery.HostListView,
        "last_good_entry",
        lambda self, raw: self.entries.get(discovery.host_number(raw["host"])),
    )


def end_of_discarded_connection_reported(patch: Patch) -> None:
    def connection_lost(self: connection.OutboundConnection, exc: Exception | None) -> None:
        self.on_lost(self)

    patch.setattr(connection.OutboundConnection, "connection_lost", connection_lost)


REINTRODUCED_RACES: list[tuple[Callable[[Patch], None], Callable[[Path], None]]] = [
    (
        adopted_late,
        lambda tmp_path: call_connection_tests.test_connection_when_it_breaks_at_once_then_no_call_uses_it(
            PeerConnection.reset
        ),
    ),
    (
        adopted_late,
        lambda tmp_path: subscription_tests.test_watch_when_it_breaks_at_once_then_it_is_requested_again(
            PeerConnection.close
        ),
    ),
    (
        attempt_not_cancelled,
        lambda tmp_path: call_connection_tests.test_attempt_when_established_after_close_then_no_connection_is_left(),
    ),
    (
        attempt_not_cancelled,
        lambda tmp_path: subscription_tests.test_watch_when_established_after_close_then_no_connection_is_left(),
    ),
    (
        every_attempt_adopted,
        lambda tmp_path: (
            long_poll_tests.test_client_when_the_old_address_connects_after_the_new_one_then_it_is_not_used()
        ),
    ),
    (
        cancelled_after_adoption,
        lambda tmp_path: connection_after_adoption(),
    ),
    (no_read_grace, lambda tmp_path: answer_tests.test_answer_when_received_as_its_timeout_passes_then_it_is_used()),
    (
        no_read_grace,
        lambda tmp_path: call_answer_tests.test_call_answer_when_received_at_its_timeout_then_it_counts(),
    ),
    (
        no_read_grace,
        lambda tmp_path: connection_at_the_limit(),
    ),
    (
        no_read_grace_for_identification,
        lambda tmp_path: server_tests.test_collector_when_received_at_its_timeout_then_it_is_accepted(None),
    ),
    (
        full_list_not_requested_again,
        lambda tmp_path: long_poll_tests.test_fetch_when_requests_fail_then_it_is_repeated(),
    ),
    (
        old_orders_of_a_reassigned_slice_sent,
        lambda tmp_path: call_connection_tests.test_slice_when_lost_and_assigned_again_then_tables_agree(
            "unknown", False
        ),
    ),
    (
        answers_to_other_calls_ignored,
        lambda tmp_path: call_answer_tests.test_answer_when_repeated_then_the_next_call_is_not_affected(),
    ),
    (
        address_change_lost,
        lambda tmp_path: call_connection_tests.test_call_when_the_address_changes_then_it_ends_at_the_old_one(),
    ),
    (
        calls_after_finish,
        lambda tmp_path: call_connection_tests.test_finish_when_a_call_is_in_flight_then_no_other_begins(),
    ),
    (
        quiet_time_restarted_by_every_entry,
        lambda tmp_path: (
            subscription_tests.test_slice_when_entries_of_other_slices_keep_arriving_then_it_is_delivered()
        ),
    ),
    (
        incomplete_initial_state_used,
        lambda tmp_path: subscription_tests.test_watch_when_it_breaks_in_the_initial_state_then_no_event_is_delivered(),
    ),
    (
        ready_after_stop,
        lambda tmp_path: stop_and_reload_tests.test_stop_when_not_ready_then_heartbeats_are_rejected(tmp_path),
    ),
    (
        steps_after_stop,
        lambda tmp_path: stop_and_reload_tests.test_stop_when_called_then_no_step_call_or_connection_begins(tmp_path),
    ),
    (
        second_answer_used,
        lambda tmp_path: answer_tests.test_answer_when_unrequested_then_it_does_not_count_for_the_next_request(False),
    ),
    (
        body_length_required,
        lambda tmp_path: answer_tests.test_body_when_it_has_no_length_then_it_ends_with_the_connection(
            PeerConnection.close, [b"17"]
        ),
    ),
    (deep_json_raises, lambda tmp_path: list_tests.test_answer_when_nested_too_deeply_then_it_is_rejected()),
    (
        drain_in_damaged_entry_ignored,
        lambda tmp_path: list_tests.test_damaged_entry_when_its_host_leaves_then_its_state_is_applied(
            "terminating", True
        ),
    ),
    (
        end_of_discarded_connection_reported,
        lambda tmp_path: connection_end(PeerConnection.close),
    ),
]


@pytest.mark.parametrize(
    ("reintroduce", "run_test"), REINTRODUCED_RACES, ids=[reintroduce.__name__ for reintroduce, _ in REINTRODUCED_RACES]
)
def test_race_when_reintroduced_then_its_test_fails(
    reintroduce: Callable[[Patch], None], run_test: Callable[[Path], None], monkeypatch: Patch, tmp_path: Path
) -> None:
    run_test(tmp_path)
    monkeypatch.setattr(forced_order, "TEST_TIMEOUT_SECONDS", 1.0)
    reintroduce(monkeypatch)
    with pytest.raises((AssertionError, TimeoutError, RecursionError, ConnectionError, asyncio.IncompleteReadError)):
        run_test(tmp_path)
