"""Queries of controllers that wait until a quorum has stored the record on which the reply is based."""

from __future__ import annotations

from collections.abc import Container

from .query_state import Requester, WaitingQuery

MAX_REQUESTERS = 64  # requesters that wait for a reply on one record

RecordKey = tuple[int, int]
"""The group and the key of a record."""


class WaitingQueries:
    """The waiting queries by record: on at most `max_records` records, each repeated within `timeout_ms`.

    A requester repeats its query until it is answered or given up, so one that is not repeated has no requester left.
    """

    def __init__(self, max_records: int, timeout_ms: float) -> None:
        self.max_records = max_records
        self.timeout_ms = timeout_ms
        self.by_record: dict[RecordKey, dict[Requester, WaitingQuery]] = {}

    def add(self, now_ms: float, record: RecordKey, requester: Requester, number: int, argument: int) -> bool:
        """Add a query, which replaces an earlier one of its requester; return False if there is no capacity for it."""
        requesters = self.by_record.get(record, {})
        if len(requesters) >= MAX_REQUESTERS or (not requesters and len(self.by_record) >= self.max_records):
            return False
        self.by_record[record] = requesters
        known = requesters.get(requester)
        if known is None or number >= known.number:
            requesters[requester] = WaitingQuery(number, argument, now_ms)
        return True

    def on_record(self, record: RecordKey) -> dict[Requester, WaitingQuery]:
        """Return a copy of the queries on a record."""
        return dict(self.by_record.get(record, {}))

    def remove(self, record: RecordKey, requester: Requester) -> None:
        """Remove an answered query."""
        requesters = self.by_record.get(record, {})
        requesters.pop(requester, None)
        if not requesters:
            self.by_record.pop(record, None)

    def remove_outdated(self, now_ms: float, held_groups: Container[int]) -> None:
        """Remove queries that were not repeated in time, and those on groups that are no longer held."""
        kept: dict[RecordKey, dict[Requester, WaitingQuery]] = {}
        for record, requesters in self.by_record.items():
            repeated = {
                requester: query
                for requester, query in requesters.items()
                if now_ms - query.received_at_ms <= self.timeout_ms
            }
            if repeated and record[0] in held_groups:
                kept[record] = repeated
        self.by_record = kept
