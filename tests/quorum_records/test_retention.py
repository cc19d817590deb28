"""Records are kept for some time after their last write, at replicas and at proposers."""

from __future__ import annotations

from corallanding.quorum_records.limits import RecordLimits
from corallanding.quorum_records.proposer import Proposer
from corallanding.quorum_records.replica import Replica
from corallanding.quorum_records.stored_rows import Ballot
from corallanding.scheduling.queue import Job

RETENTION_MS = 1_000.0
LIMITS = RecordLimits(retention_ms=RETENTION_MS, counted_ms=RETENTION_MS)
GROUP = 3
KEY = 7


def proposer_with_record() -> Proposer:
    """Return a proposer that wrote a record at 0 ms, whose subject began long before."""
    proposer = Proposer(1, GROUP, (0, 1, 2), LIMITS, 5, iter(range(1, 100)).__next__, is_ready=True)
    proposer.write(0.0, KEY, 11, -5 * RETENTION_MS)
    proposer.records[KEY].is_decided = True
    proposer.write_queue.clear()
    return proposer


def test_record_when_written_late_then_its_replica_keeps_it_from_then_on() -> None:
    """Guards against a record that is deleted by the age of its subject, soon after its last write."""
    replica = Replica(LIMITS)
    replica.put(GROUP, KEY, 1, Ballot(1, 1), 0.0, 0.0)
    replica.put(GROUP, KEY, 2, Ballot(1, 2), 0.0, 900.0)
    replica.sweep(900.0 + RETENTION_MS)
    assert replica.groups[GROUP][KEY].created_at_ms == 0.0
    replica.sweep(901.0 + RETENTION_MS)
    assert GROUP not in replica.groups


def test_record_when_half_of_its_retention_has_passed_then_its_proposer_writes_it_again() -> None:
    proposer = proposer_with_record()
    assert not proposer.renew(RETENTION_MS / 2.0, KEY)
    assert not proposer.write_queue
    assert proposer.renew(RETENTION_MS / 2.0 + 1.0, KEY)
    assert proposer.write_queue == [KEY]
    assert not proposer.records[KEY].is_decided
    assert proposer.records[KEY].created_at_ms == -5 * RETENTION_MS
    assert not proposer.renew(RETENTION_MS / 2.0 + 2.0, KEY), "it is being written"


def test_record_when_its_proposer_is_superseded_then_it_is_due_but_not_written() -> None:
    proposer = proposer_with_record()
    proposer.superseded_by = 9
    assert proposer.renew(RETENTION_MS, KEY)
    assert not proposer.write_queue


def test_job_when_it_waited_for_long_under_its_claim_then_the_key_is_claimed_again() -> None:
    """Guards against a job that is released under a claim whose record is gone, so that another may have claimed it."""
    job = Job(1, 0, 0, 5, 0.0, idempotency_key=KEY)
    assert job.needs_claim(0.0, 100.0)
    job.has_claim, job.claimed_at_ms = True, 50.0
    assert not job.needs_claim(150.0, 100.0)
    assert job.needs_claim(151.0, 100.0)
    assert not Job(1, 0, 0, 5, 0.0).needs_claim(0.0, 100.0)
